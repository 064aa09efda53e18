"""Chooses the target of one call: power of two choices over discounted load."""

import random
from collections.abc import Collection, Mapping, Sequence
from typing import Final, NamedTuple

from ..blackboard import TargetView

REPORT_HALF_LIFE_S: Final = 1.0
OTHER_ZONE_PENALTY: Final = 0.25


class RoutingView(NamedTuple):
    """What one choice is made from.

    ``own_in_flight`` counts this node's calls by target address; ``node_count``
    is how many nodes send to the same targets.
    """

    targets: Sequence[TargetView]
    own_in_flight: Mapping[str, int]
    node_count: int
    zone: str
    excluded: Collection[str] = ()


def choose_target(view: RoutingView, rng: random.Random, now_s: float) -> TargetView | None:
    """Return the target for one call, or None when none may take it.

    Two usable targets are drawn at random and the one with the lower expected
    load is taken: every node sees old reports, and all that chased the least
    loaded one would meet there.
    """
    usable = [t for t in view.targets if t.usable and t.address not in view.excluded]
    if not usable:
        return None
    drawn = rng.sample(usable, min(2, len(usable)))
    return min(drawn, key=lambda target: expected_load(target, view, now_s))


def expected_load(target: TargetView, view: RoutingView, now_s: float) -> float:
    """Return the expected share of the target's slots in use, 1.0 when full.

    A report counts for less the older it is; what this node itself has in
    flight, times the number of nodes, stands in for the rest.
    """
    age_s = max(0.0, now_s - target.reported_at_s)
    trust: float = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
    own = view.own_in_flight.get(target.address, 0)
    reported = target.running + target.waiting
    expected = trust * max(reported, own) + (1.0 - trust) * own * max(1, view.node_count)
    load = expected / max(1, target.slots)
    return load if target.zone == view.zone else load + OTHER_ZONE_PENALTY
