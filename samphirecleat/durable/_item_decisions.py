"""Pure decision functions of a service's runner for items and failures.

Load pattern: some hundred items of several steps at once, a few of them on an engine that stopped
sending, refuses, or fails every run. This module decides what happens next to such an item and its
engine; :mod:`._planner` decides which item starts next, and where, and :mod:`._run_moves` which run
leaves its engine.
"""

from enum import Enum
from typing import Final, NamedTuple

from ._ports import GenerationFailure

ItemName = tuple[str, str]
"""The IDs of a step and of one of its items."""

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
    reason: GenerationFailure, failures: int, max_attempts: int, *, memory_full: bool = False
) -> FailureResponse:
    """Return the response to a failed run, the item having failed on engines ``failures`` times.

    Silence of a run at an engine whose memory is full is no fault of the engine: it preempts its
    newest runs. A backoff would keep items from slots that are free.
    """
    match reason:
        case GenerationFailure.SILENT if memory_full:
            return FailureResponse(item_backoff_s=0.0)
        case GenerationFailure.IMPOSSIBLE:
            return FailureResponse(give_up_item=True)
        case GenerationFailure.FAILED:
            return FailureResponse(give_up_item=failures >= max_attempts)
        case GenerationFailure.MOVED:
            return FailureResponse(item_backoff_s=0.0, engine_backoff_s=REFUSAL_BACKOFF_S)
        case GenerationFailure.REFUSED:
            return FailureResponse(engine_backoff_s=REFUSAL_BACKOFF_S)
        case GenerationFailure.BROKEN | GenerationFailure.WRONG_INSTANCE:
            return FailureResponse(engine_backoff_s=ENGINE_BACKOFF_S)
        case GenerationFailure.SILENT:
            return FailureResponse(item_backoff_s=0.0, engine_backoff_s=ENGINE_BACKOFF_S)
