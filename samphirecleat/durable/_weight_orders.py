"""Which engines are ordered to load a version now: a pure decision.

Load pattern answered: a version is named every few seconds, just before the step that may
use it; steps allow a version or two less than the newest. An engine that loads starts
nothing for about a second and holds up what it runs, and loads slow each other down beyond
a number at once. So engines load when they are idle, a few at a time; the planner keeps long
texts together on the engines with the newest version, so that the others soon are.
"""

from collections.abc import Sequence
from typing import Final, NamedTuple

# Loads slow each other down beyond about two of five engines.
SHARE_AT_ONCE: Final = 0.4


class OrderableEngine(NamedTuple):
    """An engine as the holder of the duty sees it; ``loading`` counts unknown outcomes too."""

    instance: str
    version: int
    running: int
    loading: bool
    rests: bool


def decide_loads(
    engines: Sequence[OrderableEngine],
    named_version: int,
    needed_version: int,
    *,
    pressed: bool,
    loading_elsewhere: int = 0,
) -> Sequence[str]:
    """Return the instances to order to ``named_version`` now, the first first.

    Open and coming steps accept ``needed_version`` and newer. An engine that still runs
    something is only ordered when work is ``pressed`` for a place, or none is left that
    new work could use: a load would hold up its runs. ``loading_elsewhere`` counts loads of
    other models.
    """
    at_once = max(1, int(len(engines) * SHARE_AT_ONCE))
    free = at_once - loading_elsewhere - sum(engine.loading for engine in engines)
    if free <= 0:
        return ()
    behind = [
        engine
        for engine in engines
        if engine.version < named_version and not engine.loading and not engine.rests
    ]
    behind.sort(key=lambda engine: (engine.running, engine.version, engine.instance))
    idle = [engine for engine in behind if engine.running == 0]
    busy = [engine for engine in behind if engine.running > 0 and engine.version < needed_version]
    nothing_usable = all(
        engine.loading or engine.rests or engine.version < needed_version for engine in engines
    )
    ordered = [*idle, *busy] if pressed or nothing_usable else idle
    return [engine.instance for engine in ordered[:free]]
