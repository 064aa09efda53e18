"""Tests of claiming, takeover and handing over duties."""

import asyncio
import random
from collections.abc import Callable
from typing import cast

import pytest

from samphirecleat.blackboard import Blackboard, Identity, Member, MemberView
from samphirecleat.durable import (
    Claim,
    Duty,
    DutyDependencies,
    DutyKeeper,
    GenerationChannel,
    Holder,
    OrderChannel,
    PlainLog,
    ProgressJournal,
    Scorer,
    ServiceDuties,
    StepLog,
)
from samphirecleat.durable._duty import takeover_wait_s
from samphirecleat.observe import Observer
from samphirecleat.serving import (
    CallerLimits,
    EngineSpec,
    RouteTable,
    RoutingConfig,
    ServiceSpec,
    TargetTable,
)

from ..fleets import until
from .memory_log import MemoryLog


def make_keeper(step_log: StepLog) -> DutyKeeper:
    """Return the duty keeper of a single ready node, without a journal."""
    identity = Identity("n1", "inc00001", "z", "", "")
    row = Member("n1", "inc00001", 1, "z", "", "", 1, False, True, 1, 0, 0)
    board = Blackboard(identity, members={"n1": MemberView(row, 0.0, True)})
    routes = RouteTable()
    spec = ServiceSpec("svc", "", 10, EngineSpec(12, 40_000, ["m"]))
    routes.put(RoutingConfig(1, (), {"svc": spec}, CallerLimits()))
    observer = Observer("n1")
    parts = DutyDependencies(
        step_log,
        routes,
        TargetTable("z"),
        cast(GenerationChannel, None),
        cast(OrderChannel, None),
        cast(Scorer, None),
        ProgressJournal(cast(PlainLog, None), observer),
        observer,
        lambda _model: 1,
    )
    subjects = ServiceDuties(parts).subjects
    return DutyKeeper(board, step_log, subjects, observer, random.Random(1), lease_s=3.0)


def test_a_claim_refused_by_the_log_is_retried_without_a_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A recovering log refuses a claim, and is then available for only a second.

    A node that waited for the usual pause between claims would miss that second, and the steps
    would wait until the log's next outage is over.
    """
    # With this pause between claims, no second claim would be written during the test.
    monkeypatch.setattr("samphirecleat.durable._election.CLAIM_PAUSE_S", 1e6)

    async def body() -> int:
        log = MemoryLog()
        step_log = StepLog(log, "inc00001", Observer("n1"), random.Random(1))
        following = asyncio.ensure_future(step_log.run())
        await until(lambda: step_log.caught_up)
        log.topic("keyed.steps").answers = ["refused", "refused"]
        working = asyncio.ensure_future(make_keeper(step_log).run())
        await until(lambda: "svc" in step_log.fold.claims)
        for task in (working, following):
            task.cancel()
        await asyncio.gather(working, following, return_exceptions=True)
        return log.topic("keyed.steps").appends

    assert asyncio.run(body()) == 3


@pytest.mark.parametrize(("fenced", "want_s"), [(False, 4.0), (True, 2.0)])
def test_a_new_holder_waits_for_calls_of_the_previous_one(fenced: bool, want_s: float) -> None:
    """Guards against two holders that act at the same time, and against an unnecessary pause."""
    assert takeover_wait_s(3.0, fenced=fenced) == want_s
    assert takeover_wait_s(0.3, fenced=fenced) <= 1.3


class CutOffDuty:
    """A duty that can't be performed from this node."""

    out_of_reach = True

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        del on_failure

    def stop(self) -> None:
        """Nothing to stop."""

    async def save(self) -> None:
        """Nothing to save."""


def test_a_duty_that_is_out_of_reach_is_handed_over() -> None:
    """Guards against a stalled duty when only its holder can't reach the platform."""

    async def make(subject: str, holder: Holder) -> Duty:
        del subject, holder
        return CutOffDuty()

    async def body() -> Claim:
        log = MemoryLog()
        step_log = StepLog(log, "inc00001", Observer("n1"), random.Random(1))
        following = asyncio.ensure_future(step_log.run())
        await until(lambda: step_log.caught_up)
        rows = [
            Member(name, inc, 1, "z", "", "", 1, False, True, 1, 0, 0)
            for name, inc in (("n1", "inc00001"), ("n2", "inc00002"))
        ]
        members = {row.node_id: MemberView(row, 0.0, True) for row in rows}
        board = Blackboard(Identity("n1", "inc00001", "z", "", ""), members=members)
        keeper = DutyKeeper(
            board,
            step_log,
            lambda: {"duty:x": make},
            Observer("n1"),
            random.Random(1),
            lease_s=3.0,
        )
        working = asyncio.ensure_future(keeper.run())
        await until(lambda: len(log.topic("keyed.steps").entries) == 2)
        await until(lambda: step_log.fold.claims["duty:x"].node_id == "n2")
        await until(lambda: not keeper.held_duties())
        for task in (working, following):
            task.cancel()
        await asyncio.gather(working, following, return_exceptions=True)
        return step_log.fold.claims["duty:x"]

    claim = asyncio.run(body())
    assert (claim.node_id, claim.previous_node_id) == ("n2", "n1")
