"""Speculative copies: deciding when to run a late sample a second time.

A run counts as late by its pace, never by its length: a copy of a sample that is
merely long would take as long, and using whichever run ends first would bias
samples toward short answers.
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median
from typing import Final, NamedTuple

from ._run import UNSET_TIME_S, Run

PACE_WINDOW_RUNS: Final = 64
MIN_PACE_RUNS: Final = 5
MIN_SPEEDUP_FACTOR: Final = 1.5
LATE_FIRST_TOKEN_FACTOR: Final = 4.0
MAX_RUNS_BEFORE_COPY: Final = 1


class Pace(NamedTuple):
    """Typical speed of a service's runs, in seconds to the first token and per token."""

    first_token_s: float
    token_s: float

    def duration_s(self, tokens: int) -> float:
        """Return how long a run of ``tokens`` tokens typically takes."""
        return self.first_token_s + self.token_s * tokens


class PaceEstimator:
    """Estimates the pace of a service as the median of its latest runs."""

    def __init__(self) -> None:
        """Create an estimator without any runs."""
        self._first_token_s: deque[float] = deque(maxlen=PACE_WINDOW_RUNS)
        self._token_s: deque[float] = deque(maxlen=PACE_WINDOW_RUNS)
        self._pace: Pace | None = None

    def record_run(self, run: Run) -> None:
        """Record a run; one without tokens or with an incomplete text is ignored."""
        if run.tokens == 0 or not run.scoring:
            return
        self._first_token_s.append(run.first_token_at_s - run.started_at_s)
        self._token_s.append((run.generated_at_s - run.first_token_at_s) / run.tokens)
        self._pace = None

    @property
    def pace(self) -> Pace | None:
        """The estimated pace, or None while too few runs are recorded."""
        if len(self._token_s) < MIN_PACE_RUNS:
            return None
        if self._pace is None:
            self._pace = Pace(median(self._first_token_s), median(self._token_s))
        return self._pace


@dataclass(frozen=True)
class NoCopies:
    """Never start copies."""


@dataclass(frozen=True)
class CopyAllRemaining:
    """Copy every run that is left once no position of the step is queued any more."""


@dataclass(frozen=True)
class CopyStragglers:
    """Copy the runs that are slower than the typical pace, within a budget.

    A copy starts as late as possible without delaying the step: once the queued
    positions are expected to take no longer than the copy itself.
    ``budget_ratio`` limits the tokens that copies are expected to waste to a share
    of the step's expected tokens.
    """

    budget_ratio: float


CopyPolicy = NoCopies | CopyAllRemaining | CopyStragglers
DEFAULT_COPY_POLICY: Final = CopyStragglers(budget_ratio=0.1)


class CopyView(NamedTuple):
    """Inputs of the decision which runs of one step to copy.

    ``runs`` are all runs in progress. The token counts are expected values:
    ``queued_tokens`` of the positions that wait for a run, ``step_tokens`` of the
    entire step, ``wasted_tokens`` of the waste by the copies started so far.
    """

    runs: Sequence[Run]
    pace: Pace | None
    queued_tokens: int
    step_tokens: int
    wasted_tokens: float


def decide_copies(view: CopyView, policy: CopyPolicy, room: int, now_s: float) -> Sequence[Run]:
    """Return at most ``room`` runs to copy now.

    Under :class:`CopyStragglers` the run expected to end last comes first.
    """
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
            stragglers = [run for run in alone if _is_worth_copying(run, pace, queue_s, now_s)]
            stragglers.sort(key=lambda run: -remaining_s(run, pace, now_s))
            budget_tokens = budget_ratio * view.step_tokens - view.wasted_tokens
            wastes = [(run, expected_waste_tokens(run, pace, now_s)) for run in stragglers]
            return _select_within_budget(wastes, budget_tokens)[:room]


def remaining_s(run: Run, pace: Pace, now_s: float) -> float:
    """Return the expected remaining time of a run, at its own pace so far.

    A run without a token is expected to take a full run at ``pace``; once its first
    token is overdue, the time it has waited is added.
    """
    remaining_tokens = max(1, run.expected_tokens - run.tokens)
    if run.tokens == 0:
        waited_s = now_s - run.started_at_s
        if waited_s <= pace.first_token_s * LATE_FIRST_TOKEN_FACTOR:
            return pace.duration_s(run.expected_tokens)
        return waited_s + pace.duration_s(run.expected_tokens)
    own_token_s = (now_s - run.first_token_at_s) / run.tokens
    return remaining_tokens * own_token_s


def expected_waste_tokens(run: Run, pace: Pace, now_s: float) -> float:
    """Return how many tokens a late run will have generated when its copy ends."""
    if run.tokens == 0:
        return 0.0
    own_token_s = (now_s - run.first_token_at_s) / run.tokens
    return run.tokens + pace.duration_s(run.expected_tokens) / max(own_token_s, pace.token_s)


def _is_worth_copying(run: Run, pace: Pace, queue_s: float, now_s: float) -> bool:
    """Return whether a copy started after the queue would still end well before the run.

    False while the queue takes longer than the copy: the decision can wait.
    """
    copy_s = pace.duration_s(run.expected_tokens)
    return (
        queue_s <= copy_s and remaining_s(run, pace, now_s) > queue_s + MIN_SPEEDUP_FACTOR * copy_s
    )


def _runs_alone(runs: Sequence[Run]) -> list[Run]:
    """Return the runs that still generate and are the only one of their position."""
    counts: dict[int, int] = {}
    for run in runs:
        counts[run.position] = counts.get(run.position, 0) + 1
    return [
        run
        for run in runs
        if counts[run.position] <= MAX_RUNS_BEFORE_COPY and run.generated_at_s == UNSET_TIME_S
    ]


def _select_within_budget(
    wastes: Sequence[tuple[Run, float]], budget_tokens: float
) -> Sequence[Run]:
    selected = []
    for run, waste_tokens in wastes:
        if waste_tokens <= budget_tokens:
            budget_tokens -= waste_tokens
            selected.append(run)
    return selected
