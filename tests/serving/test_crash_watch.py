"""Calls under which targets ended: sent to one target at a time, apart, or not at all."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest

from samphirecleat.crashes import SETTLE_S, CrashLedger, RegistrationState, RunEnd
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


class Channel:
    """Targets that take ``takes_s`` for an answer, and end on calls to ``/ends``."""

    def __init__(self) -> None:
        self.takes_s = 0.0
        self.asked: list[tuple[str, str]] = []

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del budget_s
        self.asked.append((call.raw_path, target.instance))
        await asyncio.sleep(self.takes_s)
        if call.raw_path == "/ends":
            raise TargetFault("reset", Ran.UNKNOWN, cut=True)
        return OK

    def asked_for(self, raw_path: str) -> list[str]:
        return [instance for path, instance in self.asked if path == raw_path]


class Stage:
    """A forwarder over six targets, with its guard."""

    def __init__(self) -> None:
        self.channel = Channel()
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
        return address.partition(":")[0] not in self.channel.asked_for("/ends")

    def call(self, raw_path: str, request_id: str = "id") -> Call:
        now_s = asyncio.get_running_loop().time()
        return Call(request_id, "POST", raw_path, "h", (), b"", now_s, now_s + 3.0)

    async def forward(self, raw_path: str, request_id: str = "id") -> TargetAnswer:
        return await self.forwarder.forward(self.call(raw_path, request_id), ROUTE)

    def suspect(self, raw_path: str, *targets: str) -> None:
        now_s = asyncio.get_running_loop().time()
        for target in targets:
            end = RunEnd(target, now_s - 0.2, now_s - 0.1, "other")
            self.ledger.note_end(call_digest(self.call(raw_path)), end, now_s)


def play(body: Callable[[Stage], Awaitable[None]]) -> None:
    async def main() -> None:
        await body(Stage())

    asyncio.run(main())


def test_a_call_that_ends_its_targets_is_refused_under_every_id() -> None:
    async def body(stage: Stage) -> None:
        for number in range(2):
            with pytest.raises(RequestError) as raised:
                await stage.forward("/ends", f"id-{number}")
            assert raised.value.ran is Ran.UNKNOWN
        assert len(stage.channel.asked) == 3
        with pytest.raises(RequestError) as raised:
            await stage.forward("/ends", "held")
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.CRASH_SUSPECTED, Ran.NO)
        assert raised.value.retry_after_s > 0.0
        await asyncio.sleep(SETTLE_S + 0.05)
        with pytest.raises(RequestError) as raised:
            await stage.forward("/ends", "refused")
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.CRASHES_TARGETS, Ran.UNKNOWN)
        assert raised.value.retry_after_s == 0.0
        assert len(stage.channel.asked) == 3
        assert await stage.forward("/other") == OK

    play(body)


@pytest.mark.parametrize(("suspected", "attempts"), [(False, 2), (True, 1)])
def test_a_suspect_that_is_late_gets_no_second_attempt_beside_the_first(
    suspected: bool, attempts: int
) -> None:
    """Side by side, a request ends a second target before the first has told anything."""

    async def body(stage: Stage) -> None:
        stage.channel.takes_s = 0.12
        if suspected:
            stage.suspect("/x", "gone")
        assert await stage.forward("/x") == OK
        assert len(stage.channel.asked) == attempts

    play(body)


def test_no_call_runs_beside_a_suspect_while_another_target_is_free() -> None:
    """A call that is not to blame would be lost with the suspect's next target, again and again."""

    async def body(stage: Stage) -> None:
        stage.suspect("/suspect", "gone")
        stage.suspect("/another", "gone")
        stage.channel.takes_s = 0.05
        calls = ["/suspect", "/another", *(f"/{number}" for number in range(12))]
        await asyncio.gather(*(stage.forward(path, path) for path in calls))
        runs = {path: stage.channel.asked_for(path)[0] for path in calls}
        beside = [path for path in calls[1:] if runs[path] == runs["/suspect"]]
        assert beside == []
        assert not +stage.table.suspect_runs

    play(body)


def test_an_answer_clears_a_suspect() -> None:
    async def body(stage: Stage) -> None:
        stage.suspect("/x", "gone", "gone too")
        assert await stage.forward("/x") == OK
        assert not stage.ledger.suspects[call_digest(stage.call("/x"))].ends

    play(body)


def test_what_a_registration_says_of_a_start() -> None:
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
