"""Which engines are ordered to load a version now: a pure decision.

Load pattern answered: a version is named every few seconds, just before the step that may
use it; an engine that loads starts nothing for about a second, and loads slow each other
down beyond a number at once. So a few load at a time, those with the least work first, and
none loads what it does not need.
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


def decide_loads(engines: Sequence[OrderableEngine], named_version: int) -> Sequence[str]:
    """Return the instances to order to ``named_version`` now, the first first."""
    at_once = max(1, int(len(engines) * SHARE_AT_ONCE))
    free = at_once - sum(engine.loading for engine in engines)
    if free <= 0:
        return ()
    behind = [
        engine
        for engine in engines
        if engine.version < named_version and not engine.loading and not engine.rests
    ]
    behind.sort(key=lambda engine: (engine.version, engine.running, engine.instance))
    return [engine.instance for engine in behind[:free]]
