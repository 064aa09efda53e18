"""Bringing new weights to engines: the decision in tables, and the driver under faults."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.blackboard import Blackboard, Identity, TargetView, WeightsView
from samphirecleat.config import ConfigState, Service, ServiceKind, ServiceText
from samphirecleat.controllers.streamed_versions import StreamedVersions, true_version
from samphirecleat.controllers.swaps import (
    OrderRecord,
    SwapView,
    decide_swaps,
    retry_wait_s,
    swaps_at_once,
)
from samphirecleat.controllers.target_watch import TargetWatch
from samphirecleat.controllers.weights import WeightCoordinator
from samphirecleat.observe import Observer
from samphirecleat.platform import HttpWeightStore
from samphirecleat.standins import StandInEngine, StandInWeightStore
from samphirecleat.targets import (
    OrderFenced,
    OrderRefused,
    OrderTaken,
    OrderUnknown,
    TargetClient,
)

LATEST = 5


def service(weight: float = 1.0, share: float = 0.5, bound: int = 1) -> Service:
    return Service(
        "asesor", ServiceKind.ENGINE, (), (), {}, 8, True, True, bound, weight, share, 0.7
    )


def engine(name: str, version: int = LATEST - 1, **changes: object) -> TargetView:
    target = TargetView(name, "asesor", "z", f"{name}-1", version, slots=8, reachable=True)
    return target._replace(**{"reported_at_s": 100.0, **changes})


def ordered(view_targets: list[TargetView], now_s: float = 100.0, **changes: object) -> list[str]:
    view = SwapView(service(), view_targets, {}, LATEST, 4, {})._replace(**changes)
    return [order.target.address for order in decide_swaps(view, now_s)]


def record(outcome: object, **changes: object) -> OrderRecord:
    known = OrderRecord(LATEST, "a-1", 1, 90.0, outcome, 90.1, 92.0)
    return known._replace(**changes)


@pytest.mark.parametrize(
    ("weight", "share", "engines", "parallel_loads", "expected"),
    [
        (1.0, 0.5, 6, 4, 3),
        (0.5, 0.5, 6, 4, 2),
        (0.0, 0.5, 6, 4, 1),
        (1.0, 0.5, 6, 2, 2),
        (1.0, 0.34, 5, 4, 1),
        (1.0, 1.0, 6, 9, 6),
        (1.0, 0.01, 1, 4, 1),
        (0.8, 0.7, 10, 9, 6),
    ],
)
def test_how_many_swap_at_once_follows_the_service_text(
    weight: float, share: float, engines: int, parallel_loads: int, expected: int
) -> None:
    assert swaps_at_once(service(weight, share), engines, parallel_loads) == expected


def test_the_engines_with_the_least_work_in_hand_go_first() -> None:
    targets = [engine("a", running=5), engine("b"), engine("c", waiting=1), engine("d", running=9)]
    assert ordered(targets) == ["b", "c"]
    assert ordered(targets, in_flight={"b": 7}) == ["c", "a"]


def test_engines_that_trainers_can_use_no_more_go_before_idle_ones() -> None:
    targets = [engine("a"), engine("b", LATEST - 2, running=8), engine("c"), engine("d")]
    assert ordered(targets) == ["b", "a"]


@pytest.mark.parametrize(
    ("changes", "again"),
    [
        pytest.param({"loading": True}, False, id="it loads by its own word"),
        pytest.param({"reachable": False}, False, id="it can not be reached"),
        pytest.param({"leaving": True}, False, id="it leaves"),
        pytest.param({"version": LATEST}, False, id="it is there"),
        pytest.param({"version": LATEST + 1}, False, id="it is ahead of the store"),
        pytest.param({"instance": "a-2"}, True, id="restarted at its address with old weights"),
    ],
)
def test_what_the_target_itself_says_decides(changes: dict[str, object], again: bool) -> None:
    orders = {"a": record(OrderTaken())}
    now_s = 91.0
    assert bool(ordered([engine("a", **changes)], now_s, orders=orders)) is again


@pytest.mark.parametrize(
    ("known", "reported_at_s", "now_s", "again"),
    [
        pytest.param(record(None), 99.0, 100.0, False, id="not answered yet"),
        pytest.param(record(OrderTaken()), 90.0, 93.0, False, id="taken, not reported since"),
        pytest.param(record(OrderTaken()), 92.5, 93.0, True, id="taken, reports the old version"),
        pytest.param(record(OrderTaken()), 91.0, 91.5, False, id="failed, waits before the next"),
        pytest.param(record(OrderTaken()), 90.0, 101.0, True, id="taken, never reported"),
        pytest.param(record(OrderUnknown("x")), 92.5, 92.9, False, id="answer lost, too early"),
        pytest.param(
            record(OrderUnknown("x")), 92.5, 93.2, True, id="answer lost, time has passed"
        ),
        pytest.param(record(OrderRefused("x")), 90.0, 91.9, False, id="refused, waits"),
        pytest.param(record(OrderRefused("x")), 90.0, 92.1, True, id="refused, waited"),
        pytest.param(record(OrderTaken(), version=4), 90.0, 90.2, True, id="of an older version"),
    ],
)
def test_an_order_is_repeated_only_once_it_is_settled(
    known: OrderRecord, reported_at_s: float, now_s: float, again: bool
) -> None:
    """A swap fails partway, or an order's answer is lost.

    Repeated at once it would load twice; never repeated, callers would get old weights.
    """
    target = engine("a", reported_at_s=reported_at_s)
    assert bool(ordered([target], now_s, orders={"a": known})) is again


def test_waits_between_attempts_grow_and_are_bounded() -> None:
    waits = [retry_wait_s(attempts, 0.5) for attempts in range(1, 40)]
    assert waits == sorted(waits)
    assert waits[0] < 1.0
    assert waits[-1] <= 45.0


targets_drawn = st.lists(
    st.builds(
        engine,
        st.uuids().map(str),
        st.integers(min_value=0, max_value=LATEST),
        loading=st.booleans(),
        reachable=st.booleans(),
        leaving=st.booleans(),
        running=st.integers(min_value=0, max_value=20),
    ),
    max_size=12,
)


@given(
    targets=targets_drawn,
    weight=st.floats(min_value=0.0, max_value=1.0),
    share=st.floats(min_value=0.01, max_value=0.99),
    parallel_loads=st.integers(min_value=1, max_value=8),
)
def test_swaps_never_take_all_of_a_service_and_stay_within_every_bound(
    targets: list[TargetView], weight: float, share: float, parallel_loads: int
) -> None:
    view = SwapView(service(weight, share), targets, {}, LATEST, parallel_loads, {})
    orders = decide_swaps(view, 100.0)
    engines = [t for t in targets if t.reachable and not t.leaving]
    loading = [t for t in engines if t.loading]
    chosen = {order.target for order in orders}
    assert all(t in engines and not t.loading and t.version < LATEST for t in chosen)
    if chosen:
        assert len(loading) + len(chosen) <= min(parallel_loads, max(1, share * len(engines)))
    if len(engines) > 1 and chosen:
        assert len(loading) + len(chosen) < len(engines)
    behind = [t for t in engines if not t.loading and t.version < LATEST]
    if behind and not loading:
        assert chosen, "an engine that is behind is left behind"


def test_a_target_that_streams_older_tokens_than_it_reports_is_not_believed() -> None:
    """An engine says that it loaded a version and goes on with the old one.

    Its samples would be thrown away as stale, and nobody would order the load again.
    """
    board = Blackboard(Identity("n", "i", "z", "", ""))
    board.targets["a"] = engine("a", LATEST)
    streamed = StreamedVersions(board)
    streamed.note("a", LATEST - 1, 10.0)
    assert true_version(board, board.targets["a"], 10.0) == LATEST
    streamed.note("a", LATEST - 1, 12.0)
    assert true_version(board, board.targets["a"], 12.0) == LATEST - 1
    assert true_version(board, engine("a", LATEST, instance="a-2"), 12.0) == LATEST
    streamed.note("a", LATEST, 13.0)
    assert true_version(board, board.targets["a"], 13.0) == LATEST


class FakeLeases:
    """A lease that a test gives and takes; ``epoch`` is None while it is not held."""

    holder = "n.i"

    def __init__(self, epoch: int | None = 7) -> None:
        self.epoch = epoch
        self.asked = 0
        self.lapses_after = 10**9

    def may_order(self, _name: str, _now_s: float) -> int | None:
        self.asked += 1
        return self.epoch if self.asked <= self.lapses_after else None

    async def keep(self, _name: str) -> None:
        return


class Rig:
    """A coordinator on a node of its own, with stand-in engines and a stand-in store."""

    def __init__(self, session: aiohttp.ClientSession, store: StandInWeightStore) -> None:
        self.store = store
        self.board = Blackboard(Identity("n", "i", "z", "", ""))
        text = ServiceText({"asesor": service()}, {})
        self.board.config = ConfigState()._replace(services=text)
        self.client = TargetClient(
            session, session, progress_timeout_s=1.0, connect_timeout_s=1.0, probe_timeout_s=0.5
        )
        self.watch = TargetWatch(self.board, self.client, 0.05)
        self.engines: list[StandInEngine] = []
        self.session = session

    def coordinator(self, leases: FakeLeases, seed: int = 1) -> WeightCoordinator:
        made = WeightCoordinator(
            self.board,
            leases,
            HttpWeightStore(self.session, self.store.url, timeout_s=0.3),
            self.client,
            Observer("n"),
            random.Random(seed),
        )
        # Only this node: it ranks first for every service.
        made._should_hold = lambda _service: True
        return made

    async def add_engine(self, **options: object) -> StandInEngine:
        made = StandInEngine("asesor", "z", self.store.url, **options)
        made.report_lag_s = 0.05
        await made.start()
        self.engines.append(made)
        self.board.listed_targets = {e.address: ("asesor", "z", False) for e in self.engines}
        await self.watch.poll_once()
        return made

    async def until(self, condition: Callable[[], bool]) -> None:
        give_up_at_s = asyncio.get_running_loop().time() + 20.0
        while not condition():
            assert asyncio.get_running_loop().time() < give_up_at_s, self.engines[0].orders
            await asyncio.sleep(0.02)


async def with_rig(body: Callable[[Rig], object], drives: bool = True) -> None:
    store = StandInWeightStore(load_s=0.05)
    await store.start()
    async with aiohttp.ClientSession() as session:
        rig = Rig(session, store)
        tasks = [asyncio.ensure_future(rig.watch.drive())]
        try:
            await body(rig)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for made in rig.engines:
                await made.stop()
            await store.stop()


async def driven(rig: Rig, leases: FakeLeases, condition: Callable[[], bool]) -> WeightCoordinator:
    coordinator = rig.coordinator(leases)
    task = asyncio.ensure_future(coordinator.drive())
    try:
        await rig.until(condition)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return coordinator


def _fail_partway(rig: Rig) -> None:
    rig.engines[0].fail_next_loads = 2


def _pretend(rig: Rig) -> None:
    rig.engines[0].pretend_next_loads = 1


def _limit_the_store(rig: Rig) -> None:
    rig.store.parallel_loads = 1


def _take_the_store_down(rig: Rig) -> None:
    rig.store.down = True
    asyncio.get_running_loop().call_later(1.0, lambda: setattr(rig.store, "down", False))


def _lose_the_answer(rig: Rig) -> None:
    rig.engines[0].lose_next_order_answers = 1


def _restart_with_old_weights(rig: Rig) -> None:
    restarted = rig.engines[0]

    async def restart() -> None:
        await rig.until(lambda: restarted.version == 1)
        await restarted.crash()
        await restarted.restart(0)

    rig.restarting = asyncio.ensure_future(restart())


@pytest.mark.parametrize(
    "fault",
    [
        _fail_partway,
        _lose_the_answer,
        _pretend,
        _limit_the_store,
        _take_the_store_down,
        _restart_with_old_weights,
    ],
)
def test_a_new_version_reaches_every_engine_whatever_fails(fault: Callable[[Rig], None]) -> None:
    """A load fails or is only said to be done, or an engine comes back with old weights.

    Or the store is limited or down. Left so, callers would get answers from weights that
    everyone takes for replaced.
    """

    async def body(rig: Rig) -> None:
        for _number in range(3):
            await rig.add_engine()
        rig.store.versions["asesor"] = 1
        fault(rig)
        restarts = getattr(rig, "restarting", None)
        if restarts is not None:
            coordinating = driven(rig, FakeLeases(), restarts.done)
            await asyncio.gather(restarts, coordinating)
        coordinator = await driven(
            rig,
            FakeLeases(),
            lambda: (
                all(e.version == 1 for e in rig.engines)
                and rig.board.weights["asesor"].everywhere_at_s < 1e12
            ),
        )
        assert coordinator.report()["asesor"]["everywhere"]

    asyncio.run(with_rig(body))


def test_an_order_refused_for_its_fencing_number_is_the_last_of_its_epoch() -> None:
    """The holder was paused past its lease, and another ordered since with a higher number.

    Without this it would go on ordering until it had read the log.
    """

    async def body(rig: Rig) -> None:
        made = await rig.add_engine(checks_fencing=True)
        rig.store.versions["asesor"] = 1
        await rig.client.order_version(rig.board.targets[made.address], 0, 9)
        leases = FakeLeases(epoch=7)
        await driven(rig, leases, lambda: leases.asked > 12)
        assert made.refused_orders == 1
        leases.epoch = 10
        await driven(rig, leases, lambda: made.version == 1)

    asyncio.run(with_rig(body))


def test_a_holder_that_wakes_past_its_lease_orders_nothing_more() -> None:
    """It decided, was paused, and wakes believing that it holds the lease.

    On a target that ignores fencing numbers only its own look at the clock stops it.
    """

    async def body(rig: Rig) -> None:
        made = await rig.add_engine(checks_fencing=False)
        rig.store.versions["asesor"] = 1
        leases = FakeLeases()
        leases.lapses_after = 1
        await driven(rig, leases, lambda: leases.asked > 8)
        assert made.orders == []

    asyncio.run(with_rig(body))


def test_an_old_order_that_takes_effect_late_is_found_by_reading_back() -> None:
    """A target that ignores fencing numbers loads what an earlier holder ordered.

    The coordinator of today sees the old version in its report and orders again.
    """

    async def body(rig: Rig) -> None:
        made = await rig.add_engine(checks_fencing=False, boot_version=2)
        rig.store.versions["asesor"] = 2
        leases = FakeLeases()
        await driven(rig, leases, lambda: rig.board.weights.get("asesor") is not None)
        await rig.client.order_version(rig.board.targets[made.address], 1, 3)
        await rig.until(lambda: made.version == 1)
        await driven(rig, leases, lambda: made.version == 2)

    asyncio.run(with_rig(body))


def test_what_an_order_answers_is_told_apart() -> None:
    async def body(rig: Rig) -> None:
        made = await rig.add_engine()
        target = rig.board.targets[made.address]
        assert isinstance(await rig.client.order_version(target, 1, 5), OrderTaken)
        assert isinstance(await rig.client.order_version(target, 1, 4), OrderFenced)
        assert isinstance(await rig.client.order_version(target, 1, 5), OrderRefused)
        await rig.until(lambda: made.version == 1)
        made.lose_next_order_answers = 1
        assert isinstance(await rig.client.order_version(target, 2, 5), OrderUnknown)
        await rig.until(lambda: made.version == 2)
        await made.stop()
        assert isinstance(await rig.client.order_version(target, 1, 5), OrderRefused)

    asyncio.run(with_rig(body))


def test_a_slow_or_limited_store_is_asked_less_and_less_often() -> None:
    """Every coordinator asking a store that is down each moment would keep it down."""

    async def body(rig: Rig) -> None:
        await rig.add_engine()
        rig.store.down = True
        coordinator = rig.coordinator(FakeLeases())
        waits = []
        for _attempt in range(6):
            before_s = asyncio.get_running_loop().time()
            await coordinator._read_store("asesor")
            waits.append(coordinator._read_at_s["asesor"] - before_s)
        assert waits[-1] > 4 * waits[0]
        rig.board.weights["asesor"] = WeightsView(3, 4, 0.0, 0.0)
        rig.store.down = False
        await coordinator._read_store("asesor")
        assert rig.board.weights["asesor"].latest_version == 3

    asyncio.run(with_rig(body))


def test_a_coordinator_that_starts_again_in_mid_order_goes_on_with_the_weights() -> None:
    """A controller fails and starts again while an order of it is on its way.

    If that order counted as under way for ever, the service would keep its old
    weights and its trainers would wait for samples that are fresh enough.
    """

    async def body(rig: Rig) -> None:
        made = await rig.add_engine()
        # Its first load fails, so that only a second order brings the version.
        made.fail_next_loads = 1
        made.order_delay_s = 0.3
        rig.store.versions["asesor"] = 1
        coordinator = rig.coordinator(FakeLeases())
        first = asyncio.ensure_future(coordinator.drive())
        await rig.until(lambda: bool(coordinator._orders))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        second = asyncio.ensure_future(coordinator.drive())
        try:
            await rig.until(lambda: made.version == 1)
        finally:
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)

    asyncio.run(with_rig(body))
