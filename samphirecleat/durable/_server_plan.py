"""Pure planning of the number of spot targets of a service per availability zone.

Load pattern: the steps of several trainers arrive in waves that fill every slot for a second or
two, and an item that starts a second late ends late. Between waves most slots are free, but a
target takes seconds to boot, so capacity must be ready before the wave arrives. Peaks shift with
the trainers, so the largest recent wave determines the plan.

The number of ordinary targets is left to the operator: steps depend on them, and spot targets cost
a fraction. All spot targets of a zone may be reclaimed at once, so they are spread over the zones.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..serving import ScalingSpec

# Slots planned for each item of the largest wave. The margin covers engines that accept no items
# while they load weights, and leaves faster engines for the longest texts.
SLOTS_PER_ITEM: Final = 1.25
# Limit for the cost of spot targets, as a share of the cost of the ordinary ones. A service that
# needs more lacks ordinary targets, which is for the operator to decide.
MAX_COST_SHARE: Final = 0.25


class ZoneCapacity(NamedTuple):
    """The current targets of a service in an availability zone.

    An ``exhausted`` zone recently had no spot capacity to provide.
    """

    zone: str
    ordinary: int
    spot: int
    exhausted: bool = False


def targets_for_wave(items: int, slots: int) -> int:
    """Return how many targets with ``slots`` slots a wave of ``items`` items needs."""
    return -(-int(items * SLOTS_PER_ITEM) // max(1, slots))


def plan_spot_targets(
    zones: Sequence[ZoneCapacity], wanted_targets: int, scaling: ScalingSpec
) -> Mapping[str, int]:
    """Return how many spot targets each zone should have, for all zones with a price.

    In total they fill the gap between the ordinary targets and ``wanted_targets``, within the limit
    of each zone and the cost limit. Zones are filled evenly, cheaper ones first. An exhausted zone
    keeps its current number. Empty if spot targets are not offered or not cheaper.
    """
    priced = [zone for zone in zones if zone.zone in scaling.zone_prices]
    plan = {zone.zone: zone.spot if zone.exhausted else 0 for zone in priced}
    if not 0.0 < scaling.spot_price < 1.0:
        return {}
    prices = scaling.zone_prices
    budget = MAX_COST_SHARE * sum(zone.ordinary * prices[zone.zone] for zone in priced)
    budget -= sum(plan[name] * prices[name] * scaling.spot_price for name in plan)
    lacking = wanted_targets - sum(zone.ordinary for zone in zones) - sum(plan.values())
    while lacking > 0:
        open_zones = [
            zone
            for zone in priced
            if not zone.exhausted
            and zone.ordinary + plan[zone.zone] < scaling.maximum
            and prices[zone.zone] * scaling.spot_price <= budget
        ]
        if not open_zones:
            break
        chosen = min(open_zones, key=lambda zone: (plan[zone.zone], prices[zone.zone], zone.zone))
        plan[chosen.zone] += 1
        budget -= prices[chosen.zone] * scaling.spot_price
        lacking -= 1
    return plan
