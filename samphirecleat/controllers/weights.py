"""Brings the newest weights to every engine of a service, a few at a time."""

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..blackboard import Blackboard, TargetView, WeightsView
from ..config import Service, ServiceKind
from ..observe import Observer
from ..peers import rank_members
from ..platform import HttpWeightStore, WeightStoreUnavailableError
from ..targets import TargetClient
from .leases import LeaseKeeper

PERIOD_S: Final = 0.2
ORDER_AGAIN_AFTER_S: Final = 3.0


class SwapView(NamedTuple):
    """What the next orders of one service are decided from.

    ``ordered_at_s`` holds when this coordinator last ordered a target.
    """

    service: Service
    targets: Sequence[TargetView]
    in_flight: Mapping[str, int]
    latest_version: int
    parallel_loads: int
    ordered_at_s: Mapping[str, float]


class OrderVersion(NamedTuple):
    """Order one target to load a version."""

    target: TargetView
    version: int


def decide_swaps(view: SwapView, now_s: float) -> Sequence[OrderVersion]:
    """Return the orders to give now, those with the least work in hand first.

    The store's parallel loads and the service's ``max_swapping_share`` bound how
    many load at once; a service with one engine swaps it all the same.
    """
    behind = [
        target
        for target in view.targets
        if target.reachable and not target.leaving and target.version < view.latest_version
    ]
    loading = [target for target in view.targets if _is_loading(target, view, now_s)]
    allowed = max(1, math.floor(len(view.targets) * view.service.max_swapping_share))
    room = min(allowed, view.parallel_loads) - len(loading)
    waiting = [target for target in behind if not _is_loading(target, view, now_s)]
    waiting.sort(key=lambda target: (target.running + target.waiting, target.address))
    return [OrderVersion(target, view.latest_version) for target in waiting[: max(0, room)]]


def _is_loading(target: TargetView, view: SwapView, now_s: float) -> bool:
    """Whether a target loads by its own word, or was ordered to so lately."""
    if target.loading:
        return True
    ordered_at_s = view.ordered_at_s.get(target.address)
    if ordered_at_s is None or target.version >= view.latest_version:
        return False
    return now_s - ordered_at_s < ORDER_AGAIN_AFTER_S


class WeightCoordinator:
    """Coordinates the services whose lease this node holds."""

    def __init__(
        self,
        board: Blackboard,
        leases: LeaseKeeper,
        store: HttpWeightStore,
        client: TargetClient,
        observer: Observer,
    ) -> None:
        """Wire the parts that an order passes through."""
        self._board = board
        self._leases = leases
        self._store = store
        self._client = client
        self._observer = observer
        self._ordered_at_s: dict[str, float] = {}

    async def drive(self) -> None:
        """Coordinate for as long as the node lives."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if self._board.leaving:
                continue
            for service in self._board.config.services.services.values():
                if service.kind is ServiceKind.ENGINE and self._should_hold(service.name):
                    await self._leases.keep(lease_name(service.name))
                    await self._coordinate(service)

    def report(self) -> Mapping[str, Mapping[str, float]]:
        """Return what this node knows of each service's weights."""
        return {name: {"latest": view.latest_version} for name, view in self._board.weights.items()}

    def _should_hold(self, service: str) -> bool:
        """Whether this node comes first for a service among the live members.

        The current holder goes on while it lives, so that a lease does not move
        whenever a node joins.
        """
        members = self._board.live_members()
        lease = self._board.leases.get(lease_name(service))
        if lease is not None:
            holders = {f"{m.node_id}.{m.incarnation}" for m in members if not m.leaving}
            if lease.holder in holders:
                return lease.holder == self._leases.holder
        ranked = rank_members(members, service)
        return bool(ranked) and ranked[0].node_id == self._board.identity.node_id

    async def _coordinate(self, service: Service) -> None:
        now_s = asyncio.get_running_loop().time()
        fencing = self._leases.may_order(lease_name(service.name), now_s)
        if fencing is None:
            return
        try:
            info = await self._store.read(service.name)
        except WeightStoreUnavailableError:
            return
        self._note_latest(service.name, info.latest_version, info.parallel_loads, now_s)
        view = SwapView(
            service=service,
            targets=self._board.targets_of(service.name),
            in_flight=self._board.in_flight,
            latest_version=info.latest_version,
            parallel_loads=info.parallel_loads,
            ordered_at_s=self._ordered_at_s,
        )
        for order in decide_swaps(view, now_s):
            await self._order(service, order)

    async def _order(self, service: Service, order: OrderVersion) -> None:
        now_s = asyncio.get_running_loop().time()
        # Asked again before each order: this process may have been paused since.
        fencing = self._leases.may_order(lease_name(service.name), now_s)
        if fencing is None:
            return
        self._ordered_at_s[order.target.address] = now_s
        taken = await self._client.order_version(order.target, order.version, fencing)
        self._observer.log("weights").info(
            "Ordered %s to load version %d: %s.", order.target.address, order.version, taken
        )

    def _note_latest(self, service: str, latest: int, parallel_loads: int, now_s: float) -> None:
        known = self._board.weights.get(service)
        if known is None or known.latest_version != latest:
            known = WeightsView(latest, parallel_loads, now_s, math.inf)
        targets = [t for t in self._board.targets_of(service) if t.reachable]
        everywhere = targets and all(target.version >= latest for target in targets)
        if everywhere and known.everywhere_at_s == math.inf:
            known = known._replace(everywhere_at_s=now_s)
        self._board.weights[service] = known


def lease_name(service: str) -> str:
    """Return the name of the lease under which a service's weights are coordinated."""
    return f"weights/{service}"
