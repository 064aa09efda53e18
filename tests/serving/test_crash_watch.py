"""Calls under which targets crashed: sent to one target at a time, isolated, or refused."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from samphirecleat.crashes import SETTLE_S, CrashedRun, CrashLedger, RegistrationState
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.serving import (
    Call,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    Target,
    TargetAnswer,
    TargetFault,
    TargetTable,
    WeightedService,
    call_digest,
    registration_state,
    sibling_targets,
    target_start,
)

from ..crashes.guards import make_guard

OK = TargetAnswer(200, (), b"whole", "sig")
ROUTE = Route(
    "r", "h", "/", CallKind.IDEMPOTENT, [WeightedService("svc", 1.0)], 5.0, 0.1, max_attempts=2
)


class CrashingChannel:
    """Targets that answer after ``answer_delay_s`` and crash on calls to ``/crash``."""

    def __init__(self) -> None:
        self.answer_delay_s = 0.0
        self.asked: list[tuple[str, str]] = []

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del budget_s
        self.asked.append((call.raw_path, target.instance))
        await asyncio.sleep(self.answer_delay_s)
        if call.raw_path == "/crash":
            raise TargetFault("reset", Ran.UNKNOWN, connection_closed=True)
        return OK

    def asked_for(self, raw_path: str) -> list[str]:
        return [instance for path, instance in self.asked if path == raw_path]


class ForwarderFixture:
    """A forwarder over six targets, with its crash guard."""

    def __init__(self) -> None:
        self.channel = CrashingChannel()
        self.ledger = CrashLedger()
        self.table = TargetTable("z")
        names = [f"t{number}" for number in range(6)]
        self.table.replace({n: Target(n, "svc", f"{n}:1", "z", 4, False) for n in names})
        self.guard = make_guard(
            self.ledger,
            self._listens,
            lambda start: registration_state(self.table, start),
            lambda start: sibling_targets(self.table, start),
        )
        self.forwarder = Forwarder(
            RouteTable(), self.table, self.channel, random.Random(1), guard=self.guard
        )

    async def _listens(self, address: str) -> bool:
        return address.partition(":")[0] not in self.channel.asked_for("/crash")

    def call(self, raw_path: str, request_id: str = "id") -> Call:
        now_s = asyncio.get_running_loop().time()
        return Call(request_id, "POST", raw_path, "h", (), b"", now_s, now_s + 3.0)

    async def forward(self, raw_path: str, request_id: str = "id") -> TargetAnswer:
        return await self.forwarder.forward(self.call(raw_path, request_id), ROUTE)

    def suspect(self, raw_path: str, *targets: str) -> None:
        now_s = asyncio.get_running_loop().time()
        for target in targets:
            end = CrashedRun(target, now_s - 0.2, now_s - 0.1, "other")
            self.ledger.record_crash(call_digest(self.call(raw_path)), end, now_s)


def run_with_fixture(body: Callable[[ForwarderFixture], Awaitable[None]]) -> None:
    async def main() -> None:
        await body(ForwarderFixture())

    asyncio.run(main())


def test_call_that_crashes_targets_is_refused_under_any_request_id() -> None:
    async def body(fixture: ForwarderFixture) -> None:
        for number in range(2):
            with pytest.raises(RequestError) as raised:
                await fixture.forward("/crash", f"id-{number}")
            assert raised.value.ran is Ran.UNKNOWN
        assert len(fixture.channel.asked) == 3
        with pytest.raises(RequestError) as raised:
            await fixture.forward("/crash", "held")
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.CRASH_SUSPECTED, Ran.NO)
        assert raised.value.retry_after_s > 0.0
        await asyncio.sleep(SETTLE_S + 0.05)
        with pytest.raises(RequestError) as raised:
            await fixture.forward("/crash", "refused")
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.CRASHES_TARGETS, Ran.UNKNOWN)
        assert raised.value.retry_after_s == 0.0
        assert len(fixture.channel.asked) == 3
        assert await fixture.forward("/other") == OK

    run_with_fixture(body)


@pytest.mark.parametrize(("suspected", "attempts"), [(False, 2), (True, 1)])
def test_late_suspect_gets_no_hedged_attempt(suspected: bool, attempts: int) -> None:
    """A hedged attempt would crash a second target before the outcome of the first is known."""

    async def body(fixture: ForwarderFixture) -> None:
        fixture.channel.answer_delay_s = 0.12
        if suspected:
            fixture.suspect("/x", "gone")
        assert await fixture.forward("/x") == OK
        assert len(fixture.channel.asked) == attempts

    run_with_fixture(body)


def test_suspect_has_its_target_to_itself_while_others_are_available() -> None:
    """A call that shares the suspect's target would be lost each time the suspect crashes it."""

    async def body(fixture: ForwarderFixture) -> None:
        fixture.suspect("/suspect", "gone")
        fixture.suspect("/another", "gone")
        fixture.channel.answer_delay_s = 0.05
        calls = ["/suspect", "/another", *(f"/{number}" for number in range(12))]
        await asyncio.gather(*(fixture.forward(path, path) for path in calls))
        runs = {path: fixture.channel.asked_for(path)[0] for path in calls}
        sharing_target = [path for path in calls[1:] if runs[path] == runs["/suspect"]]
        assert sharing_target == []
        assert not +fixture.table.suspect_runs

    run_with_fixture(body)


def test_answer_clears_suspect() -> None:
    async def body(fixture: ForwarderFixture) -> None:
        fixture.suspect("/x", "gone", "gone too")
        assert await fixture.forward("/x") == OK
        assert not fixture.ledger.suspects[call_digest(fixture.call("/x"))].crashed_runs

    run_with_fixture(body)


def test_registration_state_of_a_target_start() -> None:
    table = TargetTable("z")
    target = Target("t", "svc", "t:1", "z", 4, False, started_at_ms=5)
    other = target._replace(instance="o", address="o:1")
    table.replace({"t": target, "o": other, "p": target._replace(instance="p", service="else")})
    assert registration_state(table, target_start(target)) is RegistrationState.READY
    assert sibling_targets(table, target_start(target)) == [target_start(other)]
    table.replace({"t": target._replace(draining=True)})
    assert registration_state(table, target_start(target)) is RegistrationState.DRAINING
    table.replace({"t": target._replace(started_at_ms=6)})
    assert registration_state(table, target_start(target)) is RegistrationState.GONE
    assert sibling_targets(table, target_start(target._replace(instance="unknown"))) == []
