"""How many spot targets of a service to order in each availability zone: a pure decision.

Load pattern answered: steps of several trainers come in waves that fill every place for a second
or two; what starts a second late in a wave is late at its end. Between waves most places are free,
but a target takes seconds to boot, so what a wave needs must stand before it comes. The peak moves
with the trainers, so the largest of the last waves is what the next one is planned for.

Ordinary targets stay as the operator has them: whole steps depend on them, and a spot target costs
a fraction. Spot targets of a zone may all go at once, so they are spread over the zones.
"""

from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..serving import ScalingSpec

# Places wanted for each item of the largest wave. While versions are loaded, engines take no new
# item of the model, and the longest texts should find an engine of the better pace.
PLACES_PER_ITEM: Final = 1.25
# Spot targets may cost this part of what the ordinary ones cost: beyond it a service is short of
# ordinary targets, which is the operator's to decide.
COST_SHARE: Final = 0.25


class ZoneCapacity(NamedTuple):
    """The targets of a service that an availability zone has now.

    A ``dry`` zone has just had none to give.
    """

    zone: str
    ordinary: int
    spot: int
    dry: bool = False


def targets_for_wave(items: int, places: int) -> int:
    """Return how many targets of so many places a wave of so many items wants."""
    return -(-int(items * PLACES_PER_ITEM) // max(1, places))


def plan_spot_targets(
    zones: Sequence[ZoneCapacity], wanted_servers: int, scaling: ScalingSpec
) -> Mapping[str, int]:
    """Return how many spot targets each zone should have, for zones with a price.

    The sum covers what ``wanted_servers`` lacks beside the ordinary ones, within the bounds of
    each zone and of cost. Zones are filled evenly, cheaper ones first; a dry zone keeps what it
    has.
    """
    priced = [zone for zone in zones if zone.zone in scaling.zone_prices]
    plan = {zone.zone: zone.spot if zone.dry else 0 for zone in priced}
    if not 0.0 < scaling.spot_price < 1.0:
        return {}
    prices = scaling.zone_prices
    budget = COST_SHARE * sum(zone.ordinary * prices[zone.zone] for zone in priced)
    budget -= sum(plan[name] * prices[name] * scaling.spot_price for name in plan)
    lacking = wanted_servers - sum(zone.ordinary for zone in zones) - sum(plan.values())
    while lacking > 0:
        open_zones = [
            zone
            for zone in priced
            if not zone.dry
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
