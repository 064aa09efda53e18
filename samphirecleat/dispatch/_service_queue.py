"""The queue of one service: which calls wait, in which order they start, at which target.

Load addressed: for seconds, callers send several times as many calls as the targets of a service
can serve, while targets fail or become slow. If every call is sent at once, the targets refuse most
of them and answer the others late. Here a call waits only if it can still be answered in time, and
any other call is refused at once, with a time to retry at which there will be capacity.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from enum import IntEnum
from typing import Final

from ..serving import SendOutcome, Target
from ._capacity import ServiceCapacity
from ._decisions import Decision, Refusal, RefusalReason, Start, Wait
from ._placement import Placement
from ._recent_starts import RecentStarts
from ._returns import MAX_DELAY_SHARE, MIN_DELAY_SHARE, ReturnSchedule
from ._target_limiter import TargetLimiter
from ._waiting_calls import QueuedCall, WaitingCalls

# Callers' calls that start for each call of a trainer while both wait: trainers get a sixth.
CALLERS_PER_TRAINER: Final = 5
# A call is admitted if its wait leaves this many mean times for the answer. Durations vary, and the
# estimate of the wait has errors of a few calls; with a smaller margin, calls are refused after
# they have waited.
ANSWER_MEANS: Final = 2.5
# A waiting call is started only if its answer is due after this many expected times: half of the
# calls take longer than the mean.
START_MEANS: Final = 1.25
# A fall of the service rate by this share is a loss of capacity and not noise of the estimate.
CAPACITY_LOSS: Final = 0.2
# A waiting call is replaced only if it has waited for at most this share of its objective, so that
# its caller still has time to retry.
MAX_REFUSAL_SHARE: Final = 0.25
# Time between two checks for calls that are out of time.
SWEEP_S: Final = 0.01
# Longest time for which the wait is estimated.
HORIZON_S: Final = 2.0


class _Rank(IntEnum):
    """Order of callers' calls of one priority.

    A REPEATED call has had an attempt that failed. A FRESH one arrives for the first time. A
    RETURNING one has been refused before. LATE ones can meet their deadline only.
    """

    REPEATED = 0
    FRESH = 1
    RETURNING = 2
    LATE = 3


def _objective_end(entry: QueuedCall) -> float:
    return min(entry.objective_end_s, entry.deadline_s)


def _deadline(entry: QueuedCall) -> float:
    return entry.deadline_s


class ServiceQueue:
    """The waiting calls of a service and the limiters of its targets; does no I/O.

    ``offer`` and ``put_back`` decide on one call. ``advance`` has to be called after each change
    and at least every ``SWEEP_S`` while calls wait; it returns calls that start or are refused.
    """

    def __init__(
        self,
        reach_cost: Callable[[Target, float], float],
        runs_suspect: Callable[[Target], bool],
    ) -> None:
        """Take the cost of reaching a target, in means, and which targets to use last."""
        self.capacity = ServiceCapacity()
        self.limiters = self.capacity.limiters
        self.returns = ReturnSchedule()
        self._placement = Placement(self.limiters, reach_cost, runs_suspect)
        self._starts = RecentStarts()
        self._callers: dict[tuple[int, _Rank], WaitingCalls] = {}
        self._trainers: dict[int, WaitingCalls] = {}
        self._caller_count = 0
        self._trainer_count = 0
        self._callers_in_row = 0
        self._usual_rate_per_s = 0.0
        self._swept_at_s = -math.inf

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._caller_count + self._trainer_count

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set the targets that may be used; ``advance`` has to be called afterwards."""
        self.capacity.set_targets(targets)
        self._swept_at_s = -math.inf

    def projected_wait_s(self, now_s: float) -> float:
        """Return the wait of a caller's new call, infinite without targets."""
        if not self.limiters.by_instance:
            return math.inf
        if not self._caller_count and self.capacity.accepts(now_s):
            return 0.0
        ahead = sum(
            len(waiting) for (_, rank), waiting in self._callers.items() if rank <= _Rank.FRESH
        )
        return min(HORIZON_S, self.capacity.drain_s(ahead + 1, now_s, self._starts_per_call()))

    def oldest_wait_s(self, now_s: float) -> float:
        """Return how long the longest waiting call has waited."""
        queues = [*self._callers.values(), *self._trainers.values()]
        return max(
            (now_s - entry.arrival_s for waiting in queues for entry in waiting), default=0.0
        )

    def offer(self, entry: QueuedCall, now_s: float) -> Decision:
        """Decide on a new call."""
        if not self.limiters.by_instance:
            return self._refuse(entry, RefusalReason.NO_TARGET, now_s)
        if not entry.for_trainer and _rank_of(entry) is _Rank.FRESH:
            self.capacity.arrivals.record(now_s)
        if not self._is_outranked(entry):
            start = self._start_now(entry, now_s)
            if start is not None:
                return start
        if entry.for_trainer:
            return self._add(entry)
        reason = self._reason_to_refuse(entry, now_s)
        if reason is None:
            return self._add(entry)
        victim = None
        if reason is not RefusalReason.CLOSED:
            victim = self._replaceable(entry, now_s)
        if victim is None:
            return self._refuse(entry, reason, now_s)
        self.remove(victim)
        self._add(entry)
        return Wait(entry, self._refuse(victim, RefusalReason.REPLACED, now_s))

    def start_hedge(self, entry: QueuedCall, now_s: float) -> Start | None:
        """Start a second attempt of a call if no call waits and another target has a free slot."""
        if len(self):
            return None
        limiter = self._placement.other_target_for(entry, now_s)
        return self._start(entry, limiter, now_s) if limiter is not None else None

    def _start_now(self, entry: QueuedCall, now_s: float) -> Start | None:
        """Start a call that doesn't wait, if a target has free capacity that serves it in time."""
        due_s = entry.deadline_s if entry.for_trainer else _objective_end(entry)
        limiter = self._placement.target_for(entry, due_s, now_s)
        return self._start(entry, limiter, now_s) if limiter is not None else None

    def put_back(self, entry: QueuedCall, now_s: float) -> Wait | Refusal:
        """Queue a call again that a target refused, at its old position."""
        if not self.limiters.by_instance:
            return self._refuse(entry, RefusalReason.NO_TARGET, now_s)
        return self._add(entry)

    def remove(self, entry: QueuedCall) -> None:
        """Remove a waiting call; nothing happens if it doesn't wait."""
        if entry.for_trainer:
            waiting = self._trainers.get(entry.priority)
            self._trainer_count -= waiting is not None and waiting.remove(entry)
            return
        for rank in (_rank_of(entry), _Rank.LATE):
            waiting = self._callers.get((entry.priority, rank))
            if waiting is not None and waiting.remove(entry):
                self._caller_count -= 1
                return

    def finish(self, start: Start, outcome: SendOutcome, now_s: float) -> None:
        """End a started call; ``advance`` has to be called afterwards."""
        entry = start.entry
        start.limiter.finish(entry.key, entry.body_bytes, outcome, now_s)
        if outcome in (SendOutcome.REFUSED, SendOutcome.NOT_SENT):
            self._starts.undo(entry.workspace, now_s)
        if outcome is not SendOutcome.ANSWERED:
            self.capacity.expire()

    def advance(self, now_s: float) -> Sequence[Start | Refusal]:
        """Return the calls that start now and those that can no longer be served in time."""
        if not self.limiters.by_instance:
            return self._refuse_all(now_s)
        decisions: list[Start | Refusal] = []
        if len(self) and not 0.0 <= now_s - self._swept_at_s < SWEEP_S:
            self._swept_at_s = now_s
            decisions += self._take_late(now_s)
            decisions += self._shed(now_s)
        while len(self):
            start = self._start_next(now_s)
            if start is None:
                break
            decisions.append(start)
        return decisions

    def _start_next(self, now_s: float) -> Start | None:
        for limiter in self._placement.free_targets(now_s):
            entry = self._next_for(limiter, now_s)
            if entry is not None:
                self.remove(entry)
                return self._start(entry, limiter, now_s)
        return None

    def _next_for(self, limiter: TargetLimiter, now_s: float) -> QueuedCall | None:
        """Return the call that goes first of those that a target can serve in time."""

        def fits(entry: QueuedCall) -> bool:
            return self._placement.fits(entry, limiter, now_s)

        def first(queues: Iterable[WaitingCalls], due_from_s: float) -> QueuedCall | None:
            found = (waiting.first(due_from_s, self._starts, fits) for waiting in queues)
            return next((entry for entry in found if entry is not None), None)

        callers = [self._callers[rank] for rank in sorted(self._callers)]
        callers_due_s = now_s + START_MEANS * self._placement.expected_s(
            limiter, now_s, for_trainer=False
        )
        trainers = [self._trainers[priority] for priority in sorted(self._trainers)]
        trainers_due_s = now_s + self._placement.expected_s(limiter, now_s, for_trainer=True)
        if self._is_trainers_turn:
            return first(trainers, trainers_due_s) or first(callers, callers_due_s)
        return first(callers, callers_due_s) or first(trainers, trainers_due_s)

    @property
    def _is_trainers_turn(self) -> bool:
        return self._trainer_count > 0 and self._callers_in_row >= CALLERS_PER_TRAINER

    def _start(self, entry: QueuedCall, limiter: TargetLimiter, now_s: float) -> Start:
        probe = limiter.start(entry.key, entry.body_bytes, now_s, for_trainer=entry.for_trainer)
        self.limiters.record_start(for_trainer=entry.for_trainer)
        self._starts.record(entry.workspace, now_s)
        if entry.for_trainer:
            self._callers_in_row = 0
        elif self._trainer_count:
            self._callers_in_row += 1
        return Start(entry, limiter, probe)

    def _add(self, entry: QueuedCall) -> Wait:
        if entry.for_trainer:
            waiting = self._trainers.setdefault(entry.priority, WaitingCalls(_deadline))
            self._trainer_count += 1
        else:
            rank = _rank_of(entry)
            due_s = _deadline if rank is _Rank.REPEATED else _objective_end
            waiting = self._callers.setdefault((entry.priority, rank), WaitingCalls(due_s))
            self._caller_count += 1
        waiting.add(entry)
        return Wait(entry)

    def _is_outranked(self, entry: QueuedCall) -> bool:
        """Whether a waiting call ranks before a new one."""
        if entry.for_trainer:
            if any(len(waiting) for p, waiting in self._trainers.items() if p <= entry.priority):
                return True
            return self._caller_count > 0 and self._callers_in_row < CALLERS_PER_TRAINER
        return self._is_trainers_turn or self._ahead_of(entry.priority, _rank_of(entry)) > 0

    def _ahead_of(self, priority: int, rank: _Rank) -> int:
        """Return the number of waiting callers' calls up to a priority and rank."""
        if not self._caller_count:
            return 0
        return sum(len(waiting) for at, waiting in self._callers.items() if at <= (priority, rank))

    def _reason_to_refuse(self, entry: QueuedCall, now_s: float) -> RefusalReason | None:
        """Return why a caller's call can't wait, None if it can."""
        answer_s = ANSWER_MEANS * self.capacity.estimates(now_s).fastest_s
        to_deadline_s = entry.deadline_s - now_s - answer_s
        to_objective_s = _objective_end(entry) - now_s - answer_s
        rank = _rank_of(entry)
        if self.capacity.rate_per_s(now_s) <= 0.0:
            allowed_s = to_objective_s if rank is _Rank.FRESH else to_deadline_s
            wait_s = self.capacity.drain_s(len(self) + 1, now_s, self._starts_per_call())
            return RefusalReason.CLOSED if wait_s > allowed_s else None
        ahead = self._ahead_of(entry.priority, rank) + 1
        match rank:
            case _Rank.FRESH:
                wait_s = self.capacity.drain_s(ahead, now_s, self._starts_per_call(), swift=True)
                return RefusalReason.OBJECTIVE if wait_s > to_objective_s else None
            case _Rank.REPEATED:
                wait_s = self.capacity.drain_s(ahead, now_s, self._starts_per_call())
                return RefusalReason.DEADLINE if wait_s > to_deadline_s else None
        if self.capacity.spare_drain_s(ahead, now_s, self._starts_per_call()) <= to_objective_s:
            return None
        return None if self._can_be_late(entry, now_s) else RefusalReason.DEADLINE

    def _can_be_late(self, entry: QueuedCall, now_s: float) -> bool:
        """Whether a call that misses its objective can be answered before its deadline."""
        answer_s = ANSWER_MEANS * self.capacity.estimates(now_s).fastest_s
        left_s = entry.deadline_s - now_s - answer_s
        ahead = self._ahead_of(entry.priority, _Rank.LATE) + 1
        return self.capacity.spare_drain_s(ahead, now_s, self._starts_per_call()) <= left_s

    def _starts_per_call(self) -> float:
        """Return the starts per start of a caller's call."""
        return 1.0 + 1.0 / CALLERS_PER_TRAINER if self._trainer_count else 1.0

    def _replaceable(self, entry: QueuedCall, now_s: float) -> QueuedCall | None:
        """Return the call that has to give way to one of a workspace with few calls waiting."""
        waiting = self._callers.get((entry.priority, _rank_of(entry)))
        if waiting is None or not len(waiting):
            return None
        own = waiting.count_of(entry.workspace)
        if own >= len(waiting) / (waiting.workspaces + (own == 0)):
            return None
        victim = waiting.last_of_largest()
        if waiting.count_of(victim.workspace) <= own + 1:
            return None
        objective_s = victim.objective_end_s - victim.arrival_s
        return victim if now_s - victim.arrival_s <= MAX_REFUSAL_SHARE * objective_s else None

    def _take_late(self, now_s: float) -> Sequence[Refusal]:
        """Remove calls that even the fastest target can't answer in time.

        Returning calls that can still meet their deadline stay, behind the others.
        """
        refusals = []
        callers_due_s = now_s + START_MEANS * self.capacity.estimates(now_s).fastest_s
        for (priority, rank), waiting in list(self._callers.items()):
            for entry in waiting.take_due_before(callers_due_s):
                self._caller_count -= 1
                if rank is _Rank.RETURNING and self._can_be_late(entry, now_s):
                    late = self._callers.setdefault((priority, _Rank.LATE), WaitingCalls(_deadline))
                    late.add(entry)
                    self._caller_count += 1
                    continue
                reason = RefusalReason.LATE if rank is _Rank.FRESH else RefusalReason.DEADLINE
                refusals.append(self._refuse(entry, reason, now_s))
        trainers_due_s = now_s + self.capacity.estimates(now_s).fastest_trainer_s
        for waiting in self._trainers.values():
            for entry in waiting.take_due_before(trainers_due_s):
                self._trainer_count -= 1
                refusals.append(self._refuse(entry, RefusalReason.DEADLINE, now_s))
        return refusals

    def _refuse_all(self, now_s: float) -> Sequence[Refusal]:
        """Refuse every waiting call, since the service has no target left."""
        queues = [*self._callers.values(), *self._trainers.values()]
        waiting = [entry for waiting in queues for entry in waiting]
        for entry in waiting:
            self.remove(entry)
        return [self._refuse(entry, RefusalReason.NO_TARGET, now_s) for entry in waiting]

    def _shed(self, now_s: float) -> Sequence[Refusal]:
        """Refuse waiting calls that can't be served in time since capacity was lost."""
        rate_per_s = self.capacity.rate_per_s(now_s)
        if rate_per_s >= (1.0 - CAPACITY_LOSS) * self._usual_rate_per_s:
            self._usual_rate_per_s = max(rate_per_s, self._usual_rate_per_s)
            return []
        self._usual_rate_per_s = rate_per_s
        refusals = []
        ahead = 0
        for (_, rank), waiting in sorted(self._callers.items(), key=lambda item: item[0]):
            for entry in list(waiting):
                if self._is_in_time(entry, rank, ahead + 1, now_s):
                    ahead += 1
                    continue
                waiting.remove(entry)
                self._caller_count -= 1
                refusals.append(self._refuse(entry, RefusalReason.CAPACITY, now_s))
        return refusals

    def _is_in_time(self, entry: QueuedCall, rank: _Rank, position: int, now_s: float) -> bool:
        due_s = _objective_end(entry) if rank is _Rank.FRESH else entry.deadline_s
        left_s = due_s - now_s - self.capacity.estimates(now_s).fastest_s
        if rank <= _Rank.FRESH:
            return self.capacity.drain_s(position, now_s, self._starts_per_call()) <= left_s
        return self.capacity.spare_drain_s(position, now_s, self._starts_per_call()) <= left_s

    def _refuse(self, entry: QueuedCall, reason: RefusalReason, now_s: float) -> Refusal:
        """Refuse a call with a time to retry.

        It is booked in the capacity that is left beside the calls that arrive now. Only callers
        that have not been refused before get a booking, since callers retry once.
        """
        left_s = max(0.0, entry.deadline_s - now_s)
        longest_s = left_s * MAX_DELAY_SHARE
        if self.capacity.rate_per_s(now_s) <= 0.0:
            delay_s = max(left_s * MIN_DELAY_SHARE, self.capacity.reopens_at_s() - now_s)
            return Refusal(entry, reason, min(longest_s, delay_s), booked=False)
        spare_per_s = self.capacity.spare_rate_per_s(now_s, self._starts_per_call())
        drain_s = self.capacity.spare_drain_s(self._caller_count, now_s, self._starts_per_call())
        if entry.returning or entry.for_trainer:
            delay = self.returns.free_delay_s(now_s, left_s, spare_per_s, drain_s)
            return Refusal(entry, reason, longest_s if delay is None else delay, booked=False)
        overflows = self.returns.overflows
        delay_s = self.returns.book(now_s, left_s, spare_per_s, drain_s)
        return Refusal(entry, reason, delay_s, booked=self.returns.overflows == overflows)


def _rank_of(entry: QueuedCall) -> _Rank:
    if entry.repeated:
        return _Rank.REPEATED
    return _Rank.RETURNING if entry.returning else _Rank.FRESH
