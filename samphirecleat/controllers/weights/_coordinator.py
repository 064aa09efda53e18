"""Rolls out the newest weights to every engine of a service, a few engines at a time."""

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
from ._load_monitor import LoadMonitor
from ._streamed_versions import effective_version
from ._swaps import (
    DEFAULT_SWAP_POLICY,
    LoadOrder,
    OrderRecord,
    SwapPolicy,
    SwapView,
    decide_swaps,
    retry_delay_s,
)

PERIOD_S: Final = 0.2
IDLE_PERIOD_S: Final = 0.5
STORE_POLL_PERIOD_S: Final = 0.5
MAX_STORE_POLL_DELAY_S: Final = 10.0
MAX_STORE_DOUBLINGS: Final = 6


class WeightCoordinator:
    """Coordinates the weight rollout of the services whose lease this node should hold."""

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
        """Create a coordinator; :meth:`drive` starts it."""
        self._board = board
        self._leases = leases
        self._store = store
        self._client = client
        self._observer = observer
        self._rng = rng
        self._policy = policy
        self._load_monitor = LoadMonitor(client)
        self._orders: dict[str, OrderRecord] = {}
        self._fenced_epochs: dict[str, int] = {}
        self._next_read_at_s: dict[str, float] = {}
        self._store_failures: dict[str, int] = {}

    async def drive(self) -> None:
        """Coordinate rollouts until cancelled.

        Lease renewal, store polling and orders run as separate tasks, so that a slow log or
        store does not delay orders that are already decided.
        """
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._keep_leases())
                group.create_task(self._poll_store())
                group.create_task(self._run_swaps())
        finally:
            await self._load_monitor.close()

    def report(self) -> Mapping[str, Mapping[str, float]]:
        """Return the rollout state of the services that this node coordinates, by service name."""
        return {
            name: self._service_report(name, view) for name, view in self._board.weights.items()
        }

    async def _keep_leases(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S if self._board.weights else IDLE_PERIOD_S)
            for service in self._own_services():
                await self._leases.claim_or_renew(lease_name(service.name))

    async def _poll_store(self) -> None:
        while True:
            await asyncio.sleep(PERIOD_S if self._board.weights else IDLE_PERIOD_S)
            own_services = {service.name for service in self._own_services()}
            for name in [name for name in self._board.weights if name not in own_services]:
                # Another node coordinates the service now; this copy would become outdated.
                del self._board.weights[name]
            now_s = asyncio.get_running_loop().time()
            due = [name for name in own_services if now_s >= self._next_read_at_s.get(name, 0.0)]
            await asyncio.gather(*(self._read_store(name) for name in due))

    async def _run_swaps(self) -> None:
        while True:
            period_s = PERIOD_S if self._board.weights else IDLE_PERIOD_S
            await wait_for_event(self._load_monitor.load_finished, period_s)
            self._load_monitor.load_finished.clear()
            self._drop_removed_targets()
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
        """Return whether this node should hold the lease of a service.

        A live current holder keeps the lease, so that it does not move whenever a node
        joins. Otherwise the first live member in rendezvous order holds it.
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
        """Read the newest version; the delay before the next read grows with each failure.

        The jitter keeps coordinators from returning to a recovered store all at once.
        """
        try:
            info = await self._store.read(service)
        except WeightStoreUnavailableError as error:
            failures = self._store_failures.get(service, 0) + 1
            self._store_failures[service] = failures
            if failures == 1:
                self._observer.log("weights").warning("could not read the weight store: %s", error)
        else:
            self._store_failures[service] = 0
            self._record_latest_version(service, info)
        doublings = min(MAX_STORE_DOUBLINGS, self._store_failures[service])
        wait_s = min(MAX_STORE_POLL_DELAY_S, STORE_POLL_PERIOD_S * 2.0**doublings)
        now_s = asyncio.get_running_loop().time()
        self._next_read_at_s[service] = now_s + wait_s * (0.75 + 0.5 * self._rng.random())

    async def _coordinate(self, service: Service) -> None:
        now_s = asyncio.get_running_loop().time()
        self._record_completed_rollout(service.name, now_s)
        if self._fencing_number(service.name, now_s) is None:
            return
        view = SwapView(
            service=service,
            targets=self._targets_at_effective_version(service.name, now_s),
            in_flight=self._board.in_flight,
            latest_version=self._board.weights[service.name].latest_version,
            parallel_loads=self._board.weights[service.name].parallel_loads,
            orders=self._orders,
        )
        orders = decide_swaps(view, now_s, self._policy)
        await asyncio.gather(*(self._order(service, order) for order in orders))

    async def _order(self, service: Service, order: LoadOrder) -> None:
        loop = asyncio.get_running_loop()
        # Checked again before each order, since the process may have been paused after the
        # decision. On a target that does not check fencing numbers, a late order would undo
        # a newer order of another coordinator.
        fencing = self._fencing_number(service.name, loop.time())
        if fencing is None:
            return
        record = self._begin_order(order, loop.time())
        # This outcome is recorded if the task is cancelled during the order, as when a
        # controller restarts. An order without an outcome would count as pending forever
        # and block further loads of the service until this node restarts.
        outcome: OrderOutcome = OrderUnknown("cancelled before the answer")
        try:
            outcome = await self._client.order_version(order.target, order.version, fencing)
        finally:
            self._end_order(order.target.address, record, outcome, loop.time())
        match outcome:
            case OrderTaken():
                self._load_monitor.watch(order.target)
            case OrderFenced():
                self._fenced_epochs[service.name] = fencing
        self._observer.counters[f"orders_{type(outcome).__name__}"] += 1
        self._observer.log("weights").info(
            "ordered target %s to load version %d (attempt %d): %s",
            order.target.address,
            order.version,
            record.attempts,
            outcome,
        )

    def _begin_order(self, order: LoadOrder, now_s: float) -> OrderRecord:
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
        wait_s = retry_delay_s(record.attempts, self._rng.random())
        self._orders[address] = record._replace(
            outcome=outcome, answered_at_s=now_s, retry_at_s=now_s + wait_s
        )

    def _fencing_number(self, service: str, now_s: float) -> int | None:
        """Return the fencing number for orders, or None while this node may not issue any.

        A target that refused this number has seen a higher one: another node holds the
        lease, even if this node has not read that from the log yet.
        """
        fencing = self._leases.order_fencing_number(lease_name(service), now_s)
        if fencing is None or fencing <= self._fenced_epochs.get(service, -1):
            return None
        return fencing

    def _record_latest_version(self, service: str, info: StoreInfo) -> None:
        known = self._board.weights.get(service)
        if known is None or known.latest_version < info.latest_version:
            now_s = asyncio.get_running_loop().time()
            known = WeightsView(info.latest_version, info.parallel_loads, now_s, math.inf)
        self._board.weights[service] = known._replace(parallel_loads=info.parallel_loads)

    def _record_completed_rollout(self, service: str, now_s: float) -> None:
        known = self._board.weights[service]
        if known.everywhere_at_s != math.inf:
            return
        targets = [t for t in self._targets_at_effective_version(service, now_s) if t.reachable]
        if targets and all(target.version >= known.latest_version for target in targets):
            self._board.weights[service] = known._replace(everywhere_at_s=now_s)
            self._observer.record_s("weights_everywhere", now_s - known.first_seen_at_s)

    def _targets_at_effective_version(self, service: str, now_s: float) -> Sequence[TargetView]:
        targets = [self._load_monitor.latest(t) for t in self._board.targets_of(service)]
        return [t._replace(version=effective_version(self._board, t, now_s)) for t in targets]

    def _service_report(self, service: str, view: WeightsView) -> Mapping[str, float]:
        now_s = asyncio.get_running_loop().time()
        targets = self._targets_at_effective_version(service, now_s)
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
            "store_failures": self._store_failures.get(service, 0),
        }

    def _drop_removed_targets(self) -> None:
        for address in [a for a in self._orders if a not in self._board.targets]:
            del self._orders[address]


def lease_name(service: str) -> str:
    """Return the name of the lease for coordinating a service's weights."""
    return f"weights/{service}"
