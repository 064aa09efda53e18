"""Pure decision which runs leave their engine for another one.

Load pattern: hints of lengths are often off by a factor of two or more, so long texts start on slow
engines, and an engine may become slow or leave during a run. A move costs a new connection and the
reprocessing of the text so far, so it must gain more than that: it rests on lasting paces, and a
text moves once, except away from an engine that leaves.
"""

import math
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from ._engine_ranking import EngineView
from ._item_decisions import ItemName

# A run leaves an engine that is lastingly slower than MIN_SLOWNESS_TO_MOVE, relative to the median
# engine, if one faster than MAX_DESTINATION_SLOWNESS has a free slot.
MIN_SLOWNESS_TO_MOVE: Final = 2.0
MAX_DESTINATION_SLOWNESS: Final = 1.4
MIN_EVENTS_BEFORE_MOVE: Final = 3
# A move must gain this much in slowness and in time. Smaller differences are within the
# event-to-event variation of an engine, or are used up by the new connection.
MIN_SLOWNESS_GAIN: Final = 0.15
MIN_TIME_GAIN_S: Final = 0.3
# Time from a text's last event to its listing: scoring, two log appends, the trainer's next read.
FINISH_DELAY_S: Final = 0.5


class MoveReason(Enum):
    """Why a run leaves its engine; the values are used in log lines and names of counters."""

    LEAVING = "leaving"
    LATE = "late"
    SLOW = "slow"


class RunView(NamedTuple):
    """A run as the move decision sees it; ``moving`` if a move was already requested.

    At the median engine's speed the text takes ``remaining_s`` more; it is due in ``due_in_s``.
    The engine stops in ``leaves_in_s``. Only engines with ``model`` at ``min_version`` or newer
    may resume the run. ``slowness`` is the lasting one of its engine. ``moved`` tells whether the
    text already moved from a slow engine, ``needed`` whether its trainer waits for its group.
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
    moved: bool = False
    needed: bool = True

    @property
    def slack_s(self) -> float:
        """Time between listing and deadline if the run stays on its engine; negative if late."""
        return self.due_in_s - self.remaining_s * self.slowness - FINISH_DELAY_S

    @property
    def move_reason(self) -> MoveReason | None:
        """Why the run should leave its engine if a better one has a free slot, None to stay."""
        if self.moving or self.events < MIN_EVENTS_BEFORE_MOVE:
            return None
        if self.remaining_s * self.slowness > self.leaves_in_s:
            return MoveReason.LEAVING
        if self.moved:
            return None
        if self.slack_s < 0.0 and self.needed:
            return MoveReason.LATE
        return MoveReason.SLOW if self.slowness > MIN_SLOWNESS_TO_MOVE else None


class Move(NamedTuple):
    """A run that leaves its engine, and the slowness of the engine whose slot it is meant for."""

    run: RunView
    reason: MoveReason
    destination_slowness: float


def runs_to_move(runs: Sequence[RunView], engines: Sequence[EngineView]) -> Sequence[Move]:
    """Return the moves to other engines: first those of needed groups, then by least slack.

    A run moves if its engine stops before the text is complete, if the text would be late on it and
    gains time elsewhere, or if its engine is lastingly much slower than the median. Each move takes
    one free slot, on the fastest engine that has one.
    """
    free = {e.instance: e for e in engines if e.accepts and e.running < e.slots}
    moves: list[Move] = []
    for run in sorted(runs, key=lambda run: (not run.needed, run.slack_s)):
        reason = run.move_reason
        if reason is None:
            continue
        better = [engine for engine in free.values() if _is_better(run, engine, reason)]
        if not better:
            continue
        chosen = min(better, key=lambda engine: engine.slowness)
        if chosen.running + 1 < chosen.slots:
            free[chosen.instance] = chosen._replace(running=chosen.running + 1)
        else:
            del free[chosen.instance]
        moves.append(Move(run, reason, chosen.slowness))
    return moves


def _is_better(run: RunView, engine: EngineView, reason: MoveReason) -> bool:
    if engine.versions.get(run.model, -1) < run.min_version:
        return False
    gain = run.slowness - engine.slowness
    match reason:
        case MoveReason.LEAVING:
            return True
        case MoveReason.LATE:
            return gain >= MIN_SLOWNESS_GAIN and gain * run.remaining_s >= MIN_TIME_GAIN_S
        case MoveReason.SLOW:
            is_fast = engine.slowness < MAX_DESTINATION_SLOWNESS
            return is_fast and gain * run.remaining_s >= MIN_TIME_GAIN_S
