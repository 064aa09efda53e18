"""Bringing new weights to engines: the driver under faults, against stand-ins."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import pytest

from samphirecleat.blackboard import Blackboard, Identity, WeightsView
from samphirecleat.config import ConfigState, ServiceText
from samphirecleat.controllers.targets._target_watch import TargetWatch
from samphirecleat.controllers.weights._coordinator import WeightCoordinator
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
from tests.controllers.weights.weight_views import service


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
