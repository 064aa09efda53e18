"""What becomes of an item, a run and an engine that failed: pure decisions of a service's runner.

Load pattern answered: some hundred items of several steps at once, of which a few run on an
engine that turned slow, fell silent, refuses, or fails each time. What such an item, its run and
its engine do next is decided here; :mod:`._planner` decides which item starts next, and where.
"""

import math
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ._planner import EngineView
from ._ports import GenerationFailure

ItemName = tuple[str, str]
"""The ids of a step and of one of its items."""

# A run that is this much slower than the typical engine moves to one with a free place:
# going on elsewhere costs a few milliseconds of reading.
MOVE_SLOWNESS: Final = 2.0
MOVE_TO_SLOWNESS: Final = 1.4
MOVE_AFTER_EVENTS: Final = 3
# A text that would be late moves to an engine that is this much faster, in parts of the typical
# pace and in the time that it gains; less is within what paces differ by from event to event.
FASTER_BY_SLOWNESS: Final = 0.15
FASTER_BY_S: Final = 0.3
# Between a text's last event and its listing: the score, two appends, the trainer's next read.
FINISH_S: Final = 0.5
# Lengths have a long tail.
OUTLASTING_FACTOR: Final = 2
# An engine that failed gets nothing for this long; one that refused, until a run may have ended.
ENGINE_REST_S: Final = 0.5
REFUSAL_REST_S: Final = 0.1
# The same item waits this long after a failed run.
ITEM_REST_S: Final = 0.05


class NextStep(Enum):
    """What an item that nothing is done for needs next."""

    GIVE_UP = "give_up"
    REST = "rest"
    MAKE = "make"
    MAKE_ANEW = "make_anew"
    SCORE = "score"


class ItemStanding(NamedTuple):
    """An item that has no run, no score under way, and no result that waits to be listed.

    ``age_s`` is the time since its step was accepted, ``retention_s`` the age at which it may be
    given up, 0 for never. ``draft_fits`` says that what was made of its text may be used.
    """

    age_s: float
    retention_s: float
    rests: bool
    draft_fits: bool
    draft_whole: bool


def next_step(item: ItemStanding) -> NextStep:
    """Return what an item needs next."""
    if 0.0 < item.retention_s <= item.age_s:
        return NextStep.GIVE_UP
    if item.rests:
        return NextStep.REST
    if not item.draft_fits:
        return NextStep.MAKE_ANEW
    return NextStep.SCORE if item.draft_whole else NextStep.MAKE


class RunView(NamedTuple):
    """A run on an engine of some slowness; ``moving`` if it was asked to end there.

    At the typical pace its text takes ``rest_s`` more, and it is due in ``due_in_s``. Its engine
    leaves in ``leaves_in_s``. Only weights of ``min_version`` of its ``model`` and newer may go
    on with it.
    """

    name: ItemName
    slowness: float
    events: int
    moving: bool
    rest_s: float = 0.0
    due_in_s: float = math.inf
    leaves_in_s: float = math.inf
    model: str = ""
    min_version: int = 0

    @property
    def spare_s(self) -> float:
        """What is left when the text is whole, scored and listed, if the run stays."""
        return self.due_in_s - self.rest_s * self.slowness - FINISH_S


def runs_to_move(runs: Sequence[RunView], engines: Sequence[EngineView]) -> Sequence[ItemName]:
    """Return the runs that go on at other engines, the most pressed first.

    A run leaves an engine that turned slow or leaves before its text is whole, and an engine that
    is only a little slower if its text would be late there. Each takes one free place.
    """
    free = [engine for engine in engines if engine.accepts and engine.running < engine.places]
    moved: list[ItemName] = []
    for run in sorted(runs, key=lambda run: run.spare_s):
        if run.moving or run.events < MOVE_AFTER_EVENTS:
            continue
        better = [engine for engine in free if _goes_on_better(run, engine)]
        if not better:
            continue
        taken = min(better, key=lambda engine: engine.slowness)
        free.remove(taken)
        if taken.running + 1 < taken.places:
            free.append(taken._replace(running=taken.running + 1))
        moved.append(run.name)
    return moved


def _goes_on_better(run: RunView, engine: EngineView) -> bool:
    if engine.versions.get(run.model, -1) < run.min_version:
        return False
    if run.rest_s * run.slowness > run.leaves_in_s:
        return True
    if run.slowness > MOVE_SLOWNESS and engine.slowness < MOVE_TO_SLOWNESS:
        return True
    faster_by = run.slowness - engine.slowness
    return (
        run.spare_s < 0.0
        and faster_by >= FASTER_BY_SLOWNESS
        and faster_by * run.rest_s >= FASTER_BY_S
    )


def expected_rest_events(made: int, hinted: int, most: int) -> int:
    """Return how many events a text is expected to get beyond those that were made.

    Hints are right at the median and often far off. One that was outlasted says nothing more; a
    text that has come so far is then expected to come as far again and once more.
    """
    if made < hinted:
        return hinted - made
    return max(0, min(OUTLASTING_FACTOR * made, most - made))


class Aftermath(NamedTuple):
    """What follows a run that ended without its end."""

    item_dead: bool = False
    item_rest_s: float = ITEM_REST_S
    engine_rest_s: float = 0.0


def after_failed_run(reason: GenerationFailure, failures: int, max_attempts: int) -> Aftermath:
    """Return what follows; the engines ``failures`` times answered that they failed the item."""
    match reason:
        case GenerationFailure.IMPOSSIBLE:
            return Aftermath(item_dead=True)
        case GenerationFailure.FAILED:
            return Aftermath(item_dead=failures >= max_attempts)
        case GenerationFailure.REFUSED:
            return Aftermath(engine_rest_s=REFUSAL_REST_S)
        case GenerationFailure.BROKEN | GenerationFailure.WRONG_INSTANCE:
            return Aftermath(engine_rest_s=ENGINE_REST_S)
        case GenerationFailure.SILENT:
            return Aftermath(item_rest_s=0.0, engine_rest_s=ENGINE_REST_S)
