"""Brings the newest weights to every engine of a service, a few at a time."""

import asyncio
import math
import random
from collections.abc import Mapping, Sequence
from typing import Final

from ..._waiting import wait_for_event
from ...blackboard import Blackboard, TargetView, WeightsView
from ...config import Service, ServiceKind
from ...observe import Observer
from ...peers import rank_members
from ...platform import HttpWeightStore, StoreInfo, WeightStoreUnavailableError
from ...targets import OrderFenced, OrderOutcome, OrderTaken, OrderUnknown, TargetClient
from ._leases import LeaseManager
from ._read_back import ReadBack
from ._streamed_versions import true_version
from ._swaps import (
    DEFAULT_SWAP_POLICY,
    OrderRecord,
    OrderVersion,
    SwapPolicy,
    SwapView,
    decide_swaps,
    retry_wait_s,
)

PERIOD_S: Final = 0.2
IDLE_PERIOD_S: Final = 0.5
STORE_PERIOD_S: Final = 0.5
LONGEST_STORE_WAIT_S: Final = 10.0
MAX_STORE_DOUBLINGS: Final = 6


class WeightCoordinator:
    """Coordinates the services whose lease this node holds."""

    def __init__(
        self,
        board: Blackboard,
        leases: LeaseManager,
        store: HttpWeightStore,
        client: TargetClient,
        observer: Observer,
        rng: random.Random,
        policy: SwapPolicy = DEFAULT_SWAP_POLICY,
    ) -> None:
        """Wire the parts that an order passes through."""
        self._board = board
        self._leases = leases
        self._store = store
        self._client = client
        self._observer = observer
        self._rng = rng
        self._policy = policy
        self._read_back = ReadBack(client)
        self._orders: dict[str, OrderRecord] = {}
        self._fenced_epochs: dict[str, int] = {}
        self._read_at_s: dict[str, float] = {}
        self._read_failures: dict[str, int] = {}

    async def drive(self) -> None:
        """Coordinate for as long as the node lives.

        Leases, the store and the orders go on each by themselves, so that a slow
        log or store holds up no order that is already decided.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._keep_leases())
                group.create_task(self._follow_store())
                group.create_task(self._swap())
        finally:
            await self._read_back.close()

    def report(self) -> Mapping[str, Mapping[str, float]]:
        """Return the weights of the services that this node coordinates."""
        return {name: self._report_one(name, view) for name, view in self._board.weights.items()}

    async def _keep_leases(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S if self._board.weights else IDLE_PERIOD_S)
            for service in self._own_services():
                await self._leases.keep(lease_name(service.name))

    async def _follow_store(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S if self._board.weights else IDLE_PERIOD_S)
            own = {service.name for service in self._own_services()}
            for name in [name for name in self._board.weights if name not in own]:
                # Another node coordinates it; what this one knew gets old.
                del self._board.weights[name]
            now_s = asyncio.get_running_loop().time()
            due = [name for name in own if now_s >= self._read_at_s.get(name, 0.0)]
            await asyncio.gather(*(self._read_store(name) for name in due))

    async def _swap(self) -> None:
        while True:
            period_s = PERIOD_S if self._board.weights else IDLE_PERIOD_S
            await wait_for_event(self._read_back.settled, period_s)
            self._read_back.settled.clear()
            self._forget_gone()
            services = [s for s in self._own_services() if s.name in self._board.weights]
            await asyncio.gather(*(self._coordinate(service) for service in services))

    def _own_services(self) -> Sequence[Service]:
        if self._board.leaving:
            return ()
        return [
            service
            for service in self._board.config.services.services.values()
            if service.kind is ServiceKind.ENGINE and self._should_hold(service.name)
        ]

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

    async def _read_store(self, service: str) -> None:
        """Read the newest version; after a failure wait longer each time.

        The jitter keeps coordinators from coming back to a store all at once.
        """
        try:
            info = await self._store.read(service)
        except WeightStoreUnavailableError as error:
            failures = self._read_failures.get(service, 0) + 1
            self._read_failures[service] = failures
            if failures == 1:
                self._observer.log("weights").warning("The weight store fails: %s.", error)
        else:
            self._read_failures[service] = 0
            self._note_latest(service, info)
        doublings = min(MAX_STORE_DOUBLINGS, self._read_failures[service])
        wait_s = min(LONGEST_STORE_WAIT_S, STORE_PERIOD_S * 2.0**doublings)
        now_s = asyncio.get_running_loop().time()
        self._read_at_s[service] = now_s + wait_s * (0.75 + 0.5 * self._rng.random())

    async def _coordinate(self, service: Service) -> None:
        now_s = asyncio.get_running_loop().time()
        self._note_everywhere(service.name, now_s)
        if self._fencing_number(service.name, now_s) is None:
            return
        view = SwapView(
            service=service,
            targets=self._true_targets(service.name, now_s),
            in_flight=self._board.in_flight,
            latest_version=self._board.weights[service.name].latest_version,
            parallel_loads=self._board.weights[service.name].parallel_loads,
            orders=self._orders,
        )
        orders = decide_swaps(view, now_s, self._policy)
        await asyncio.gather(*(self._order(service, order) for order in orders))

    async def _order(self, service: Service, order: OrderVersion) -> None:
        loop = asyncio.get_running_loop()
        # Asked again before each order: this process may have been paused since
        # it decided. Another coordinator's newer order would be undone by ours on
        # a target that checks no fencing number.
        fencing = self._fencing_number(service.name, loop.time())
        if fencing is None:
            return
        record = self._begin_order(order, loop.time())
        # Kept when this task is cancelled in mid-order, as when a controller starts
        # again: an order without an end would count as under way for ever, and no
        # further engine would get new weights while this node lives.
        outcome: OrderOutcome = OrderUnknown("stopped before the answer")
        try:
            outcome = await self._client.order_version(order.target, order.version, fencing)
        finally:
            self._end_order(order.target.address, record, outcome, loop.time())
        match outcome:
            case OrderTaken():
                self._read_back.follow(order.target)
            case OrderFenced():
                self._fenced_epochs[service.name] = fencing
        self._observer.counters[f"orders_{type(outcome).__name__}"] += 1
        self._observer.log("weights").info(
            "Ordered %s to load version %d, attempt %d: %s.",
            order.target.address,
            order.version,
            record.attempts,
            outcome,
        )

    def _begin_order(self, order: OrderVersion, now_s: float) -> OrderRecord:
        target = order.target
        known = self._orders.get(target.address)
        same = known is not None and (known.version, known.instance) == (
            order.version,
            target.instance,
        )
        attempts = known.attempts + 1 if known is not None and same else 1
        record = OrderRecord(order.version, target.instance, attempts, now_s)
        self._orders[target.address] = record
        return record

    def _end_order(
        self, address: str, record: OrderRecord, outcome: OrderOutcome, now_s: float
    ) -> None:
        wait_s = retry_wait_s(record.attempts, self._rng.random())
        self._orders[address] = record._replace(
            outcome=outcome, answered_at_s=now_s, retry_at_s=now_s + wait_s
        )

    def _fencing_number(self, service: str, now_s: float) -> int | None:
        """Return the number to order with, or None while this node may not order.

        A target that refused it has seen a higher one: another node holds the
        lease, whatever this node has read of the log so far.
        """
        fencing = self._leases.may_order(lease_name(service), now_s)
        if fencing is None or fencing <= self._fenced_epochs.get(service, -1):
            return None
        return fencing

    def _note_latest(self, service: str, info: StoreInfo) -> None:
        known = self._board.weights.get(service)
        if known is None or known.latest_version < info.latest_version:
            now_s = asyncio.get_running_loop().time()
            known = WeightsView(info.latest_version, info.parallel_loads, now_s, math.inf)
        self._board.weights[service] = known._replace(parallel_loads=info.parallel_loads)

    def _note_everywhere(self, service: str, now_s: float) -> None:
        known = self._board.weights[service]
        if known.everywhere_at_s != math.inf:
            return
        targets = [t for t in self._true_targets(service, now_s) if t.reachable]
        if targets and all(target.version >= known.latest_version for target in targets):
            self._board.weights[service] = known._replace(everywhere_at_s=now_s)
            self._observer.record_s("weights_everywhere", now_s - known.first_seen_at_s)

    def _true_targets(self, service: str, now_s: float) -> Sequence[TargetView]:
        targets = [self._read_back.newest(t) for t in self._board.targets_of(service)]
        return [t._replace(version=true_version(self._board, t, now_s)) for t in targets]

    def _report_one(self, service: str, view: WeightsView) -> Mapping[str, float]:
        now_s = asyncio.get_running_loop().time()
        targets = self._true_targets(service, now_s)
        done = view.everywhere_at_s != math.inf
        ended_at_s = view.everywhere_at_s if done else now_s
        return {
            "latest": view.latest_version,
            "everywhere": done,
            "everywhere_s": round(ended_at_s - view.first_seen_at_s, 3),
            "behind": sum(1 for t in targets if t.version < view.latest_version),
            "loading": sum(1 for t in targets if t.loading),
            "most_attempts": max(
                (self._orders[t.address].attempts for t in targets if t.address in self._orders),
                default=0,
            ),
            "store_failures": self._read_failures.get(service, 0),
        }

    def _forget_gone(self) -> None:
        for address in [a for a in self._orders if a not in self._board.targets]:
            del self._orders[address]


def lease_name(service: str) -> str:
    """Return the name of the lease under which a service's weights are coordinated."""
    return f"weights/{service}"
