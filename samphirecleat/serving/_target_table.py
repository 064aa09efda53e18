"""Tracks the targets that may receive work and selects one for each call.

Each node sees only its own share of the calls. A target may become slow, refuse calls or stop
answering while its registration still reports it as ready. A call under which a target crashed may
crash the next target too, which ends all other calls that run there.
"""

import hashlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from ._types import Route, Target
from ._warm_connections import WarmConnections

# Time for which a failed target is avoided if others are available: long enough to outlast a burst
# of failures, short enough to use a restarted target within a second.
FAILURE_BACKOFF_S: Final = 1.0
# A target that refused for lack of capacity may accept again as soon as one call has ended.
REFUSAL_BACKOFF_S: Final = 0.05
# Weight of the newest duration in a target's exponential moving average.
DURATION_EMA_WEIGHT: Final = 0.3
# Durations expire this long after a target's last call. Otherwise a target that was once slow would
# be avoided forever, since only a call can show that it has recovered.
DURATION_TTL_S: Final = 8.0
# Cost of opening a new connection, in calls in flight per slot: less than a call that waits at a
# target, but enough to keep a few calls per second on a few targets.
NEW_CONNECTION_COST: Final = 0.4
# Cost of a target in another availability zone, in calls in flight per slot.
OTHER_ZONE_COST: Final = 0.25


class _CallDuration(NamedTuple):
    """A target's mean call duration and the time of the last observation."""

    mean_s: float
    seen_at_s: float


class TargetTable:
    """Targets by instance, with this node's observations of each."""

    def __init__(self, zone: str, node_id: str = "") -> None:
        """Prefer targets in ``zone``; order equally good ones by a hash of ``node_id``."""
        self._zone = zone
        self._node_id = node_id
        self.targets: Mapping[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.in_flight: Counter[str] = Counter()
        self.suspect_runs: Counter[str] = Counter()
        self._backoff_until_s: dict[str, float] = {}
        self._failed_until_s: dict[str, float] = {}
        self._durations: dict[str, _CallDuration] = {}
        self.warm = WarmConnections()

    def replace(self, targets: Mapping[str, Target]) -> None:
        """Replace the targets; observations of removed targets are dropped."""
        for instance in self.targets.keys() - targets.keys():
            self.warm.forget(instance)
        self.targets = targets
        self._by_service = {}
        for target in targets.values():
            self._by_service.setdefault(target.service, []).append(target)
        if self._node_id:
            # Each node sees its own calls only. If all nodes preferred the same one of equally good
            # targets, it would be overloaded while the others are idle.
            for service_targets in self._by_service.values():
                service_targets.sort(key=self._node_rank)
        for observations in (self._backoff_until_s, self._failed_until_s, self._durations):
            for instance in [name for name in observations if name not in targets]:
                del observations[instance]

    def _node_rank(self, target: Target) -> bytes:
        name = f"{self._node_id}/{target.instance}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()

    def accepting_targets(self, service: str) -> Sequence[Target]:
        """Return the targets of a service that accept new work."""
        return [t for t in self._by_service.get(service, ()) if not t.draining]

    def record_start(self, target: Target, *, suspect: bool = False) -> None:
        """Count a call that is sent to a target; ``suspect`` if the call may crash it."""
        self.in_flight[target.instance] += 1
        self.suspect_runs[target.instance] += suspect

    def record_end(self, target: Target, *, suspect: bool = False) -> None:
        """Count a call that has ended; ``suspect`` as passed to ``record_start``."""
        self.in_flight[target.instance] -= 1
        self.suspect_runs[target.instance] -= suspect

    def record_answer(self, target: Target, duration_s: float, now_s: float) -> None:
        """Record the duration of a complete answer."""
        self._record_duration(target, duration_s, now_s)
        self._backoff_until_s.pop(target.instance, None)
        self._failed_until_s.pop(target.instance, None)

    def record_abandoned(self, target: Target, waited_s: float, now_s: float) -> None:
        """Record that a call was abandoned after ``waited_s`` without an answer.

        Calls to a slow target are cancelled when the hedged attempt answers first. If only answers
        counted, the target would never be recognized as slow, and every call sent there would wait
        for the hedged attempt.
        """
        duration = self._durations.get(target.instance)
        mean_s = (
            duration.mean_s
            if duration is not None
            else _median_s(d.mean_s for d in self._durations.values())
        )
        if waited_s > mean_s:
            self._record_duration(target, waited_s, now_s)

    def _record_duration(self, target: Target, duration_s: float, now_s: float) -> None:
        duration = self._durations.get(target.instance)
        mean_s = duration.mean_s if duration is not None else duration_s
        mean_s += DURATION_EMA_WEIGHT * (duration_s - mean_s)
        self._durations[target.instance] = _CallDuration(mean_s, now_s)

    def record_failure(self, target: Target, now_s: float, *, refused: bool) -> None:
        """Avoid a target for a while after a failure or a refusal."""
        backoff_s = REFUSAL_BACKOFF_S if refused else FAILURE_BACKOFF_S
        self._backoff_until_s[target.instance] = now_s + backoff_s
        if not refused:
            self._failed_until_s[target.instance] = now_s + backoff_s

    def has_failed(self, target: Target, now_s: float) -> bool:
        """Whether the target failed just before; a refusal for lack of capacity is no failure."""
        return self._failed_until_s.get(target.instance, 0.0) > now_s

    def is_backing_off(self, target: Target, now_s: float) -> bool:
        """Whether the target is currently avoided."""
        return self._backoff_until_s.get(target.instance, 0.0) > now_s

    def choose(
        self, services: Iterable[str], tried: Collection[str], now_s: float
    ) -> Target | None:
        """Return the target for the next attempt, None if there is none.

        A target in ``tried`` is returned only if no other is left, and one that is being avoided
        only if all are. A target that runs a suspect call of this node gets no other call while
        another target is available. An innocent call is then not lost if the target crashes, and a
        crash can be attributed to one suspect.
        """
        candidates = [target for service in services for target in self.accepting_targets(service)]
        if not candidates:
            return None
        means_s = self._recent_means_s(candidates, now_s)
        median_s = _median_s(means_s.values())

        def rank(target: Target) -> tuple[bool, bool, bool, float]:
            load = self.in_flight[target.instance] / max(1, target.slots)
            slowness = means_s.get(target.instance, median_s) / median_s
            return (
                target.instance in tried,
                self.is_backing_off(target, now_s),
                self.runs_suspect(target),
                (1.0 + load + self.reach_cost(target, now_s)) * max(1.0, slowness),
            )

        return min(candidates, key=rank)

    def runs_suspect(self, target: Target) -> bool:
        """Whether a call of this node that may crash the target runs there."""
        return self.suspect_runs[target.instance] > 0

    def reach_cost(self, target: Target, now_s: float) -> float:
        """Return the cost of another zone and of a new connection, in calls in flight per slot."""
        zone_cost = 0.0 if target.zone == self._zone else OTHER_ZONE_COST
        connection_cost = 0.0 if self.warm.has(target, now_s) else NEW_CONNECTION_COST
        return zone_cost + connection_cost

    def _recent_means_s(self, candidates: Sequence[Target], now_s: float) -> Mapping[str, float]:
        """Return the recently observed mean call durations by instance."""
        return {
            target.instance: duration.mean_s
            for target in candidates
            if (duration := self._durations.get(target.instance)) is not None
            and now_s - duration.seen_at_s <= DURATION_TTL_S
        }


def _median_s(means_s: Iterable[float]) -> float:
    """Return the lower median, at least 1 ms; 1.0 if there are no values."""
    values = sorted(means_s)
    return max(0.001, values[(len(values) - 1) // 2]) if values else 1.0


def select_services(route: Route, draw: float) -> Sequence[str]:
    """Return the service of a route that ``draw`` (0 to 1) selects by weight.

    The result holds at most one service: the operator sets the weights, and another service of the
    route isn't a replica of the selected one.
    """
    total = sum(max(0.0, part.weight) for part in route.services)
    if total <= 0.0:
        return [part.service for part in route.services][:1]
    remaining = draw * total
    for part in route.services:
        remaining -= max(0.0, part.weight)
        if remaining < 0.0:
            return [part.service]
    return [route.services[-1].service]
