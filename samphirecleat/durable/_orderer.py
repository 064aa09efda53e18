"""Brings named versions to a service's engines, at the node that runs the service.

Safety rests on the engines' own checks: each order carries the offset of the runner's claim
as fencing number, the count of orders that the engine had accepted, and the instance it is
meant for. An order that is carried out late finds its condition false. Beyond that, the
holder orders only while the log confirmed its claim a moment ago, and a new one waits until
no earlier holder can still be doing so; both count time that the host stood still.
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

LOOK_EVERY_S: Final = 0.1
# A load takes about a second; asked any earlier, the engine is still busy.
FIRST_LOOK_S: Final = 0.7
NEXT_LOOK_S: Final = 0.3
# After an order without an answer, and after an order that the engine refused.
UNKNOWN_REST_S: Final = 1.0
REFUSED_REST_S: Final = 0.4
ORDER_TIMEOUT_S: Final = 0.8


class EngineReport(NamedTuple):
    """What an engine says of its weights, a few hundred milliseconds old."""

    versions: Mapping[str, int]
    busy: bool
    orders_accepted: int
    started_at_ms: int


class Order(NamedTuple):
    """An order to load a version; ``expected_orders`` must be what the engine accepted."""

    model: str
    version: int
    holder: str
    fencing_number: int
    expected_orders: int
    keep_runs: bool


class OrderOutcome(Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class OrderChannel(Protocol):
    """Orders and reports of engines."""

    async def report(self, target: Target) -> EngineReport | None:
        """Return the engine's report, None if it gives none."""
        ...

    async def order(self, target: Target, order: Order, timeout_s: float) -> OrderOutcome:
        """Send an order once."""
        ...


class StepWork(Protocol):
    """What the holder asks of the work that its orders are for, and tells it."""

    def demand(self, model: str, named_version: int) -> ModelDemand:
        """Return what the steps of a model ask of the engines."""
        ...

    def runs_by_engine(self, model: str) -> Mapping[str, int]:
        """Return how many runs of a model each engine has."""
        ...

    def version_of(self, target: Target, model: str) -> int:
        """Return the highest version of a model that an engine is known to have."""
        ...

    def note_version(self, instance: str, model: str, version: int) -> None:
        """Take the version of a model that an engine itself reported."""
        ...

    def is_slow(self, instance: str) -> bool:
        """Whether an engine is too slow to count on it for the next step."""
        ...

    def load_started(self, instance: str, model: str) -> None:
        """Place no item of a model at an engine until its load is over."""
        ...

    def load_finished(self, instance: str, model: str) -> None:
        """Place items of a model at an engine again."""
        ...


@dataclass
class _Known:
    """What the holder knows of one model at one start of an engine."""

    started_at_ms: int
    name: tuple[str, str]
    version: int = 0
    loading_version: int = 0
    look_at_s: float = 0.0
    rests_until_s: float = 0.0


class Orderer:
    """Gives the orders of one service under one claim."""

    def __init__(
        self,
        service: str,
        holder: Holder,
        routes: RouteTable,
        targets: TargetTable,
        channel: OrderChannel,
        observer: Observer,
        *,
        named: Callable[[str], int],
        work: StepWork,
    ) -> None:
        """Order as ``holder`` what ``work`` asks for; ``named`` gives a model's newest version."""
        self._service = service
        self._holder = holder
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._observer = observer
        self._words = observer.log("orders")
        self._named = named
        self._work = work
        self._known: dict[tuple[str, str], _Known] = {}
        self._orders_accepted: dict[str, int] = {}
        self._orders: set[asyncio.Task[None]] = set()
        self._fenced = False

    async def run(self) -> None:
        """Order for as long as the claim stands."""
        try:
            while not self._fenced:
                if self._holder.acts_now():
                    self._step()
                await asyncio.sleep(LOOK_EVERY_S)
            self._words.warning("service=%s fenced; a newer holder orders", self._service)
        finally:
            for task in list(self._orders):
                task.cancel()

    def _step(self) -> None:
        now_s = asyncio.get_running_loop().time()
        spec = self._routes.config.services.get(self._service)
        if spec is None or spec.engine is None:
            return
        serving = {target.instance: target for target in self._targets.serving(self._service)}
        for name in [name for name in self._known if name[0] not in serving]:
            del self._known[name]
            self._work.load_finished(*name)
        models = [model for model in spec.engine.models if self._named(model) > 1]
        for target in serving.values():
            for model in models:
                self._refresh(target, model, now_s)
        runs = {model: self._work.runs_by_engine(model) for model in models}
        views = [self._view(target.instance, models, runs, now_s) for target in serving.values()]
        demands = [self._work.demand(model, self._named(model)) for model in models]
        by_model = {demand.model: demand for demand in demands}
        for load in decide_loads(views, demands):
            known = self._known[load.instance, load.model]
            demand = by_model[load.model]
            known.loading_version = demand.named_version
            known.look_at_s = now_s + ORDER_TIMEOUT_S + FIRST_LOOK_S
            self._work.load_started(*known.name)
            self._spawn(self._give(serving[load.instance], demand, known))

    def _view(
        self,
        instance: str,
        models: Sequence[str],
        runs: Mapping[str, Mapping[str, int]],
        now_s: float,
    ) -> OrderableEngine:
        known = {model: self._known[instance, model] for model in models}
        loading = [model for model in models if known[model].loading_version]
        return OrderableEngine(
            instance,
            {model: known[model].version for model in models},
            {model: runs[model].get(instance, 0) for model in models},
            loading[0] if loading else "",
            any(state.rests_until_s > now_s for state in known.values()),
            self._work.is_slow(instance),
        )

    def _refresh(self, target: Target, model: str, now_s: float) -> None:
        """Take what is known of an engine's weights; look at a load that should be done."""
        name = (target.instance, model)
        known = self._known.get(name)
        if known is None or known.started_at_ms != target.started_at_ms:
            known = self._known[name] = _Known(target.started_at_ms, name)
            # An engine that starts again counts its orders anew.
            self._orders_accepted.pop(target.instance, None)
            self._work.load_finished(*name)
        known.version = max(known.version, self._work.version_of(target, model))
        if known.loading_version and known.version >= known.loading_version:
            self._load_over(known)
        if known.loading_version and known.look_at_s <= now_s:
            known.look_at_s = now_s + NEXT_LOOK_S
            self._spawn(self._look(target, model, known))

    def _note_version(self, known: _Known, version: int) -> None:
        """Take what an engine said of itself.

        Its registration says the same a second later, or not at all while the store is away,
        and the items that wait for the version would wait with it.
        """
        known.version = max(known.version, version)
        self._work.note_version(*known.name, known.version)

    def _load_over(self, known: _Known) -> None:
        known.loading_version = 0
        self._work.load_finished(*known.name)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _look(self, target: Target, model: str, known: _Known) -> None:
        """Ask an engine how far its load is."""
        report = await self._channel.report(target)
        if report is None or not known.loading_version:
            return
        self._note_version(known, report.versions.get(model, 0))
        self._orders_accepted[target.instance] = report.orders_accepted
        if known.version >= known.loading_version:
            self._load_over(known)
        elif not report.busy:
            # Nothing is being loaded: the order was not taken, or is still to come; in
            # that case its condition fails once the next one was taken.
            self._failed(known, REFUSED_REST_S)

    async def _give(self, target: Target, demand: ModelDemand, known: _Known) -> None:
        model, version = demand.model, demand.named_version
        if target.instance not in self._orders_accepted:
            report = await self._channel.report(target)
            if report is None:
                self._failed(known, REFUSED_REST_S)
                return
            self._orders_accepted[target.instance] = report.orders_accepted
            self._note_version(known, report.versions.get(model, 0))
            if known.version >= version:
                self._load_over(known)
                return
        if not self._holder.acts_now():
            self._failed(known, 0.0)
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
        self._words.info(
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
                known.look_at_s = now_s + FIRST_LOOK_S
            case OrderOutcome.HOLDS:
                self._note_version(known, version)
                self._load_over(known)
            case OrderOutcome.FENCED:
                self._failed(known, REFUSED_REST_S)
                self._fenced = True
            case OrderOutcome.UNKNOWN:
                self._orders_accepted.pop(target.instance, None)
                known.look_at_s = now_s + UNKNOWN_REST_S
            case OrderOutcome.CONFLICT | OrderOutcome.REJECTED:
                self._orders_accepted.pop(target.instance, None)
                self._failed(known, REFUSED_REST_S)

    def _failed(self, known: _Known, rest_s: float) -> None:
        self._load_over(known)
        known.rests_until_s = asyncio.get_running_loop().time() + rest_s
