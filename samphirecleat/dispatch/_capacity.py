"""What the targets of a service can serve now, and how long calls at a position must wait.

Load addressed: the rate of a service changes within a round of calls when its targets fail or
become slow, and what is left for callers that return depends on how many arrive for the first time.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from ..serving import Target
from ._arrivals import ArrivalRate
from ._target_limiter import LimiterTable

# Targets that are slower than the fastest one by more than this factor don't count for the wait of
# a call that has to be answered within its objective: they serve calls that have just arrived.
SWIFT_FACTOR: Final = 2.0
# Time for which estimates are reused.
ESTIMATE_TTL_S: Final = 0.005


class Estimates(NamedTuple):
    """The service rate of all targets and of the swift ones, and the smallest mean times."""

    rate_per_s: float
    swift_rate_per_s: float
    fastest_s: float
    fastest_trainer_s: float


class ServiceCapacity:
    """The limiters of a service's targets, the rates at which they serve calls, and the waits.

    ``starts_per_call`` is how many calls start for each of the calls that are asked about, because
    others take turns with them.
    """

    def __init__(self) -> None:
        """Start without targets and arrivals."""
        self.limiters = LimiterTable()
        self.arrivals = ArrivalRate()
        self._current = Estimates(0.0, 0.0, 0.0, 0.0)
        self._estimated_at_s = -math.inf

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set the targets that may be used."""
        self.limiters.replace(targets)
        self.expire()

    def expire(self) -> None:
        """Estimate anew on the next question, after a target refused or failed."""
        self._estimated_at_s = -math.inf

    def rate_per_s(self, now_s: float) -> float:
        """Return the calls per second that the targets can serve."""
        return self.estimates(now_s).rate_per_s

    def estimates(self, now_s: float) -> Estimates:
        """Return the current estimates, at most ``ESTIMATE_TTL_S`` old."""
        if not 0.0 <= now_s - self._estimated_at_s < ESTIMATE_TTL_S:
            self._estimated_at_s = now_s
            self._current = self._estimate(now_s)
        return self._current

    def _estimate(self, now_s: float) -> Estimates:
        limiters = self.limiters.by_instance
        fastest_s = self.limiters.fastest_s(now_s, for_trainer=False)
        swift = [
            instance
            for instance, limiter in limiters.items()
            if self.limiters.mean_s(limiter, now_s, for_trainer=False) <= SWIFT_FACTOR * fastest_s
        ]
        return Estimates(
            self.limiters.service_rate_per_s(limiters, now_s),
            self.limiters.service_rate_per_s(swift, now_s),
            fastest_s,
            self.limiters.fastest_s(now_s, for_trainer=True),
        )

    def accepts(self, now_s: float) -> bool:
        """Whether a call could be sent to some target now."""
        return any(limiter.accepts(0, now_s) for limiter in self.limiters.by_instance.values())

    def spare_rate_per_s(self, now_s: float, starts_per_call: float) -> float:
        """Return the calls per second that can be served beside those that arrive now."""
        usable_per_s = self.rate_per_s(now_s) / starts_per_call
        return max(0.0, usable_per_s - self.arrivals.per_s(now_s))

    def drain_s(
        self, calls: int, now_s: float, starts_per_call: float, *, swift: bool = False
    ) -> float:
        """Return the time until a call at a position starts, or until a closed target reopens.

        With ``swift`` only targets count that are not slow. There must be a target.
        """
        rate_per_s = self.rate_per_s(now_s)
        if rate_per_s <= 0.0:
            # One call probes each target before the others start.
            probed_s = max(now_s, self.reopens_at_s()) + self.estimates(now_s).fastest_s
            return probed_s - now_s + calls / self.limiters.reopened_rate_per_s(now_s)
        if swift:
            rate_per_s = self.estimates(now_s).swift_rate_per_s
        return calls * starts_per_call / rate_per_s

    def spare_drain_s(self, calls: int, now_s: float, starts_per_call: float) -> float:
        """Return the time until a call starts that ranks behind all calls that arrive now."""
        if self.rate_per_s(now_s) <= 0.0:
            return self.drain_s(calls, now_s, starts_per_call)
        spare_per_s = self.spare_rate_per_s(now_s, starts_per_call)
        return calls / spare_per_s if spare_per_s > 0.0 else math.inf

    def reopens_at_s(self) -> float:
        """Return the first time at which a closed target may be probed."""
        return min(
            (limiter.probe_due_s for limiter in self.limiters.by_instance.values()),
            default=math.inf,
        )
