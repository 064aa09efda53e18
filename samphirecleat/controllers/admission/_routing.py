"""Chooses the target of one call from lagged reports and this node's own traffic.

Every node sees only its own calls and reports that are up to a second old. Nodes
that all chased the least loaded target would meet there, so the choice is made
among a few candidates that differ from call to call.
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
OTHER_ZONE_PENALTY: Final = 0.25
RANKED_CANDIDATES: Final = 3


class RoutingView(NamedTuple):
    """What one choice is made from.

    ``own_in_flight`` counts this node's calls by target address; ``node_count``
    is how many nodes send to the same targets; ``pace`` is how many times slower
    than the service's median a target answered this node lately; ``turn`` counts
    this node's choices for the service.
    """

    targets: Sequence[TargetView]
    own_in_flight: Mapping[str, int]
    node_count: int
    zone: str
    excluded: Collection[str] = ()
    pace: Mapping[str, float] = {}
    prompt: str = ""
    turn: int = 0


def choose_target(
    policy: RoutingPolicy, view: RoutingView, rng: random.Random, now_s: float
) -> TargetView | None:
    """Return the target for one call, or None when none may take it."""
    usable = [t for t in view.targets if t.usable and t.address not in view.excluded]
    if not usable:
        return None

    def load(target: TargetView) -> float:
        return expected_load(target, view, now_s)

    match policy:
        case RandomTarget():
            return rng.choice(usable)
        case RoundRobin():
            return sorted(usable)[view.turn % len(usable)]
        case LeastReported():
            return min(usable, key=lambda target: (target.running + target.waiting, target))
        case TwoChoices():
            return min(rng.sample(usable, min(2, len(usable))), key=load)
        case PrefixAffinity():
            if not view.prompt:
                return min(rng.sample(usable, min(2, len(usable))), key=load)
            return _choose_by_prefix(policy, view, usable, load)


def expected_load(target: TargetView, view: RoutingView, now_s: float) -> float:
    """Return the expected share of the target's slots in use, 1.0 when full.

    A report counts for less the older it is; what this node itself has in
    flight, times the number of nodes, stands in for the rest. A target that
    answers slowly, or in another availability zone, counts as fuller than it is.
    """
    age_s = max(0.0, now_s - target.reported_at_s)
    trust: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    own = view.own_in_flight.get(target.address, 0)
    reported = target.running + target.waiting
    expected = trust * max(reported, own) + (1.0 - trust) * own * max(1, view.node_count)
    pace = max(1.0, view.pace.get(target.address, 1.0))
    load = pace * (expected + 1.0) / max(1, target.slots)
    return load if target.zone == view.zone else load + OTHER_ZONE_PENALTY


def _choose_by_prefix(
    policy: PrefixAffinity,
    view: RoutingView,
    usable: Sequence[TargetView],
    load: Callable[[TargetView], float],
) -> TargetView:
    """Return the first target in the prefix's rank whose load is within the bound.

    Every node ranks alike without a word, so that calls with one prefix meet in
    one target's cache; the bound sends a popular prefix on to the next in rank.
    """
    prefix = view.prompt[: policy.prefix_length]
    ranked = sorted(usable, key=lambda target: _rank(prefix, target), reverse=True)
    loads = {target.address: load(target) for target in usable}
    mean = sum(loads.values()) / len(loads)
    for target in ranked[:RANKED_CANDIDATES]:
        one_call = 1.0 / max(1, target.slots)
        if loads[target.address] <= policy.load_bound * mean + one_call:
            return target
    return min(ranked, key=lambda target: loads[target.address])


def _rank(prefix: str, target: TargetView) -> bytes:
    return hashlib.blake2b(f"{prefix}\0{target.address}".encode(), digest_size=8).digest()
