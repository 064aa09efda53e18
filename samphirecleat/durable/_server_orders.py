"""Orders spot targets for a service, at the node that runs it.

An order names how many a zone is to have, so a repeat changes nothing. One without an answer may
be carried out seconds later, after a newer one; what the zone has is compared with what was
ordered once targets have had the time to boot, and ordered again where they differ.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..observe import Observer
from ..serving import RouteTable, ScalingSpec, TargetTable
from ._duty import Holder
from ._server_plan import ZoneCapacity, plan_spot_targets, targets_for_wave
from ._service_work import ServiceWork

LOOK_EVERY_S: Final = 0.2
ORDER_TIMEOUT_S: Final = 0.8
# The largest wave of this time is planned for: two to five waves of steps that come every few
# seconds. Fewer are ordered only when it has passed.
PEAK_KEPT_S: Final = 20.0
# A zone that had none to give is asked again after this long.
DRY_S: Final = 3.0
# After an order without an answer.
UNKNOWN_REST_S: Final = 1.0
# Added to the time that a target takes to boot before a zone without it counts as one that the
# order did not reach: registrations come up to two seconds late.
SETTLE_S: Final = 4.0


class ScaleOutcome(Enum):
    """What the platform answered to an order."""

    TAKEN = "taken"
    NONE_OR_FENCED = "none_or_fenced"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class ScaleChannel(Protocol):
    """Orders of targets to the platform."""

    async def order_spot(
        self, service: str, zone: str, count: int, holder: Holder, timeout_s: float
    ) -> ScaleOutcome:
        """Order once that a zone has so many spot targets; never raises for a failure."""
        ...


class _Ordered(NamedTuple):
    """The last order for a zone: how many, when it was taken, and when the next may follow."""

    servers: int = 0
    taken_at_s: float = -1e9
    rests_until_s: float = 0.0
    dry_until_s: float = 0.0


class ServerOrderer:
    """Keeps the spot targets of one service at what the largest of the last waves wants."""

    def __init__(
        self,
        work: ServiceWork,
        routes: RouteTable,
        targets: TargetTable,
        channel: ScaleChannel,
        holder: Holder,
        observer: Observer,
        sees_targets: Callable[[], bool],
    ) -> None:
        """Order as ``holder``, while this node ``sees_targets`` as they are now."""
        self._work = work
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._holder = holder
        self._observer = observer
        self._words = observer.log("servers")
        self._sees_targets = sees_targets
        self._waves: deque[tuple[float, int]] = deque()
        self._ordered: dict[str, _Ordered] = {}

    async def run(self) -> None:
        """Order for as long as the claim stands."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            now_s = asyncio.get_running_loop().time()
            self._note_wave(now_s)
            spec = self._routes.config.services.get(self._work.service)
            if spec is None or spec.scaling is None:
                continue
            if self._sees_targets() and self._holder.may_act_now():
                await self._step(spec.scaling, now_s)

    def _note_wave(self, now_s: float) -> None:
        items = self._work.items_to_make()
        while self._waves and self._waves[-1][1] <= items:
            self._waves.pop()
        self._waves.append((now_s, items))
        while self._waves[0][0] < now_s - PEAK_KEPT_S:
            self._waves.popleft()

    async def _step(self, scaling: ScalingSpec, now_s: float) -> None:
        places = self._work.view.most_places
        largest_wave = self._waves[0][1]
        wanted = targets_for_wave(largest_wave, places)
        zones = self._zones(scaling, now_s)
        plan = plan_spot_targets(zones, wanted, scaling)
        self._tell(zones, wanted)
        seen = {zone.zone: zone.spot for zone in zones}
        # More comes before fewer: what a dry zone lacks is not given up elsewhere before the zone
        # has given it, or targets would come and go for as long as it is dry.
        lacking = False
        for zone, count in sorted(plan.items(), key=lambda row: seen[row[0]] - row[1]):
            if not self._is_due(zone, count, seen[zone], scaling, now_s):
                continue
            ordered = self._ordered.get(zone, _Ordered()).servers
            if lacking and count < max(seen[zone], ordered):
                continue
            self._words.info(
                "service=%s zone=%s spot=%d before=%d because wave_items=%d places=%d wanted=%d "
                "seen=%s fencing=%d",
                self._work.service,
                zone,
                count,
                ordered,
                largest_wave,
                places,
                wanted,
                ",".join(f"{z.zone}:{z.ordinary}+{z.spot}" for z in zones),
                self._holder.fencing_number,
            )
            lacking |= await self._order(zone, count) is not ScaleOutcome.TAKEN

    def _zones(self, scaling: ScalingSpec, now_s: float) -> list[ZoneCapacity]:
        """Return what each zone has; a zone without any target of the service is none of its."""
        ordinary: Counter[str] = Counter()
        spot: Counter[str] = Counter()
        for target in self._targets.serving(self._work.service):
            (spot if target.spot else ordinary)[target.zone] += 1
        return [
            ZoneCapacity(
                zone,
                ordinary[zone],
                spot[zone],
                self._ordered.get(zone, _Ordered()).dry_until_s > now_s,
            )
            for zone in sorted(scaling.zone_prices)
            if ordinary[zone] + spot[zone] > 0 or zone in self._ordered
        ]

    def _is_due(self, zone: str, count: int, seen: int, scaling: ScalingSpec, now_s: float) -> bool:
        last = self._ordered.get(zone, _Ordered())
        if now_s < last.rests_until_s:
            return False
        if count != last.servers:
            return True
        settled = now_s - last.taken_at_s > scaling.boot_s + SETTLE_S
        return settled and seen != count

    async def _order(self, zone: str, count: int) -> ScaleOutcome:
        last = self._ordered.get(zone, _Ordered())
        outcome = await self._channel.order_spot(
            self._work.service, zone, count, self._holder, ORDER_TIMEOUT_S
        )
        now_s = asyncio.get_running_loop().time()
        self._observer.counters[f"server_orders_{outcome.value}"] += 1
        self._words.info(
            "service=%s zone=%s spot=%d outcome=%s",
            self._work.service,
            zone,
            count,
            outcome.value,
        )
        match outcome:
            case ScaleOutcome.TAKEN:
                self._ordered[zone] = _Ordered(count, now_s)
                self._observer.counters[f"servers_ordered_{zone}"] = count
            case ScaleOutcome.NONE_OR_FENCED:
                # If a newer holder is the reason, the log will say so before the rest is over.
                rest_s = now_s + DRY_S
                self._ordered[zone] = last._replace(rests_until_s=rest_s, dry_until_s=rest_s)
            case ScaleOutcome.REFUSED:
                self._ordered[zone] = last._replace(servers=count, rests_until_s=now_s + DRY_S)
            case ScaleOutcome.BUSY | ScaleOutcome.UNKNOWN:
                self._ordered[zone] = last._replace(rests_until_s=now_s + UNKNOWN_REST_S)
        return outcome

    def _tell(self, zones: list[ZoneCapacity], wanted: int) -> None:
        """Have the metrics say what is wanted and seen."""
        counters = self._observer.counters
        counters[f"servers_wanted_{self._work.service}"] = wanted
        for zone in zones:
            counters[f"servers_seen_{zone.zone}"] = zone.ordinary
            counters[f"servers_seen_spot_{zone.zone}"] = zone.spot
