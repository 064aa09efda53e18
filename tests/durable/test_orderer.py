"""Tests of weight orders: lost responses, fencing, unconfirmed claims and changes of holder."""

import asyncio
from collections.abc import Callable, Mapping

import pytest

from samphirecleat.durable import EngineReport, Holder, Order, OrderOutcome
from samphirecleat.durable._orderer import Orderer
from samphirecleat.durable._weight_orders import ModelDemand
from samphirecleat.observe import Observer
from samphirecleat.serving import (
    CallerLimits,
    EngineSpec,
    RouteTable,
    RoutingConfig,
    ServiceSpec,
    Target,
    TargetTable,
)

from ..fleets import until


class FakeEngines:
    """Engines that load immediately, or return the responses in ``answers``."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}
        self.accepted: dict[str, int] = {}
        self.orders: list[tuple[str, Order]] = []
        self.answers: list[OrderOutcome] = []

    async def report(self, target: Target) -> EngineReport | None:
        name = target.instance
        return EngineReport({"m": self.versions.get(name, 1)}, False, self.accepted.get(name, 0), 0)

    async def order(self, target: Target, order: Order, timeout_s: float) -> OrderOutcome:
        del timeout_s
        self.orders.append((target.instance, order))
        if self.answers:
            answer = self.answers.pop(0)
            if answer is not OrderOutcome.ACCEPTED:
                return answer
        if order.expected_orders != self.accepted.get(target.instance, 0):
            return OrderOutcome.CONFLICT
        self.accepted[target.instance] = order.expected_orders + 1
        self.versions[target.instance] = order.version
        return OrderOutcome.ACCEPTED


class FakeWork:
    """Steps that need the newest version at every engine; no items run."""

    def __init__(self) -> None:
        self.loading: set[tuple[str, str]] = set()
        self.noted: dict[tuple[str, str], int] = {}

    def record_version(self, instance: str, model: str, version: int) -> None:
        self.noted[instance, model] = version

    def demand(self, model: str, newest_version: int) -> ModelDemand:
        return ModelDemand(model, newest_version, newest_version - 1, newest_version, 9, True)

    def runs_by_engine(self, model: str) -> Mapping[str, int]:
        return {f"nothing of {model}": 0}

    def version_of(self, target: Target, model: str) -> int:
        return target.versions[model]

    def is_slow(self, instance: str) -> bool:
        return not instance

    def begin_load(self, instance: str, model: str) -> None:
        self.loading.add((instance, model))

    def end_load(self, instance: str, model: str) -> None:
        self.loading.discard((instance, model))


def make_orderer(
    engines: FakeEngines,
    work: FakeWork | None = None,
    *,
    may_order: Callable[[float], bool] = lambda _s: True,
    follows_other: bool = False,
) -> Orderer:
    routes, targets = RouteTable(), TargetTable("z")
    spec = ServiceSpec("svc", "", 10, EngineSpec(12, 40_000, ["m"]))
    routes.put(RoutingConfig(1, (), {"svc": spec}, CallerLimits()))
    targets.replace(
        {n: Target(n, "svc", "127.0.0.1:1", "z", 12, False, {"m": 1}) for n in ("e1", "e2", "e3")}
    )
    holder = Holder("n1", 41, 4.0 if follows_other else 0.0, may_order, 100.0)
    return Orderer(
        "svc", holder, routes, targets, engines, Observer("n1"),
        newest_version=lambda _m: 2, work=work or FakeWork(),
    )  # fmt: skip


def run_orderer(orderer: Orderer, condition: Callable[[], bool], then_s: float = 0.0) -> None:
    async def body() -> None:
        task = asyncio.ensure_future(orderer.run())
        await until(condition)
        await asyncio.sleep(then_s)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(body())


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in (
        "POLL_INTERVAL_S",
        "FIRST_LOAD_CHECK_S",
        "LOAD_CHECK_INTERVAL_S",
        "UNKNOWN_OUTCOME_DELAY_S",
        "REJECTED_BACKOFF_S",
    ):
        monkeypatch.setattr(f"samphirecleat.durable._orderer.{name}", 0.01)
    monkeypatch.setattr("samphirecleat.durable._orderer.ORDER_TIMEOUT_S", 0.05)


def test_every_engine_gets_one_order_with_the_fencing_number() -> None:
    engines = FakeEngines()
    run_orderer(make_orderer(engines), lambda: len(engines.versions) == 3, 0.1)
    assert sorted(name for name, _ in engines.orders) == ["e1", "e2", "e3"]
    assert {order.fencing_number for _, order in engines.orders} == {41}


def test_order_without_response_is_repeated_with_the_same_condition() -> None:
    """An engine receives an order late or never, and no response arrives.

    The next order expects the same count of accepted orders, so only one of the two is accepted,
    and the engine does not load twice.
    """
    engines = FakeEngines()
    engines.answers = [OrderOutcome.UNKNOWN]
    run_orderer(make_orderer(engines), lambda: len(engines.versions) == 3)
    first = engines.orders[0][0]
    same = [order.expected_orders for name, order in engines.orders if name == first]
    assert same == [0, 0]


def test_fenced_holder_stops_issuing_orders() -> None:
    """An engine reports that another node holds a newer claim.

    A holder that continued would be rejected every time, and its orders would load the engines.
    """
    engines = FakeEngines()
    engines.answers = [OrderOutcome.FENCED] * 9
    run_orderer(make_orderer(engines), lambda: bool(engines.orders), 0.2)
    assert len(engines.orders) <= 2


def test_no_orders_while_the_claim_is_unconfirmed() -> None:
    """The holder was suspended or cannot reach the log, so another may hold the service by now."""
    engines = FakeEngines()
    confirmed: list[bool] = []
    orderer = make_orderer(engines, may_order=lambda _s: bool(confirmed.append(True)))
    run_orderer(orderer, lambda: len(confirmed) > 5)
    assert engines.orders == []


def test_new_holder_waits_for_the_lease_of_the_previous_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [100.0]
    monkeypatch.setattr("samphirecleat.durable._duty.boot_time_s", lambda: now[0])
    engines, looked = FakeEngines(), []
    orderer = make_orderer(
        engines, follows_other=True, may_order=lambda _s: not looked.append(True)
    )

    async def body() -> None:
        task = asyncio.ensure_future(orderer.run())
        await asyncio.sleep(0.1)
        assert engines.orders == []
        now[0] += 4.1
        await until(lambda: bool(engines.orders))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(body())


def test_engine_reports_reach_the_planner_during_a_store_outage() -> None:
    """The store is unavailable, so engines cannot register the version that they have loaded.

    Items that require that version would wait for the store although engines are ready.
    """
    engines, work = FakeEngines(), FakeWork()
    run_orderer(make_orderer(engines, work), lambda: len(work.noted) == 3 and not work.loading)
    assert set(work.noted.values()) == {2}
