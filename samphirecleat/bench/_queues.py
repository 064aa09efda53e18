"""Bench of a service's queue: surges beyond its capacity, with targets lost, silent or slow.

The first row is the product's queue. The baseline sends every call at once, to one target after the
other while they refuse it, and tells all refused callers the same delay. Figures are the parts of
the capacity that are answered within the objective, and the sends per answered call.
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final

from ..dispatch import QueuedCall, Refusal, RefusalReason, Start, TargetLimiter
from ..serving import SendOutcome
from ._harness import BenchResult, BenchRow, average_runs
from ._queue_replay import (
    CALLER_TIMES_S,
    SLOTS,
    TARGET_COUNT,
    Queue,
    Replay,
    ReplayedCaller,
    queue_of_all_targets,
    replayed_targets,
)

DEFAULT_SEED: Final = 1
REPEATS: Final = 3
START_S: Final = 4.0
CHANGE_S: Final = 6.0
END_S: Final = 9.0
USUAL_PER_S: Final = 20.0
SURGE_PER_S: Final = 1500.0
SLOWNESS: Final = 4.0
CAPACITY_PER_S: Final = TARGET_COUNT * SLOTS / CALLER_TIMES_S[0]
# What remains of the capacity after each change.
CHANGES: Final[Mapping[str, float]] = {
    "none": 1.0,
    "one lost": 2.0 / 3.0,
    "one silent": 2.0 / 3.0,
    "two slow": (1.0 + 2.0 / SLOWNESS) / 3.0,
}
MAX_SENDS: Final = 8
RETRY_AFTER_S: Final = 0.1


class SendAtOnce:
    """The baseline: no call waits, and a refused one is sent to the next target."""

    def __init__(self) -> None:
        """Start without calls in flight."""
        self._limiters = [TargetLimiter(target) for target in replayed_targets()]
        self._sends: dict[int, int] = {}

    def offer(self, entry: QueuedCall, now_s: float) -> Start | Refusal:
        """Send to the target with the fewest calls in flight, or give up."""
        sends = self._sends[entry.key] = self._sends.get(entry.key, 0) + 1
        if sends > MAX_SENDS:
            return Refusal(entry, RefusalReason.CLOSED, RETRY_AFTER_S, booked=False)
        limiter = min(self._limiters, key=lambda limiter: (limiter.failed, limiter.in_flight))
        limiter.start(entry.key, entry.body_bytes, now_s, for_trainer=False)
        return Start(entry, limiter, probe=False)

    def put_back(self, entry: QueuedCall, now_s: float) -> Start | Refusal:
        """Send a refused call again."""
        return self.offer(entry, now_s)

    def finish(self, start: Start, outcome: SendOutcome, now_s: float) -> None:
        """End a call at its target."""
        start.limiter.finish(start.entry.key, start.entry.body_bytes, outcome, now_s)

    def advance(self, now_s: float) -> Sequence[Start | Refusal]:
        """Return nothing, since no call waits."""
        del now_s
        return ()


def play_surge(
    queues: Sequence[Queue],
    seed: int,
    per_s: float = SURGE_PER_S,
    change: str = "none",
    trainers_per_s: float = 0.0,
) -> Replay:
    """Play a surge during which targets are lost or become slow; ``change`` is in ``CHANGES``."""

    def change_targets() -> None:
        replay.targets["t0"].lost = change == "one lost"
        match change:
            case "one silent":
                replay.targets["t0"].slowness = math.inf
            case "two slow":
                replay.targets["t0"].slowness = replay.targets["t1"].slowness = SLOWNESS

    replay = Replay(seed, queues)
    replay.load(USUAL_PER_S, 1.0, START_S)
    replay.load(per_s, START_S, END_S)
    if trainers_per_s:
        replay.load(trainers_per_s, START_S, END_S, for_trainer=True)
    replay.at(CHANGE_S, change_targets)
    replay.run(END_S + 3.0)
    return replay


def answered_in_surge(replay: Replay) -> Sequence[ReplayedCaller]:
    """Return the calls that were answered before the surge ended."""
    return [c for c in replay.callers if START_S <= c.answered_at_s < END_S]


def share_in_time(replay: Replay, change: str = "none") -> float:
    """Return the part of the capacity that was answered within the objective."""
    capacity = CAPACITY_PER_S * (CHANGE_S - START_S + CHANGES[change] * (END_S - CHANGE_S))
    return sum(caller.is_in_time for caller in answered_in_surge(replay)) / capacity


def sends_per_answer(replay: Replay) -> float:
    """Return the sends to targets per answered call."""
    answered = sum(caller.answered_at_s > 0.0 for caller in replay.callers)
    return sum(replay.sends.values()) / max(1, answered)


def _figures(queues: Mapping[str, Queue], seed: int) -> Mapping[str, float]:
    figures = {}
    for change, queue in queues.items():
        replay = play_surge([queue], seed, change=change)
        figures[f"in time, {change}"] = share_in_time(replay, change)
        figures[f"sends, {change}"] = sends_per_answer(replay)
    return figures


async def run(seed: int) -> BenchResult:
    """Play the same surges against the queue and against the baseline."""
    seeds = range(seed, seed + REPEATS)
    queue = [_figures({c: queue_of_all_targets() for c in CHANGES}, at) for at in seeds]
    at_once = [_figures({c: SendAtOnce() for c in CHANGES}, at) for at in seeds]
    rows: list[BenchRow] = [
        average_runs("queue", queue),
        average_runs("sent at once", at_once),
    ]
    note = (
        f"{SURGE_PER_S:g} calls a second for {END_S - START_S:g} s at {TARGET_COUNT} targets that "
        f"can serve {CAPACITY_PER_S:g}; the change comes after {CHANGE_S - START_S:g} s"
    )
    return BenchResult("queues", seed, rows, note)
