"""Which target of a service takes the next call.

Load addressed: targets of one service differ in speed and distance and become slow for seconds. A
call at the wrong one is late although another target would have answered it in time.
"""

from collections.abc import Callable, Sequence

from ..serving import Target
from ._target_limiter import LimiterTable, TargetLimiter
from ._waiting_calls import QueuedCall


class Placement:
    """Ranks the targets of a service for a call, by their limiters."""

    def __init__(
        self,
        limiters: LimiterTable,
        reach_cost: Callable[[Target, float], float],
        runs_suspect: Callable[[Target], bool],
    ) -> None:
        """Take the cost of reaching a target, in means, and which targets to use last."""
        self._limiters = limiters
        self._reach_cost = reach_cost
        self._runs_suspect = runs_suspect

    def target_for(self, entry: QueuedCall, due_s: float, now_s: float) -> TargetLimiter | None:
        """Return the target for a call that is due at ``due_s``, None if it should wait.

        It waits if it would be late at any free target and a faster one becomes free in time.
        """
        limiters = [
            limiter for limiter in self.free_targets(now_s) if self.fits(entry, limiter, now_s)
        ]
        for limiter in limiters:
            if now_s + self.expected_s(limiter, now_s, for_trainer=entry.for_trainer) <= due_s:
                return limiter
        if not limiters or self._is_faster_target_due(entry, due_s, now_s):
            return None
        return limiters[0]

    def other_target_for(self, entry: QueuedCall, now_s: float) -> TargetLimiter | None:
        """Return a free target for a second attempt, none of those to avoid."""
        for limiter in self.free_targets(now_s):
            is_other = limiter.target.instance not in entry.excluded
            if is_other and not limiter.is_closed and limiter.accepts(entry.body_bytes, now_s):
                return limiter
        return None

    def free_targets(self, now_s: float) -> Sequence[TargetLimiter]:
        """Return the targets that take another call, the best first."""
        free = [
            limiter for limiter in self._limiters.by_instance.values() if limiter.accepts(0, now_s)
        ]
        if len(free) > 1:
            free.sort(key=lambda limiter: self._placement_order(limiter, now_s))
        return free

    def _placement_order(self, limiter: TargetLimiter, now_s: float) -> tuple[bool, float, float]:
        mean_s = self._limiters.mean_s(limiter, now_s, for_trainer=False)
        load = (limiter.in_flight + 1) / limiter.slots
        cost_s = (max(1.0, load) + self._reach_cost(limiter.target, now_s)) * mean_s
        return self._runs_suspect(limiter.target), cost_s, load

    def expected_s(self, limiter: TargetLimiter, now_s: float, *, for_trainer: bool) -> float:
        """Return the expected time to the answer of a call that is sent to a target now."""
        load = (limiter.in_flight + 1) / limiter.slots
        return max(1.0, load) * self._limiters.mean_s(limiter, now_s, for_trainer=for_trainer)

    def fits(self, entry: QueuedCall, limiter: TargetLimiter, now_s: float) -> bool:
        """Whether a target may take a call; one to avoid only if no other accepts work."""
        if not limiter.accepts(entry.body_bytes, now_s):
            return False
        if limiter.target.instance not in entry.excluded:
            return True
        return all(
            other.is_closed or instance in entry.excluded
            for instance, other in self._limiters.by_instance.items()
        )

    def _is_faster_target_due(self, entry: QueuedCall, due_s: float, now_s: float) -> bool:
        """Whether a busy target becomes free in time to answer a call when it is due."""
        for limiter in self._limiters.by_instance.values():
            if limiter.is_closed or limiter.accepts(entry.body_bytes, now_s):
                continue
            mean_s = self._limiters.mean_s(limiter, now_s, for_trainer=entry.for_trainer)
            if now_s + mean_s * (1.0 / limiter.slots + 1.0) <= due_s:
                return True
        return False
