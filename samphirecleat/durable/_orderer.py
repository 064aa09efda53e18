"""Orders the engines of a service to load weight versions, at the node that runs the service.

Safety rests on checks by the engines: each order carries the offset of the runner's claim as
fencing number, the number of orders that the engine has accepted before, and the instance it is
meant for. The condition of a delayed order is false by the time it is executed. In addition, the
holder issues orders only while the log has recently confirmed its claim, and a new holder waits
until no earlier one can still do so; both clocks include time during which the host was suspended.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..observe import Observer
from ..serving import RouteTable, Target, TargetTable
from ._duty import Holder
from ._weight_orders import ModelDemand, OrderableEngine, decide_loads

POLL_INTERVAL_S: Final = 0.1
# A load takes about one second; at an earlier check the engine would still be busy.
FIRST_LOAD_CHECK_S: Final = 0.7
LOAD_CHECK_INTERVAL_S: Final = 0.3
# Delays after an order without a response, and after an order that the engine rejected.
UNKNOWN_OUTCOME_DELAY_S: Final = 1.0
REJECTED_BACKOFF_S: Final = 0.4
ORDER_TIMEOUT_S: Final = 0.8


class EngineReport(NamedTuple):
    """An engine's report on its weights; up to a few hundred milliseconds old."""

    versions: Mapping[str, int]
    busy: bool
    orders_accepted: int
    started_at_ms: int


class Order(NamedTuple):
    """An order to load a version.

    The engine accepts it only if it has accepted ``expected_orders`` orders before.
    """

    model: str
    version: int
    holder: str
    fencing_number: int
    expected_orders: int
    keep_runs: bool


class OrderOutcome(Enum):
    """The response of an engine to an order; HOLDS if it already has the version."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class OrderChannel(Protocol):
    """Sends orders to engines and reads their reports."""

    async def report(self, target: Target) -> EngineReport | None:
        """Return the engine's report, None if it is not available."""
        ...

    async def order(self, target: Target, order: Order, timeout_s: float) -> OrderOutcome:
        """Send an order once, without retries; UNKNOWN if no response arrives in ``timeout_s``."""
        ...


class StepWork(Protocol):
    """The steps that the orders serve: source of demand, and receiver of load events."""

    def demand(self, model: str, newest_version: int) -> ModelDemand:
        """Return the demand of a model's steps."""
        ...

    def runs_by_engine(self, model: str) -> Mapping[str, int]:
        """Return the number of runs of a model by engine."""
        ...

    def version_of(self, target: Target, model: str) -> int:
        """Return the highest version of a model known to be loaded at an engine."""
        ...

    def record_version(self, instance: str, model: str, version: int) -> None:
        """Record the version of a model that an engine reported."""
        ...

    def is_slow(self, instance: str) -> bool:
        """Whether an engine is too slow to be relied on for the next step."""
        ...

    def begin_load(self, instance: str, model: str) -> None:
        """Stop placing items of a model at an engine until its load has finished."""
        ...

    def end_load(self, instance: str, model: str) -> None:
        """Resume placing items of a model at an engine."""
        ...


@dataclass
class _EngineModelState:
    """What the holder knows about one model at one process of an engine."""

    started_at_ms: int
    key: tuple[str, str]
    version: int = 0
    loading_version: int = 0
    next_check_at_s: float = 0.0
    backoff_until_s: float = 0.0


class Orderer:
    """Issues the orders of one service under one claim."""

    def __init__(
        self,
        service: str,
        holder: Holder,
        routes: RouteTable,
        targets: TargetTable,
        channel: OrderChannel,
        observer: Observer,
        *,
        newest_version: Callable[[str], int],
        work: StepWork,
    ) -> None:
        """Issue orders as ``holder``; ``newest_version`` returns the newest version of a model."""
        self._service = service
        self._holder = holder
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._observer = observer
        self._logger = observer.log("orders")
        self._newest_version = newest_version
        self._work = work
        self._states: dict[tuple[str, str], _EngineModelState] = {}
        self._orders_accepted: dict[str, int] = {}
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._fenced = False

    async def run(self) -> None:
        """Issue orders until cancelled, or until an engine reports a newer claim."""
        try:
            while not self._fenced:
                if self._holder.may_act_now():
                    self._poll()
                await asyncio.sleep(POLL_INTERVAL_S)
            self._logger.warning(
                "service=%s fenced; a newer holder issues the orders", self._service
            )
        finally:
            for task in list(self._order_tasks):
                task.cancel()

    def _poll(self) -> None:
        now_s = asyncio.get_running_loop().time()
        spec = self._routes.config.services.get(self._service)
        if spec is None or spec.engine is None:
            return
        serving = {
            target.instance: target for target in self._targets.accepting_targets(self._service)
        }
        for key in [key for key in self._states if key[0] not in serving]:
            del self._states[key]
            self._work.end_load(*key)
        models = [model for model in spec.engine.models if self._newest_version(model) > 1]
        for target in serving.values():
            for model in models:
                self._refresh(target, model, now_s)
        runs = {model: self._work.runs_by_engine(model) for model in models}
        views = [self._view(target.instance, models, runs, now_s) for target in serving.values()]
        demands = [self._work.demand(model, self._newest_version(model)) for model in models]
        by_model = {demand.model: demand for demand in demands}
        for load in decide_loads(views, demands):
            state = self._states[load.instance, load.model]
            demand = by_model[load.model]
            state.loading_version = demand.newest_version
            state.next_check_at_s = now_s + ORDER_TIMEOUT_S + FIRST_LOAD_CHECK_S
            self._work.begin_load(*state.key)
            self._spawn(self._send_order(serving[load.instance], demand, state))

    def _view(
        self,
        instance: str,
        models: Sequence[str],
        runs: Mapping[str, Mapping[str, int]],
        now_s: float,
    ) -> OrderableEngine:
        states = {model: self._states[instance, model] for model in models}
        loading = [model for model in models if states[model].loading_version]
        return OrderableEngine(
            instance,
            {model: states[model].version for model in models},
            {model: runs[model].get(instance, 0) for model in models},
            loading[0] if loading else "",
            any(state.backoff_until_s > now_s for state in states.values()),
            self._work.is_slow(instance),
        )

    def _refresh(self, target: Target, model: str, now_s: float) -> None:
        """Update the known version of an engine and check on a load that should be finished."""
        key = (target.instance, model)
        state = self._states.get(key)
        if state is None or state.started_at_ms != target.started_at_ms:
            state = self._states[key] = _EngineModelState(target.started_at_ms, key)
            # A restarted engine counts its accepted orders from zero.
            self._orders_accepted.pop(target.instance, None)
            self._work.end_load(*key)
        state.version = max(state.version, self._work.version_of(target, model))
        if state.loading_version and state.version >= state.loading_version:
            self._finish_load(state)
        if state.loading_version and state.next_check_at_s <= now_s:
            state.next_check_at_s = now_s + LOAD_CHECK_INTERVAL_S
            self._spawn(self._check_load(target, model, state))

    def _record_version(self, state: _EngineModelState, version: int) -> None:
        """Record a version from the report of an engine.

        The engine's registration shows the version a second later, and not at all while the store
        is unavailable, which would delay the items that wait for the version.
        """
        state.version = max(state.version, version)
        self._work.record_version(*state.key, state.version)

    def _finish_load(self, state: _EngineModelState) -> None:
        state.loading_version = 0
        self._work.end_load(*state.key)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _check_load(self, target: Target, model: str, state: _EngineModelState) -> None:
        """Read the report of an engine to see whether its load has finished."""
        report = await self._channel.report(target)
        if report is None or not state.loading_version:
            return
        self._record_version(state, report.versions.get(model, 0))
        self._orders_accepted[target.instance] = report.orders_accepted
        if state.version >= state.loading_version:
            self._finish_load(state)
        elif not report.busy:
            # No load is in progress: the order was not accepted or has not arrived yet. In the
            # latter case its condition fails once the next order has been accepted.
            self._back_off(state, REJECTED_BACKOFF_S)

    async def _send_order(
        self, target: Target, demand: ModelDemand, state: _EngineModelState
    ) -> None:
        model, version = demand.model, demand.newest_version
        if target.instance not in self._orders_accepted:
            report = await self._channel.report(target)
            if report is None:
                self._back_off(state, REJECTED_BACKOFF_S)
                return
            self._orders_accepted[target.instance] = report.orders_accepted
            self._record_version(state, report.versions.get(model, 0))
            if state.version >= version:
                self._finish_load(state)
                return
        if not self._holder.may_act_now():
            self._back_off(state, 0.0)
            return
        expected = self._orders_accepted.get(target.instance, 0)
        order = Order(
            model,
            version,
            self._holder.node_id,
            self._holder.fencing_number,
            expected,
            demand.keeps_runs,
        )
        outcome = await self._channel.order(target, order, ORDER_TIMEOUT_S)
        now_s = asyncio.get_running_loop().time()
        self._logger.info(
            "target=%s model=%s version=%d fencing=%d expected=%d outcome=%s",
            target.instance,
            model,
            version,
            order.fencing_number,
            order.expected_orders,
            outcome.value,
        )
        self._observer.counters[f"orders_{outcome.value}"] += 1
        match outcome:
            case OrderOutcome.ACCEPTED:
                self._orders_accepted[target.instance] = expected + 1
                state.next_check_at_s = now_s + FIRST_LOAD_CHECK_S
            case OrderOutcome.HOLDS:
                self._record_version(state, version)
                self._finish_load(state)
            case OrderOutcome.FENCED:
                self._back_off(state, REJECTED_BACKOFF_S)
                self._fenced = True
            case OrderOutcome.UNKNOWN:
                self._orders_accepted.pop(target.instance, None)
                state.next_check_at_s = now_s + UNKNOWN_OUTCOME_DELAY_S
            case OrderOutcome.CONFLICT | OrderOutcome.REJECTED:
                self._orders_accepted.pop(target.instance, None)
                self._back_off(state, REJECTED_BACKOFF_S)

    def _back_off(self, state: _EngineModelState, backoff_s: float) -> None:
        self._finish_load(state)
        state.backoff_until_s = asyncio.get_running_loop().time() + backoff_s
