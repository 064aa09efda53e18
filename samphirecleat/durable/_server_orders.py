"""Orders spot targets for a service from the node that holds the service's duty.

An order sets the total of a zone, so repeating it is harmless. An order without an answer may take
effect seconds later, after a newer one. Once targets have had time to boot, the actual number of a
zone is compared with the ordered number, and the order is repeated if they differ.
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

CHECK_INTERVAL_S: Final = 0.2
ORDER_TIMEOUT_S: Final = 0.8
# Window over which the largest wave is planned for: two to five waves of steps that arrive every
# few seconds. The number of targets is reduced only after a peak leaves the window.
PEAK_WINDOW_S: Final = 20.0
# Delay before a zone without spot capacity, or one that refused an order, is asked again.
EXHAUSTED_ZONE_BACKOFF_S: Final = 3.0
# Delay before an order is repeated that got no answer or was rejected as busy.
UNKNOWN_OUTCOME_BACKOFF_S: Final = 1.0
# Added to a target's boot time before a missing target counts as a lost order: registrations arrive
# up to two seconds late.
REGISTRATION_DELAY_S: Final = 4.0


class ScaleOutcome(Enum):
    """The platform's answer to an order."""

    TAKEN = "taken"
    NONE_OR_FENCED = "none_or_fenced"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class ScaleChannel(Protocol):
    """Sends orders of targets to the platform."""

    async def order_spot(
        self, service: str, zone: str, count: int, holder: Holder, timeout_s: float
    ) -> ScaleOutcome:
        """Send one order for a zone's total of spot targets; never raises for a failure."""
        ...


class _ZoneOrder(NamedTuple):
    """State of the last order for a zone.

    No order is sent before ``backoff_until_s``; the zone counts as exhausted until
    ``exhausted_until_s``.
    """

    targets: int = 0
    taken_at_s: float = -1e9
    backoff_until_s: float = 0.0
    exhausted_until_s: float = 0.0


class ServerOrderer:
    """Keeps the number of spot targets of one service at the need of the largest recent wave."""

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
        """Order as ``holder``, only while ``sees_targets`` tells that all targets are known."""
        self._work = work
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._holder = holder
        self._observer = observer
        self._logger = observer.log("servers")
        self._sees_targets = sees_targets
        self._waves: deque[tuple[float, int]] = deque()
        self._ordered: dict[str, _ZoneOrder] = {}

    async def run(self) -> None:
        """Check periodically and order while the claim is current, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            self._record_wave(now_s)
            spec = self._routes.config.services.get(self._work.service)
            if spec is None or spec.scaling is None:
                continue
            if self._sees_targets() and self._holder.may_act_now():
                await self._adjust(spec.scaling, now_s)

    def _record_wave(self, now_s: float) -> None:
        items = self._work.items_to_generate()
        while self._waves and self._waves[-1][1] <= items:
            self._waves.pop()
        self._waves.append((now_s, items))
        while self._waves[0][0] < now_s - PEAK_WINDOW_S:
            self._waves.popleft()

    async def _adjust(self, scaling: ScalingSpec, now_s: float) -> None:
        slots = self._work.view.max_slots
        largest_wave = self._waves[0][1]
        wanted = targets_for_wave(largest_wave, slots)
        zones = self._zones(scaling, now_s)
        plan = plan_spot_targets(zones, wanted, scaling)
        self._update_metrics(zones, wanted)
        seen = {zone.zone: zone.spot for zone in zones}
        # Increases are ordered first, and reductions only if all of them were accepted. Otherwise
        # the substitutes for an exhausted zone would be released and ordered again repeatedly.
        increase_failed = False
        for zone, count in sorted(plan.items(), key=lambda row: seen[row[0]] - row[1]):
            if not self._is_due(zone, count, seen[zone], scaling, now_s):
                continue
            ordered = self._ordered.get(zone, _ZoneOrder()).targets
            if increase_failed and count < max(seen[zone], ordered):
                continue
            self._logger.info(
                "service=%s zone=%s spot=%d before=%d because wave_items=%d places=%d wanted=%d "
                "seen=%s fencing=%d",
                self._work.service,
                zone,
                count,
                ordered,
                largest_wave,
                slots,
                wanted,
                ",".join(f"{z.zone}:{z.ordinary}+{z.spot}" for z in zones),
                self._holder.fencing_number,
            )
            increase_failed |= await self._order(zone, count) is not ScaleOutcome.TAKEN

    def _zones(self, scaling: ScalingSpec, now_s: float) -> list[ZoneCapacity]:
        """Return the targets of each zone that has targets of the service or was ordered for."""
        ordinary: Counter[str] = Counter()
        spot: Counter[str] = Counter()
        for target in self._targets.accepting_targets(self._work.service):
            (spot if target.spot else ordinary)[target.zone] += 1
        return [
            ZoneCapacity(
                zone,
                ordinary[zone],
                spot[zone],
                self._ordered.get(zone, _ZoneOrder()).exhausted_until_s > now_s,
            )
            for zone in sorted(scaling.zone_prices)
            if ordinary[zone] + spot[zone] > 0 or zone in self._ordered
        ]

    def _is_due(self, zone: str, count: int, seen: int, scaling: ScalingSpec, now_s: float) -> bool:
        last = self._ordered.get(zone, _ZoneOrder())
        if now_s < last.backoff_until_s:
            return False
        if count != last.targets:
            return True
        settled = now_s - last.taken_at_s > scaling.boot_s + REGISTRATION_DELAY_S
        return settled and seen != count

    async def _order(self, zone: str, count: int) -> ScaleOutcome:
        last = self._ordered.get(zone, _ZoneOrder())
        outcome = await self._channel.order_spot(
            self._work.service, zone, count, self._holder, ORDER_TIMEOUT_S
        )
        now_s = asyncio.get_running_loop().time()
        self._observer.counters[f"server_orders_{outcome.value}"] += 1
        self._logger.info(
            "service=%s zone=%s spot=%d outcome=%s",
            self._work.service,
            zone,
            count,
            outcome.value,
        )
        match outcome:
            case ScaleOutcome.TAKEN:
                self._ordered[zone] = _ZoneOrder(count, now_s)
                self._observer.counters[f"servers_ordered_{zone}"] = count
            case ScaleOutcome.NONE_OR_FENCED:
                # If a newer holder is the reason, the log shows its claim before the backoff ends.
                until_s = now_s + EXHAUSTED_ZONE_BACKOFF_S
                self._ordered[zone] = last._replace(
                    backoff_until_s=until_s, exhausted_until_s=until_s
                )
            case ScaleOutcome.REFUSED:
                self._ordered[zone] = last._replace(
                    targets=count, backoff_until_s=now_s + EXHAUSTED_ZONE_BACKOFF_S
                )
            case ScaleOutcome.BUSY | ScaleOutcome.UNKNOWN:
                self._ordered[zone] = last._replace(
                    backoff_until_s=now_s + UNKNOWN_OUTCOME_BACKOFF_S
                )
        return outcome

    def _update_metrics(self, zones: list[ZoneCapacity], wanted: int) -> None:
        """Update the metrics of wanted and registered targets."""
        counters = self._observer.counters
        counters[f"servers_wanted_{self._work.service}"] = wanted
        for zone in zones:
            counters[f"servers_seen_{zone.zone}"] = zone.ordinary
            counters[f"servers_seen_spot_{zone.zone}"] = zone.spot
