"""Pure decision functions of a service's runner for items, runs and failures.

Load pattern: some hundred items of several steps at once, a few of them on an engine that became
slow, stopped sending, refuses, or fails every run. This module decides what happens next to such
an item, its run and its engine; :mod:`._planner` decides which item starts next, and where.
"""

import math
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ._planner import EngineView
from ._ports import GenerationFailure

ItemName = tuple[str, str]
"""The IDs of a step and of one of its items."""

# A run leaves an engine slower than MIN_SLOWNESS_TO_MOVE, relative to the median engine, if one
# faster than MAX_DESTINATION_SLOWNESS has a free slot. Resuming costs a few milliseconds to
# reprocess the text.
MIN_SLOWNESS_TO_MOVE: Final = 2.0
MAX_DESTINATION_SLOWNESS: Final = 1.4
MIN_EVENTS_BEFORE_MOVE: Final = 3
# A text that would miss its deadline moves only for at least this gain in slowness and in time;
# smaller differences are within the event-to-event variation of an engine.
MIN_SLOWNESS_GAIN: Final = 0.15
MIN_TIME_GAIN_S: Final = 0.3
# Time from a text's last event to its listing: scoring, two log appends, the trainer's next read.
FINISH_DELAY_S: Final = 0.5
# Lengths have a long tail: a text longer than its hint is expected to grow by this factor of its
# current length.
EXCEEDED_HINT_FACTOR: Final = 2
# Time without new items for an engine that failed. It is shorter after a refusal: one of the
# engine's runs may have ended by then.
ENGINE_BACKOFF_S: Final = 0.5
REFUSAL_BACKOFF_S: Final = 0.1
# Delay before an item is retried after a failed run.
ITEM_BACKOFF_S: Final = 0.05


class ItemAction(Enum):
    """The next action for an item that is neither running, nor being scored, nor submitted."""

    GIVE_UP = "give_up"
    BACK_OFF = "rest"
    GENERATE = "make"
    REGENERATE = "make_anew"
    SCORE = "score"


class ItemStatus(NamedTuple):
    """An item that is neither running, nor being scored, nor submitted for listing.

    ``age_s`` is the time since its step was accepted. ``retention_s`` is the age at which the item
    may be given up, 0 for never. ``draft_usable`` tells whether its partial text may be used.
    """

    age_s: float
    retention_s: float
    backing_off: bool
    draft_usable: bool
    draft_complete: bool


def next_action(item: ItemStatus) -> ItemAction:
    """Return the next action for an item."""
    if 0.0 < item.retention_s <= item.age_s:
        return ItemAction.GIVE_UP
    if item.backing_off:
        return ItemAction.BACK_OFF
    if not item.draft_usable:
        return ItemAction.REGENERATE
    return ItemAction.SCORE if item.draft_complete else ItemAction.GENERATE


class RunView(NamedTuple):
    """A run as the move decision sees it; ``moving`` if a move was already requested.

    At the median engine's speed the text takes ``remaining_s`` more; it is due in ``due_in_s``.
    The engine stops in ``leaves_in_s``. Only engines with ``model`` at ``min_version`` or newer
    may resume the run.
    """

    name: ItemName
    slowness: float
    events: int
    moving: bool
    remaining_s: float = 0.0
    due_in_s: float = math.inf
    leaves_in_s: float = math.inf
    model: str = ""
    min_version: int = 0

    @property
    def slack_s(self) -> float:
        """Time between listing and deadline if the run stays on its engine; negative if late."""
        return self.due_in_s - self.remaining_s * self.slowness - FINISH_DELAY_S


def runs_to_move(runs: Sequence[RunView], engines: Sequence[EngineView]) -> Sequence[ItemName]:
    """Return the runs to move to other engines, the one with the least slack first.

    A run moves if its engine is much slower than the median or stops before the text is complete.
    If the text would miss its deadline, a smaller gain in speed suffices. Each move takes one free
    slot.
    """
    free = [engine for engine in engines if engine.accepts and engine.running < engine.slots]
    moved: list[ItemName] = []
    for run in sorted(runs, key=lambda run: run.slack_s):
        if run.moving or run.events < MIN_EVENTS_BEFORE_MOVE:
            continue
        better = [engine for engine in free if _benefits_from_move(run, engine)]
        if not better:
            continue
        chosen = min(better, key=lambda engine: engine.slowness)
        free.remove(chosen)
        if chosen.running + 1 < chosen.slots:
            free.append(chosen._replace(running=chosen.running + 1))
        moved.append(run.name)
    return moved


def _benefits_from_move(run: RunView, engine: EngineView) -> bool:
    if engine.versions.get(run.model, -1) < run.min_version:
        return False
    if run.remaining_s * run.slowness > run.leaves_in_s:
        return True
    if run.slowness > MIN_SLOWNESS_TO_MOVE and engine.slowness < MAX_DESTINATION_SLOWNESS:
        return True
    slowness_gain = run.slowness - engine.slowness
    return (
        run.slack_s < 0.0
        and slowness_gain >= MIN_SLOWNESS_GAIN
        and slowness_gain * run.remaining_s >= MIN_TIME_GAIN_S
    )


def expected_remaining_events(generated: int, hinted: int, maximum: int) -> int:
    """Return how many more events a text is expected to have.

    Length hints are right at the median and often far off. Once a text is longer than its hint,
    the hint is ignored and the remaining length is estimated from the current length.
    """
    if generated < hinted:
        return hinted - generated
    return max(0, min(EXCEEDED_HINT_FACTOR * generated, maximum - generated))


class FailureResponse(NamedTuple):
    """Consequences of a run that ended early."""

    give_up_item: bool = False
    item_backoff_s: float = ITEM_BACKOFF_S
    engine_backoff_s: float = 0.0


def failure_response(
    reason: GenerationFailure, failures: int, max_attempts: int
) -> FailureResponse:
    """Return the response to a failed run, the item having failed on engines ``failures`` times."""
    match reason:
        case GenerationFailure.IMPOSSIBLE:
            return FailureResponse(give_up_item=True)
        case GenerationFailure.FAILED:
            return FailureResponse(give_up_item=failures >= max_attempts)
        case GenerationFailure.REFUSED:
            return FailureResponse(engine_backoff_s=REFUSAL_BACKOFF_S)
        case GenerationFailure.BROKEN | GenerationFailure.WRONG_INSTANCE:
            return FailureResponse(engine_backoff_s=ENGINE_BACKOFF_S)
        case GenerationFailure.SILENT:
            return FailureResponse(item_backoff_s=0.0, engine_backoff_s=ENGINE_BACKOFF_S)
