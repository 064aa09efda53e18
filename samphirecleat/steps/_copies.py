"""When a second copy of a sample that is late is worth its tokens.

A run is late by its pace, never by its length: a copy of a sample that is merely
long would take as long, and taking the first to end would favour short answers.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final, NamedTuple

from ._run import NO_TIME_S, Run

PACES_KEPT: Final = 64
PACES_NEEDED: Final = 5
WORTH_FACTOR: Final = 1.5
FIRST_TOKEN_FACTOR: Final = 4.0
MAX_COPIES: Final = 1


class Pace(NamedTuple):
    """How fast runs of a service usually are."""

    first_token_s: float
    token_s: float

    def whole_s(self, tokens: int) -> float:
        """Return how long a run of so many tokens usually takes."""
        return self.first_token_s + self.token_s * tokens


class PaceEstimator:
    """The paces of the latest runs of a service; the median is their pace."""

    def __init__(self) -> None:
        """Start without any run."""
        self._first_token_s: deque[float] = deque(maxlen=PACES_KEPT)
        self._token_s: deque[float] = deque(maxlen=PACES_KEPT)
        self._pace: Pace | None = None

    def record_run(self, run: Run) -> None:
        """Record a run whose text is whole."""
        if run.tokens == 0 or not run.scoring:
            return
        self._first_token_s.append(run.first_token_at_s - run.started_at_s)
        self._token_s.append((run.generated_at_s - run.first_token_at_s) / run.tokens)
        self._pace = None

    @property
    def pace(self) -> Pace | None:
        """The usual pace, or None while too few runs are known."""
        if len(self._token_s) < PACES_NEEDED:
            return None
        if self._pace is None:
            self._pace = Pace(median(self._first_token_s), median(self._token_s))
        return self._pace


@dataclass(frozen=True)
class NoCopies:
    """Never run a sample twice at a time."""


@dataclass(frozen=True)
class CopyAllRemaining:
    """Copy every run that is left once the rest of its step is done."""


@dataclass(frozen=True)
class CopyStragglers:
    """Copy those runs that lag behind the usual pace, within a budget.

    A copy starts as late as it may without holding the step up: once the rest of
    the queue takes no longer than the copy itself will.
    ``budget_ratio`` bounds the tokens that copies are expected to waste by a share
    of the step's own.
    """

    budget_ratio: float


CopyPolicy = NoCopies | CopyAllRemaining | CopyStragglers
DEFAULT_COPY_POLICY: Final = CopyStragglers(budget_ratio=0.1)


class CopyView(NamedTuple):
    """What the second copies of one step are decided from.

    ``runs`` are all that go on. ``queued_tokens``, ``step_tokens`` and
    ``wasted_tokens`` are the expected tokens of what still waits for a run, of the
    whole step, and of what the copies started so far waste.
    """

    runs: Sequence[Run]
    pace: Pace | None
    queued_tokens: int
    step_tokens: int
    wasted_tokens: float


def decide_copies(view: CopyView, policy: CopyPolicy, room: int, now_s: float) -> Sequence[Run]:
    """Return the runs to copy now, at most ``room``, the latest to end first."""
    alone = _runs_alone(view.runs)
    match policy:
        case NoCopies():
            return ()
        case CopyAllRemaining():
            return alone[:room] if not view.queued_tokens else ()
        case CopyStragglers(budget_ratio=budget_ratio):
            if view.pace is None:
                return ()
            pace = view.pace
            queue_s = pace.token_s * view.queued_tokens / len(view.runs) if view.runs else 0.0
            slow = [run for run in alone if _is_worth_a_copy(run, pace, queue_s, now_s)]
            slow.sort(key=lambda run: -remaining_s(run, pace, now_s))
            left_tokens = budget_ratio * view.step_tokens - view.wasted_tokens
            wastes = [(run, expected_waste_tokens(run, pace, now_s)) for run in slow]
            return _within(wastes, left_tokens)[:room]


def remaining_s(run: Run, pace: Pace, now_s: float) -> float:
    """Return how long a run is expected to take yet, at the pace it has shown.

    One that has shown no token for long is taken to start anew at that pace.
    """
    left = max(1, run.expected_tokens - run.tokens)
    if run.tokens == 0:
        waited_s = now_s - run.started_at_s
        if waited_s <= pace.first_token_s * FIRST_TOKEN_FACTOR:
            return pace.whole_s(run.expected_tokens)
        return waited_s + pace.whole_s(run.expected_tokens)
    own_token_s = (now_s - run.first_token_at_s) / run.tokens
    return left * own_token_s


def expected_waste_tokens(run: Run, pace: Pace, now_s: float) -> float:
    """Return how many tokens a late run will have made once a copy overtakes it."""
    if run.tokens == 0:
        return 0.0
    own_token_s = (now_s - run.first_token_at_s) / run.tokens
    return run.tokens + pace.whole_s(run.expected_tokens) / max(own_token_s, pace.token_s)


def _is_worth_a_copy(run: Run, pace: Pace, queue_s: float, now_s: float) -> bool:
    """Whether it would end late even if a copy began only after the queue."""
    copy_s = pace.whole_s(run.expected_tokens)
    return queue_s <= copy_s and remaining_s(run, pace, now_s) > queue_s + WORTH_FACTOR * copy_s


def _runs_alone(runs: Sequence[Run]) -> list[Run]:
    """Return the runs whose position has no other, and that still generate."""
    counts: dict[int, int] = {}
    for run in runs:
        counts[run.position] = counts.get(run.position, 0) + 1
    return [
        run
        for run in runs
        if counts[run.position] <= MAX_COPIES and run.generated_at_s == NO_TIME_S
    ]


def _within(wastes: Sequence[tuple[Run, float]], left_tokens: float) -> Sequence[Run]:
    taken = []
    for run, waste_tokens in wastes:
        if waste_tokens <= left_tokens:
            left_tokens -= waste_tokens
            taken.append(run)
    return taken
