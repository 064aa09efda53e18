"""Tests of the weight coordinator under faults, against stand-ins."""

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


class FakeLeaseManager:
    """A lease that the test controls; ``epoch`` is None while it is not held.

    The lease expires after ``valid_checks`` checks.
    """

    holder = "n.i"

    def __init__(self, epoch: int | None = 7) -> None:
        self.epoch = epoch
        self.checks = 0
        self.valid_checks = 10**9

    def order_fencing_number(self, _name: str, _now_s: float) -> int | None:
        self.checks += 1
        return self.epoch if self.checks <= self.valid_checks else None

    async def claim_or_renew(self, _name: str) -> None:
        return


class CoordinatorFixture:
    """A coordinator on a single node, with stand-in engines and a stand-in store."""

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

    def coordinator(self, leases: FakeLeaseManager, seed: int = 1) -> WeightCoordinator:
        coordinator = WeightCoordinator(
            self.board,
            leases,
            HttpWeightStore(self.session, self.store.url, timeout_s=0.3),
            self.client,
            Observer("n"),
            random.Random(seed),
        )
        # The only node holds every lease.
        coordinator._should_hold = lambda _service: True
        return coordinator

    async def add_engine(self, **options: object) -> StandInEngine:
        engine = StandInEngine("asesor", "z", self.store.url, **options)
        engine.report_lag_s = 0.05
        await engine.start()
        self.engines.append(engine)
        self.board.listed_targets = {e.address: ("asesor", "z", False) for e in self.engines}
        await self.watch.poll_once()
        return engine

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        timeout_at_s = asyncio.get_running_loop().time() + 20.0
        while not condition():
            assert asyncio.get_running_loop().time() < timeout_at_s, self.engines[0].orders
            await asyncio.sleep(0.02)


async def with_fixture(
    scenario: Callable[[CoordinatorFixture], object], drives: bool = True
) -> None:
    store = StandInWeightStore(load_s=0.05)
    await store.start()
    async with aiohttp.ClientSession() as session:
        fixture = CoordinatorFixture(session, store)
        tasks = [asyncio.ensure_future(fixture.watch.drive())]
        try:
            await scenario(fixture)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for engine in fixture.engines:
                await engine.stop()
            await store.stop()


async def drive_until(
    fixture: CoordinatorFixture, leases: FakeLeaseManager, condition: Callable[[], bool]
) -> WeightCoordinator:
    coordinator = fixture.coordinator(leases)
    task = asyncio.ensure_future(coordinator.drive())
    try:
        await fixture.wait_until(condition)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
    return coordinator


def _fail_loads(fixture: CoordinatorFixture) -> None:
    fixture.engines[0].fail_next_loads = 2


def _report_false_success(fixture: CoordinatorFixture) -> None:
    fixture.engines[0].pretend_next_loads = 1


def _limit_store(fixture: CoordinatorFixture) -> None:
    fixture.store.parallel_loads = 1


def _stop_store_for_1s(fixture: CoordinatorFixture) -> None:
    fixture.store.down = True
    asyncio.get_running_loop().call_later(1.0, lambda: setattr(fixture.store, "down", False))


def _lose_order_answer(fixture: CoordinatorFixture) -> None:
    fixture.engines[0].lose_next_order_answers = 1


def _restart_with_old_weights(fixture: CoordinatorFixture) -> None:
    restarted = fixture.engines[0]

    async def restart() -> None:
        await fixture.wait_until(lambda: restarted.version == 1)
        await restarted.crash()
        await restarted.restart(0)

    fixture.restarting = asyncio.ensure_future(restart())


@pytest.mark.parametrize(
    "fault",
    [
        _fail_loads,
        _lose_order_answer,
        _report_false_success,
        _limit_store,
        _stop_store_for_1s,
        _restart_with_old_weights,
    ],
)
def test_new_version_reaches_every_engine_despite_fault(
    fault: Callable[[CoordinatorFixture], None],
) -> None:
    """Guards against engines left on old weights after a fault.

    The fault is a failed load, a load falsely reported as done, a lost answer, a restart
    with old weights, or a limited or unavailable store. Callers would get answers from
    weights that are believed to be replaced.
    """

    async def scenario(fixture: CoordinatorFixture) -> None:
        for _number in range(3):
            await fixture.add_engine()
        fixture.store.versions["asesor"] = 1
        fault(fixture)
        restarts = getattr(fixture, "restarting", None)
        if restarts is not None:
            coordinating = drive_until(fixture, FakeLeaseManager(), restarts.done)
            await asyncio.gather(restarts, coordinating)
        coordinator = await drive_until(
            fixture,
            FakeLeaseManager(),
            lambda: (
                all(e.version == 1 for e in fixture.engines)
                and fixture.board.weights["asesor"].everywhere_at_s < 1e12
            ),
        )
        assert coordinator.report()["asesor"]["everywhere"]

    asyncio.run(with_fixture(scenario))


def test_no_orders_follow_in_an_epoch_that_was_fenced() -> None:
    """Guards against a paused holder that continues to order after another node took the lease.

    A target has seen the higher fencing number and refuses the order. Without this rule the
    holder would continue to order until it had read the log.
    """

    async def scenario(fixture: CoordinatorFixture) -> None:
        engine = await fixture.add_engine(checks_fencing=True)
        fixture.store.versions["asesor"] = 1
        await fixture.client.order_version(fixture.board.targets[engine.address], 0, 9)
        leases = FakeLeaseManager(epoch=7)
        await drive_until(fixture, leases, lambda: leases.checks > 12)
        assert engine.refused_orders == 1
        leases.epoch = 10
        await drive_until(fixture, leases, lambda: engine.version == 1)

    asyncio.run(with_fixture(scenario))


def test_resumed_holder_sends_no_orders_after_lease_expiry() -> None:
    """Guards against an order that was decided before a process pause and sent after it.

    On a target that does not check fencing numbers, only the holder's check of its own
    clock prevents the order.
    """

    async def scenario(fixture: CoordinatorFixture) -> None:
        engine = await fixture.add_engine(checks_fencing=False)
        fixture.store.versions["asesor"] = 1
        leases = FakeLeaseManager()
        leases.valid_checks = 1
        await drive_until(fixture, leases, lambda: leases.checks > 8)
        assert engine.orders == []

    asyncio.run(with_fixture(scenario))


def test_late_effect_of_old_order_is_detected_and_corrected() -> None:
    """Guards against a target that stays on the version which an earlier holder ordered.

    The target does not check fencing numbers and applies the old order late. The current
    coordinator reads the old version from the target's report and orders again.
    """

    async def scenario(fixture: CoordinatorFixture) -> None:
        engine = await fixture.add_engine(checks_fencing=False, boot_version=2)
        fixture.store.versions["asesor"] = 2
        leases = FakeLeaseManager()
        await drive_until(fixture, leases, lambda: fixture.board.weights.get("asesor") is not None)
        await fixture.client.order_version(fixture.board.targets[engine.address], 1, 3)
        await fixture.wait_until(lambda: engine.version == 1)
        await drive_until(fixture, leases, lambda: engine.version == 2)

    asyncio.run(with_fixture(scenario))


def test_order_outcomes_are_distinguished() -> None:
    async def scenario(fixture: CoordinatorFixture) -> None:
        engine = await fixture.add_engine()
        target = fixture.board.targets[engine.address]
        assert isinstance(await fixture.client.order_version(target, 1, 5), OrderTaken)
        assert isinstance(await fixture.client.order_version(target, 1, 4), OrderFenced)
        assert isinstance(await fixture.client.order_version(target, 1, 5), OrderRefused)
        await fixture.wait_until(lambda: engine.version == 1)
        engine.lose_next_order_answers = 1
        assert isinstance(await fixture.client.order_version(target, 2, 5), OrderUnknown)
        await fixture.wait_until(lambda: engine.version == 2)
        await engine.stop()
        assert isinstance(await fixture.client.order_version(target, 1, 5), OrderRefused)

    asyncio.run(with_fixture(scenario))


def test_polling_of_failing_store_backs_off() -> None:
    """Guards against coordinators that keep a failing store down by polling it too often."""

    async def scenario(fixture: CoordinatorFixture) -> None:
        await fixture.add_engine()
        fixture.store.down = True
        coordinator = fixture.coordinator(FakeLeaseManager())
        delays_s = []
        for _attempt in range(6):
            before_s = asyncio.get_running_loop().time()
            await coordinator._read_store("asesor")
            delays_s.append(coordinator._next_read_at_s["asesor"] - before_s)
        assert delays_s[-1] > 4 * delays_s[0]
        fixture.board.weights["asesor"] = WeightsView(3, 4, 0.0, 0.0)
        fixture.store.down = False
        await coordinator._read_store("asesor")
        assert fixture.board.weights["asesor"].latest_version == 3

    asyncio.run(with_fixture(scenario))


def test_rollout_continues_after_coordinator_restart_during_order() -> None:
    """Guards against an order that stays pending after its controller fails and restarts.

    The service would keep its old weights, and its trainers would wait for samples within
    the staleness bound.
    """

    async def scenario(fixture: CoordinatorFixture) -> None:
        engine = await fixture.add_engine()
        # The first load fails, so only a second order can bring the version.
        engine.fail_next_loads = 1
        engine.order_delay_s = 0.3
        fixture.store.versions["asesor"] = 1
        coordinator = fixture.coordinator(FakeLeaseManager())
        first = asyncio.ensure_future(coordinator.drive())
        await fixture.wait_until(lambda: bool(coordinator._orders))
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        second = asyncio.ensure_future(coordinator.drive())
        try:
            await fixture.wait_until(lambda: engine.version == 1)
        finally:
            second.cancel()
            await asyncio.gather(second, return_exceptions=True)

    asyncio.run(with_fixture(scenario))
