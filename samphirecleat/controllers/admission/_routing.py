"""Chooses the target of a call from delayed load reports and this node's own traffic.

Every node sees only its own calls and reports that are up to a second old. If all
nodes chose the least loaded target, they would overload it together, so the choice
is made among a few candidates that differ from call to call.
"""

import hashlib
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Final, NamedTuple

from ...blackboard import TargetView
from ..policies import (
    LeastReported,
    PrefixAffinity,
    RandomTarget,
    RoundRobin,
    RoutingPolicy,
    TwoChoices,
)

REPORT_HALF_LIFE_S: Final = 1.0
CROSS_ZONE_PENALTY: Final = 0.25
MAX_RANKED_CANDIDATES: Final = 3


class RoutingView(NamedTuple):
    """The input of :func:`choose_target`.

    ``own_in_flight`` counts this node's calls by target address. ``node_count`` is the
    number of nodes that send to the same targets. ``slowdown`` is the recent latency of
    each target seen from this node, relative to the median of the service.
    ``choice_index`` counts this node's choices for the service.
    """

    targets: Sequence[TargetView]
    own_in_flight: Mapping[str, int]
    node_count: int
    zone: str
    excluded: Collection[str] = ()
    slowdown: Mapping[str, float] = {}
    prompt: str = ""
    choice_index: int = 0


def choose_target(
    policy: RoutingPolicy, view: RoutingView, rng: random.Random, now_s: float
) -> TargetView | None:
    """Return the target for a call, or None if no target is usable."""
    usable = [t for t in view.targets if t.usable and t.address not in view.excluded]
    if not usable:
        return None

    def load(target: TargetView) -> float:
        return expected_load(target, view, now_s)

    match policy:
        case RandomTarget():
            return rng.choice(usable)
        case RoundRobin():
            return sorted(usable)[view.choice_index % len(usable)]
        case LeastReported():
            return min(usable, key=lambda target: (target.running + target.waiting, target))
        case TwoChoices():
            return min(rng.sample(usable, min(2, len(usable))), key=load)
        case PrefixAffinity():
            if not view.prompt:
                return min(rng.sample(usable, min(2, len(usable))), key=load)
            return _choose_by_prefix(policy, view, usable, load)


def expected_load(target: TargetView, view: RoutingView, now_s: float) -> float:
    """Return the expected fraction of the target's slots in use, 1.0 when full.

    The weight of a report decreases with its age; the rest of the estimate is this
    node's own calls in flight times the number of nodes. Targets that are slow or in
    another availability zone count as more loaded than they are.
    """
    age_s = max(0.0, now_s - target.reported_at_s)
    trust: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    own = view.own_in_flight.get(target.address, 0)
    reported = target.running + target.waiting
    expected = trust * max(reported, own) + (1.0 - trust) * own * max(1, view.node_count)
    slowdown = max(1.0, view.slowdown.get(target.address, 1.0))
    load = slowdown * (expected + 1.0) / max(1, target.slots)
    return load if target.zone == view.zone else load + CROSS_ZONE_PENALTY


def _choose_by_prefix(
    policy: PrefixAffinity,
    view: RoutingView,
    usable: Sequence[TargetView],
    load: Callable[[TargetView], float],
) -> TargetView:
    """Return the highest-ranked target for the prefix whose load is within the bound.

    Rendezvous hashing gives every node the same ranking without coordination, so
    calls with the same prefix share one target's cache. The load bound moves the
    overflow of a popular prefix to the next target in the ranking.
    """
    prefix = view.prompt[: policy.prefix_length]
    ranked = sorted(usable, key=lambda target: _rank(prefix, target), reverse=True)
    loads = {target.address: load(target) for target in usable}
    mean = sum(loads.values()) / len(loads)
    for target in ranked[:MAX_RANKED_CANDIDATES]:
        one_call = 1.0 / max(1, target.slots)
        if loads[target.address] <= policy.load_bound * mean + one_call:
            return target
    return min(ranked, key=lambda target: loads[target.address])


def _rank(prefix: str, target: TargetView) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{target.address}".encode(), digest_size=8).digest()
