"""The targets that may get work now, and which of them a call goes to.

Load pattern answered: few calls per node over many nodes, where one target turns slow,
refuses, or falls silent while its entry still says that it is ready; and calls under which a
target ended, which may end the next one with all that runs there.
"""

import hashlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from ._types import Route, Target
from ._warm_connections import WarmConnections

# A target that failed is passed over this long unless no other is left: long enough to
# outlast a burst of failures, short enough to find a restarted target within a second.
FAULT_REST_S: Final = 1.0
# After a refusal for lack of room the next try may succeed as soon as one call has ended.
REFUSAL_REST_S: Final = 0.05
# Weight of the newest duration in a target's running mean.
DURATION_GAIN: Final = 0.3
# What was seen of a target's pace is forgotten this long after its last call: one that was slow is
# passed over, and nothing would ever show that it is fast again.
PACE_KEPT_S: Final = 8.0
# What a new connection counts against a target, as calls in flight: less than a call that waits
# there would cost, and enough for a few calls a second to stay with a few targets.
COLD_COST: Final = 0.4
# What a hop to another availability zone counts against a target, as calls in flight.
OTHER_ZONE_COST: Final = 0.25


class _Pace(NamedTuple):
    """How long a target's calls take on average, and when that was last seen."""

    mean_s: float
    seen_at_s: float


class TargetTable:
    """Targets by instance, with what this node has seen of each."""

    def __init__(self, zone: str, node_id: str = "") -> None:
        """Prefer targets of ``zone``; equal ones in an order of the node's own."""
        self._zone = zone
        self._node_id = node_id
        self.targets: Mapping[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self.in_flight: Counter[str] = Counter()
        self.suspect_runs: Counter[str] = Counter()
        self._rests_until_s: dict[str, float] = {}
        self._paces: dict[str, _Pace] = {}
        self.warm = WarmConnections()

    def replace(self, targets: Mapping[str, Target]) -> None:
        """Take the present targets; what was seen of those that are gone is forgotten."""
        for instance in self.targets.keys() - targets.keys():
            self.warm.forget(instance)
        self.targets = targets
        self._by_service = {}
        for target in targets.values():
            self._by_service.setdefault(target.service, []).append(target)
        if self._node_id:
            # Each node sees its own calls only. If all preferred the same of equal targets, that
            # one would be full while the others stand idle.
            for offered in self._by_service.values():
                offered.sort(key=self._own_rank)
        for seen in (self._rests_until_s, self._paces):
            for instance in [name for name in seen if name not in targets]:
                del seen[instance]

    def _own_rank(self, target: Target) -> bytes:
        name = f"{self._node_id}/{target.instance}".encode()
        return hashlib.blake2b(name, digest_size=8).digest()

    def serving(self, service: str) -> Sequence[Target]:
        """Return the targets of a service that take new work."""
        return [t for t in self._by_service.get(service, ()) if not t.draining]

    def started(self, target: Target, *, suspect: bool = False) -> None:
        """Count a call that goes to a target, and whether it may end that target."""
        self.in_flight[target.instance] += 1
        self.suspect_runs[target.instance] += suspect

    def ended(self, target: Target, *, suspect: bool = False) -> None:
        """Count a call that is over."""
        self.in_flight[target.instance] -= 1
        self.suspect_runs[target.instance] -= suspect

    def answered(self, target: Target, duration_s: float, now_s: float) -> None:
        """Note how long a whole answer took."""
        self._note_duration(target, duration_s, now_s)
        self._rests_until_s.pop(target.instance, None)

    def left_unanswered(self, target: Target, waited_s: float, now_s: float) -> None:
        """Note that a call was given up after a time without an answer.

        A slow target loses to the attempt beside it each time. If only answers counted, it
        would never be known as slow, and every call that goes there would wait for the second
        attempt.
        """
        pace = self._paces.get(target.instance)
        mean_s = (
            pace.mean_s if pace is not None else _typical_s(p.mean_s for p in self._paces.values())
        )
        if waited_s > mean_s:
            self._note_duration(target, waited_s, now_s)

    def _note_duration(self, target: Target, duration_s: float, now_s: float) -> None:
        pace = self._paces.get(target.instance)
        mean_s = pace.mean_s if pace is not None else duration_s
        mean_s += DURATION_GAIN * (duration_s - mean_s)
        self._paces[target.instance] = _Pace(mean_s, now_s)

    def failed(self, target: Target, now_s: float, *, refused: bool) -> None:
        """Pass a target over for a while after a failure or a refusal."""
        rest_s = REFUSAL_REST_S if refused else FAULT_REST_S
        self._rests_until_s[target.instance] = now_s + rest_s

    def resting(self, target: Target, now_s: float) -> bool:
        """Whether the target is passed over for now."""
        return self._rests_until_s.get(target.instance, 0.0) > now_s

    def choose(
        self, services: Iterable[str], tried: Collection[str], now_s: float
    ) -> Target | None:
        """Return the target for the next attempt, or None if there is none left.

        A target that was tried already comes back only if no other is left, and one
        that rests only if all do. One that runs a suspect call of this node is left alone with
        it: a call that is not at fault is not lost with its target, and two suspects that run
        apart can be told apart.
        """
        candidates = [target for service in services for target in self.serving(service)]
        if not candidates:
            return None
        means_s = self._means_s(candidates, now_s)
        typical_s = _typical_s(means_s.values())

        def cost(target: Target) -> tuple[bool, bool, bool, float]:
            load = self.in_flight[target.instance] / max(1, target.slots)
            slowness = means_s.get(target.instance, typical_s) / typical_s
            away = 0.0 if target.zone == self._zone else OTHER_ZONE_COST
            cold = 0.0 if self.warm.has(target, now_s) else COLD_COST
            return (
                target.instance in tried,
                self.resting(target, now_s),
                self.suspect_runs[target.instance] > 0,
                (1.0 + load + away + cold) * max(1.0, slowness),
            )

        return min(candidates, key=cost)

    def _means_s(self, candidates: Sequence[Target], now_s: float) -> Mapping[str, float]:
        """Return how long calls take by instance, where that was seen lately."""
        return {
            target.instance: pace.mean_s
            for target in candidates
            if (pace := self._paces.get(target.instance)) is not None
            and now_s - pace.seen_at_s <= PACE_KEPT_S
        }


def _typical_s(means_s: Iterable[float]) -> float:
    """Return the median, some positive time if there is none."""
    known = sorted(means_s)
    return max(0.001, known[(len(known) - 1) // 2]) if known else 1.0


def services_in_turn(route: Route, draw: float) -> Sequence[str]:
    """Return a route's services, the one that ``draw`` (0 to 1) falls on first.

    Only that one is used: a route's shares are the operator's, and another of its
    services is no replica of the first.
    """
    total = sum(max(0.0, part.weight) for part in route.services)
    if total <= 0.0:
        return [part.service for part in route.services][:1]
    mark = draw * total
    for part in route.services:
        mark -= max(0.0, part.weight)
        if mark < 0.0:
            return [part.service]
    return [route.services[-1].service]
