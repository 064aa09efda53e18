"""Tracks how many calls each target of a service can take, and how fast it serves them.

Load addressed: a target has a few slots, queues about as many calls as it has slots a few times
over, and refuses the rest. Calls that are sent beyond the slots are answered late or refused. A
target may become several times slower within a second, or refuse everything for a while.
"""

from collections.abc import Collection, Iterable
from typing import Final

from ..serving import SendOutcome, Target

# Calls in flight beyond the slots: one call in transit keeps a slot from being idle for a round
# trip.
CALLS_IN_TRANSIT: Final = 1
# A target that refuses its only call is closed for the time in which a call or two end there, and
# for longer each time it does so again.
REFUSAL_CLOSE_S: Final = 0.05
MAX_REFUSAL_CLOSE_S: Final = 1.0
# Time for which a target is closed after a closed connection or silence: long enough to outlast a
# burst of failures, short enough to use a restarted target within a second.
FAILURE_CLOSE_S: Final = 1.0
# Request bodies in flight at one target. A target must hold what it has been sent, and crashes if
# this exceeds its memory. A larger body is sent only to a target with no other call of this node.
MAX_TARGET_BYTES: Final = 8 * 1024 * 1024
# Weight of the newest duration in a mean: the mean follows a target that becomes slow within the
# calls of two rounds.
MEAN_WEIGHT: Final = 0.2
# Means expire this long after the last answer, since only a call can show that a target recovered.
MEAN_TTL_S: Final = 8.0
# A call that runs for this many means shows that its target has become slower.
OVERDUE_MEANS: Final = 2.0
# Without an answer for this long, an abandoned call counts as silence of the target.
SILENCE_S: Final = 0.5
# Weight of the newest call in the share of trainers' calls. Theirs may take ten times as long, so
# that a larger weight would make the service rate jump with each of them.
SHARE_WEIGHT: Final = 0.005


class TargetLimiter:
    """One target: its calls in flight, its limit, and its mean time of a call.

    ``failed`` says that it is closed because of a failure and not because of refusals.
    Trainers' and callers' calls have separate means, because they may differ ten times in length.
    """

    def __init__(self, target: Target) -> None:
        """Start with the limit of the target's slots and no observations."""
        self.target = target
        self.slots = max(1, target.slots)
        self.limit = float(self.slots + CALLS_IN_TRANSIT)
        self.in_flight_bytes = 0
        self._calls: dict[int, tuple[float, bool, int]] = {}
        self._means_s: dict[bool, float] = {}
        self._seen_at_s = -1.0
        self._answered_at_s = -1.0
        self._closed_until_s = 0.0
        self._close_s = 0.0
        self.failed = False
        self._probe: int | None = None

    @property
    def in_flight(self) -> int:
        """Number of this node's calls at the target."""
        return len(self._calls)

    @property
    def is_closed(self) -> bool:
        """Whether the target gets no calls but a probe, because of refusals or a failure."""
        return self._close_s > 0.0

    @property
    def probe_due_s(self) -> float:
        """Time from which a closed target may be probed."""
        return self._closed_until_s

    def accepts(self, body_bytes: int, now_s: float) -> bool:
        """Whether a call with a body of this size may be sent now; for a closed one, as probe."""
        if self.is_closed:
            return self._probe is None and now_s >= self._closed_until_s
        if self.in_flight >= int(self.limit):
            return False
        return not self._calls or self.in_flight_bytes + body_bytes <= MAX_TARGET_BYTES

    def start(self, key: int, body_bytes: int, now_s: float, *, for_trainer: bool) -> bool:
        """Count a call; return whether it probes a closed target."""
        self._calls[key] = (now_s, for_trainer, len(self._calls) + 1)
        self.in_flight_bytes += body_bytes
        if self.is_closed:
            self._probe = key
        return self.is_closed

    def finish(self, key: int, body_bytes: int, outcome: SendOutcome, now_s: float) -> None:
        """Stop counting a call and learn from its outcome."""
        sent_at_s, for_trainer, in_flight = self._calls.pop(key)
        self.in_flight_bytes -= body_bytes
        probed = self._probe == key
        if probed:
            self._probe = None
        match outcome:
            case SendOutcome.ANSWERED:
                self._record_answer(now_s - sent_at_s, in_flight, now_s, for_trainer=for_trainer)
            case SendOutcome.REFUSED:
                self._record_refusal(now_s, probed=probed)
            case SendOutcome.FAILED:
                self._close_after_failure(now_s)
            case SendOutcome.ABANDONED:
                waited_s = now_s - sent_at_s
                if waited_s > self._means_s.get(for_trainer, waited_s):
                    self._record_duration(waited_s, now_s, for_trainer=for_trainer)
                if waited_s >= SILENCE_S and self._answered_at_s < sent_at_s:
                    self._close_after_failure(now_s)
            case SendOutcome.NOT_SENT:
                pass

    def mean_s(self, prior_s: float, now_s: float, *, for_trainer: bool) -> float:
        """Return the mean time of a call, ``prior_s`` without recent observations.

        It is larger while the oldest call in flight is overdue, so that a target that has stopped
        answering is recognized before its calls end.
        """
        mean_s = prior_s
        if now_s - self._seen_at_s <= MEAN_TTL_S:
            mean_s = self._means_s.get(for_trainer, prior_s)
        if not self._calls:
            return mean_s
        sent_at_s, oldest_for_trainer, _ = next(iter(self._calls.values()))
        usual_s = self._means_s.get(oldest_for_trainer, 0.0)
        overdue = (now_s - sent_at_s) / (OVERDUE_MEANS * usual_s) if usual_s > 0.0 else 1.0
        return mean_s * max(1.0, overdue)

    def _record_answer(
        self, took_s: float, in_flight: int, now_s: float, *, for_trainer: bool
    ) -> None:
        # A call beyond the slots waits at the target for one of the others to end.
        self._record_duration(
            took_s * min(1.0, self.slots / in_flight), now_s, for_trainer=for_trainer
        )
        self._answered_at_s = now_s
        self._close_s = 0.0
        self.failed = False
        self.limit = min(float(self.slots + CALLS_IN_TRANSIT), self.limit + 1.0 / self.limit)

    def _record_duration(self, took_s: float, now_s: float, *, for_trainer: bool) -> None:
        mean_s = self._means_s.get(for_trainer, took_s)
        if now_s - self._seen_at_s > MEAN_TTL_S:
            mean_s = took_s
        self._means_s[for_trainer] = max(0.001, mean_s + MEAN_WEIGHT * (took_s - mean_s))
        self._seen_at_s = now_s

    def _record_refusal(self, now_s: float, *, probed: bool) -> None:
        self.limit = max(1.0, float(self.in_flight))
        if probed or not self._calls:
            self._close(min(MAX_REFUSAL_CLOSE_S, max(REFUSAL_CLOSE_S, 2.0 * self._close_s)), now_s)

    def _close_after_failure(self, now_s: float) -> None:
        self.failed = True
        self._close(FAILURE_CLOSE_S, now_s)

    def _close(self, close_s: float, now_s: float) -> None:
        self._close_s = close_s
        self._closed_until_s = now_s + close_s


class LimiterTable:
    """The limiters of a service's targets by instance."""

    def __init__(self) -> None:
        """Start without targets."""
        self.by_instance: dict[str, TargetLimiter] = {}
        self.prior_s = 0.03
        self._trainer_share = 0.0

    def replace(self, targets: Iterable[Target]) -> None:
        """Set the targets; a limiter is kept unless its target has restarted or has other slots.

        Calls in flight at a target that has gone still finish at their own limiter.
        """
        limiters = {}
        for target in targets:
            limiter = self.by_instance.get(target.instance)
            if limiter is None or _start_and_slots(limiter.target) != _start_and_slots(target):
                limiter = TargetLimiter(target)
            limiter.target = target
            limiters[target.instance] = limiter
        self.by_instance = limiters

    def record_start(self, *, for_trainer: bool) -> None:
        """Count a start, for the share of trainers' calls."""
        self._trainer_share += SHARE_WEIGHT * (float(for_trainer) - self._trainer_share)

    def mean_s(self, limiter: TargetLimiter, now_s: float, *, for_trainer: bool) -> float:
        """Return the mean time of a call at a target."""
        return limiter.mean_s(self.prior_s, now_s, for_trainer=for_trainer)

    def fastest_s(self, now_s: float, *, for_trainer: bool) -> float:
        """Return the smallest mean time among the open targets, the prior if there is none."""
        return min(
            (
                self.mean_s(limiter, now_s, for_trainer=for_trainer)
                for limiter in self.by_instance.values()
                if not limiter.is_closed
            ),
            default=self.prior_s,
        )

    def service_rate_per_s(self, instances: Collection[str], now_s: float) -> float:
        """Return the calls per second that the open ones of these targets can serve."""
        limiters = [
            self.by_instance[instance] for instance in instances if instance in self.by_instance
        ]
        return self._rate_per_s([limiter for limiter in limiters if not limiter.is_closed], now_s)

    def reopened_rate_per_s(self, now_s: float) -> float:
        """Return the calls per second that all targets can serve once they are open again."""
        return self._rate_per_s(self.by_instance.values(), now_s)

    def _rate_per_s(self, limiters: Iterable[TargetLimiter], now_s: float) -> float:
        rate_per_s = 0.0
        for limiter in limiters:
            mean_s = self._trainer_share * self.mean_s(limiter, now_s, for_trainer=True)
            mean_s += (1.0 - self._trainer_share) * self.mean_s(limiter, now_s, for_trainer=False)
            rate_per_s += min(limiter.limit, float(limiter.slots)) / mean_s
        return rate_per_s


def _start_and_slots(target: Target) -> tuple[int, int]:
    return target.started_at_ms, target.slots
