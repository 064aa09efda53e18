"""Attempts of one call: retries by call kind, attempt limits, and when ``ran`` may be NO."""

import asyncio
import random

import pytest

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
)

OK = TargetAnswer(200, (), b"whole", "sig")
FAILED = TargetAnswer(500, (), b"failed", "sig")
REFUSED = TargetFault("full", Ran.NO, refused=True)
REPLACED = TargetFault("replaced", Ran.NO, wrong_instance=True)
LOST = TargetFault("reset", Ran.UNKNOWN)
Reply = TargetAnswer | TargetFault | float


class ScriptedChannel:
    """Replies in scripted order; a number is a silence of that many seconds before the answer."""

    def __init__(self, *replies: Reply) -> None:
        self.replies = list(replies)
        self.instances: list[str] = []
        self.cancelled = 0

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del call, budget_s
        self.instances.append(target.instance)
        reply = self.replies.pop(0) if self.replies else OK
        if isinstance(reply, float):
            try:
                await asyncio.sleep(reply)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
            return OK
        if isinstance(reply, TargetFault):
            raise reply
        return reply


def route(kind: CallKind, **changes: object) -> Route:
    base = Route("r", "h", "/", kind, [WeightedService("svc", 1.0)], 5.0, 0.2, 2)
    return base._replace(**changes)  # type: ignore[arg-type]


def forward(channel: ScriptedChannel, to: Route, targets: int = 3) -> TargetAnswer:
    async def body() -> TargetAnswer:
        table = TargetTable("z")
        names = [f"t{n}" for n in range(targets)]
        table.replace({n: Target(n, "svc", f"127.0.0.1:{n}", "z", 4, False) for n in names})
        forwarder = Forwarder(RouteTable(), table, channel, random.Random(1))
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", "/x", "h", (), b"", now_s, now_s + 2.0)
        answer = await forwarder.forward(call, to)
        await asyncio.sleep(0)
        assert not +table.in_flight
        return answer

    return asyncio.run(body())


@pytest.mark.parametrize(
    ("kind", "replies", "attempts"),
    [
        (CallKind.IDEMPOTENT, [OK], 1),
        (CallKind.IDEMPOTENT, [LOST, OK], 2),
        (CallKind.IDEMPOTENT, [FAILED, OK], 2),
        (CallKind.IDEMPOTENT, [REFUSED, REFUSED, REPLACED, OK], 4),
        (CallKind.NON_IDEMPOTENT, [REFUSED, REPLACED, OK], 3),
    ],
)
def test_answer_is_returned(kind: CallKind, replies: list[Reply], attempts: int) -> None:
    channel = ScriptedChannel(*replies)
    assert forward(channel, route(kind)) == OK
    assert len(channel.instances) == attempts


@pytest.mark.parametrize(
    ("kind", "replies", "error", "ran", "attempts"),
    [
        (CallKind.IDEMPOTENT, [LOST, LOST, OK], ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 2),
        (CallKind.NON_IDEMPOTENT, [LOST, OK], ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 1),
        (CallKind.NON_IDEMPOTENT, [REFUSED, LOST], ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN, 2),
        (CallKind.IDEMPOTENT, [REFUSED] * 20, ErrorKind.NO_TARGET, Ran.NO, 8),
    ],
    ids=["attempts used up", "may have run", "refused, then lost", "refused by all"],
)
def test_unanswered_call_reports_whether_it_may_have_run(
    kind: CallKind, replies: list[Reply], error: ErrorKind, ran: Ran, attempts: int
) -> None:
    """Guards against a call that may have run being reported as not run.

    The caller would send it again, and a buyer would get two quotes.
    """
    channel = ScriptedChannel(*replies)
    with pytest.raises(RequestError) as raised:
        forward(channel, route(kind))
    assert (raised.value.kind, raised.value.ran) == (error, ran)
    assert len(channel.instances) == attempts


def test_failure_of_non_idempotent_call_is_returned() -> None:
    channel = ScriptedChannel(FAILED)
    assert forward(channel, route(CallKind.NON_IDEMPOTENT)) == FAILED
    assert len(channel.instances) == 1


def test_failure_is_returned_after_the_last_attempt() -> None:
    channel = ScriptedChannel(FAILED, FAILED)
    assert forward(channel, route(CallKind.IDEMPOTENT)) == FAILED


def test_late_attempt_is_hedged() -> None:
    """A target goes silent, and the latency objective would pass without an answer.

    The hedged attempt answers within the objective, and the first attempt is cancelled so that the
    target doesn't work on an answer that nobody reads.
    """
    channel = ScriptedChannel(30.0, OK)
    assert forward(channel, route(CallKind.IDEMPOTENT)) == OK
    assert len(set(channel.instances)) == 2
    assert channel.cancelled == 1


def test_non_idempotent_call_is_never_hedged() -> None:
    channel = ScriptedChannel(0.4)
    assert forward(channel, route(CallKind.NON_IDEMPOTENT)) == OK
    assert len(channel.instances) == 1


def test_route_timeout_ends_call() -> None:
    channel = ScriptedChannel(30.0, 30.0)
    with pytest.raises(RequestError) as raised:
        forward(channel, route(CallKind.IDEMPOTENT, timeout_s=0.3))
    assert raised.value.kind is ErrorKind.DEADLINE_EXCEEDED
    assert raised.value.ran is Ran.UNKNOWN


@pytest.mark.parametrize("targets", [0])
def test_call_without_targets_did_not_run(targets: int) -> None:
    with pytest.raises(RequestError) as raised:
        forward(ScriptedChannel(), route(CallKind.IDEMPOTENT), targets)
    assert (raised.value.kind, raised.value.ran) == (ErrorKind.NO_TARGET, Ran.NO)
    assert raised.value.retry_after_s > 0.0


@pytest.mark.parametrize(
    ("replies", "message"),
    [
        ([9.0, 9.0, 9.0], r"no answer in time; t\d: silent for 0.\d+ s; t\d: silent for"),
        ([LOST, 9.0], r"no answer in time; t\d: reset after 0.\d+ s; t\d: silent for"),
        ([FAILED, 9.0, 9.0], r"t\d: answered 500 after 0.\d+ s; t\d: silent for"),
    ],
    ids=["silent", "reset", "failed"],
)
def test_missing_answer_is_explained_for_each_target(replies: list[Reply], message: str) -> None:
    """A caller gets 504 because its target was silent until the deadline.

    The message must name that target. "no target serves this route" would point to the
    configuration and the registrations, which are correct.
    """
    to = route(CallKind.IDEMPOTENT, timeout_s=0.3, objective_s=0.1)
    with pytest.raises(RequestError, match=message):
        forward(ScriptedChannel(*replies), to)


def test_call_without_targets_says_so() -> None:
    with pytest.raises(RequestError, match="no target serves this route"):
        forward(ScriptedChannel(), route(CallKind.IDEMPOTENT), targets=0)


def test_slow_target_stops_receiving_calls() -> None:
    """One of three targets answers ten times slower than the others for a while.

    A hedged attempt elsewhere answers each of its calls, but these calls take twice as long.
    """

    class OneSlow(ScriptedChannel):
        async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
            self.replies = [0.3 if target.instance == "t0" else 0.01]
            return await super().exchange(call, target, budget_s)

    async def body() -> list[str]:
        table = TargetTable("z")
        names = [f"t{n}" for n in range(3)]
        table.replace({n: Target(n, "svc", f"127.0.0.1:{n}", "z", 4, False) for n in names})
        channel = OneSlow()
        forwarder = Forwarder(RouteTable(), table, channel, random.Random(1))
        for number in range(12):
            now_s = asyncio.get_running_loop().time()
            call = Call(f"{number}", "POST", "/x", "h", (), b"", now_s, now_s + 2.0)
            await forwarder.forward(call, route(CallKind.IDEMPOTENT, objective_s=0.1))
        return channel.instances

    instances = asyncio.run(body())
    assert instances.count("t0") <= 2
