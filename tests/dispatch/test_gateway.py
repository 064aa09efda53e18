"""The hops of a call: which owner gets it, and what follows when an owner fails."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any

import pytest

from samphirecleat.dispatch import CallReply, HopError
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.serving import CallKind, TargetAnswer

from .gateway_setup import ANSWER, OBJECTIVE_S, Stage, reply, route

UNREACHABLE = HopError("unreachable", "refused", sent=False)
NO_ENDPOINT = HopError("no_endpoint", "404", sent=False, avoid_s=10.0)
BROKEN = HopError("broken", "reset", sent=True)
KINDS = (CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT)


def run(body: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(10.0):
            await body

    asyncio.run(limited())


def refusal(kind: ErrorKind, wait_s: float, retry_after_s: float = 0.0) -> CallReply:
    error = RequestError(kind, "refused", ran=Ran.NO, retry_after_s=retry_after_s)
    return CallReply.from_error(error, wait_s)


def first_owner(stage: Stage) -> str:
    """Return the owner that gets the first call: one in the zone of the node, if there is one."""
    owners = stage.ownership.owners("plain")
    near = [owner for owner in owners if owner.zone == stage.node.zone]
    assert len(near) == 1
    return near[0].node_id


def test_owner_with_the_smallest_wait_gets_the_call() -> None:
    """Guards against calls that queue at a full owner while another one has free slots.

    A known wait is forgotten after a quarter of a second: an owner that nobody calls can't report
    that it has free slots again.
    """

    async def body() -> None:
        stage = Stage()
        near = first_owner(stage)
        stage.channel.replies[near] = [reply(wait_s=0.05)]
        for _ in range(6):
            await stage.forward(route())
        assert stage.channel.asked.count(near) == 1
        await asyncio.sleep(0.3)
        await stage.forward(route())
        assert stage.channel.asked[-1] == near

    run(body())


def test_owner_serves_its_own_calls_unless_its_queue_is_longer() -> None:
    async def body() -> None:
        stage = Stage(own=True)
        await stage.forward(route())
        assert len(stage.local.instances) == 1
        stage.own_wait_s = math.inf
        await stage.forward(route())
        assert len(stage.channel.sent) == 1

    run(body())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("error", [UNREACHABLE, NO_ENDPOINT])
def test_call_that_was_not_sent_goes_to_the_next_owner_or_stays(
    kind: CallKind, error: HopError
) -> None:
    """Owners exit, or are of a build without the endpoint.

    Guards against calls that fail although no owner got them, and against an attempt that is
    counted although nothing was sent.
    """

    async def body() -> None:
        stage = Stage()
        near = first_owner(stage)
        stage.channel.replies[near] = [error]
        assert await stage.forward(route(kind)) == ANSWER
        assert len(stage.channel.sent) == 2
        assert {request.attempts for _, request in stage.channel.sent} == {2}
        for owner in stage.owners:
            stage.channel.replies[owner] = [error]
        assert await stage.forward(route(kind)) == ANSWER
        assert await stage.forward(route(kind)) == ANSWER
        assert len(stage.channel.sent) == 1 + len(stage.owners)
        assert len(stage.local.instances) == 2

    run(body())


def test_idempotent_call_of_a_lost_owner_is_sent_to_another_with_an_attempt_less() -> None:
    """Guards against a lost call, and against more targets than the route allows."""

    async def body() -> None:
        stage = Stage()
        stage.channel.replies[first_owner(stage)] = [BROKEN]
        assert await stage.forward(route()) == ANSWER
        assert [request.attempts for _, request in stage.channel.sent] == [2, 1]
        assert stage.granted() == 2

    run(body())


@pytest.mark.parametrize(("kind", "attempts"), [(KINDS[0], 1), (KINDS[1], 3)])
def test_call_that_may_not_run_again_reports_an_unknown_outcome(
    kind: CallKind, attempts: int
) -> None:
    """Guards against a second run of a call whose owner died, and against "not run" for it."""

    async def body() -> None:
        stage = Stage()
        stage.channel.replies[first_owner(stage)] = [BROKEN]
        with pytest.raises(RequestError, match="owner=") as raised:
            await stage.forward(route(kind, attempts))
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert len(stage.channel.sent) == 1
        assert not stage.local.instances

    run(body())


def test_silent_owner_is_passed_over() -> None:
    """An owner is frozen, or a path goes silent.

    Guards against calls that wait for it until their deadline, further calls that are sent to it,
    and more targets than the route allows if it wakes up.
    """

    async def body() -> None:
        stage = Stage()
        near = first_owner(stage)
        stage.channel.replies[near] = [9.0]
        started_s = asyncio.get_running_loop().time()
        assert await stage.forward(route()) == ANSWER
        assert asyncio.get_running_loop().time() - started_s < OBJECTIVE_S
        await asyncio.sleep(0)
        assert stage.channel.cancelled == [near]
        assert stage.granted() == 2
        assert not stage.channel.sent[1][1].counts_usage
        await stage.forward(route())
        assert stage.channel.asked.count(near) == 1
        assert stage.observer.counters["owner_hedges"] == 1

    run(body())


def test_call_of_a_silent_owner_that_is_not_idempotent_runs_once() -> None:
    async def body() -> None:
        stage = Stage()
        stage.channel.replies[first_owner(stage)] = [9.0]
        with pytest.raises(RequestError) as raised:
            await stage.forward(route(CallKind.NON_IDEMPOTENT), left_s=0.3)
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
        assert len(stage.channel.sent) == 1

    run(body())


def test_owner_that_replies_to_a_probe_is_not_silent() -> None:
    """Reward calls run for longer than their objective.

    Guards against a second run of each of them, which doubles the load of the service.
    """

    async def body() -> None:
        stage = Stage()
        stage.channel.answers_probes = True
        stage.channel.replies[first_owner(stage)] = [3 * OBJECTIVE_S]
        assert await stage.forward(route()) == ANSWER
        assert len(stage.channel.sent) == 1
        assert 1 <= stage.channel.probes <= 20

    run(body())


def test_refusal_is_passed_on_with_its_time_to_retry() -> None:
    async def body() -> None:
        stage = Stage(target_count=3)
        stage.channel.replies[stage.owners[0]] = [refusal(ErrorKind.OVERLOADED, 0.2, 0.15)]
        with pytest.raises(RequestError) as raised:
            await stage.forward(route())
        error = raised.value
        assert (error.kind, error.ran, error.retry_after_s) == (
            ErrorKind.OVERLOADED,
            Ran.NO,
            0.15,
        )

    run(body())


def test_refusal_after_a_lost_owner_does_not_say_not_run() -> None:
    """Guards against a caller that repeats a call which the first owner may have run."""

    async def body() -> None:
        stage = Stage()
        near = first_owner(stage)
        for owner in stage.owners:
            stage.channel.replies[owner] = [refusal(ErrorKind.OVERLOADED, 0.2, 0.15)]
        stage.channel.replies[near] = [BROKEN]
        with pytest.raises(RequestError) as raised:
            await stage.forward(route(max_attempts=3))
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)

    run(body())


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "refused", [refusal(ErrorKind.NO_TARGET, math.inf), refusal(ErrorKind.OVERLOADED, 0.2, 0.1)]
)
def test_call_refused_by_one_owner_goes_to_one_that_has_free_slots(
    kind: CallKind, refused: CallReply
) -> None:
    """Guards against refused callers while another owner of the service has free slots."""

    async def body() -> None:
        stage = Stage()
        stage.channel.replies[first_owner(stage)] = [refused]
        assert await stage.forward(route(kind)) == ANSWER
        assert [request.attempts for _, request in stage.channel.sent] == [2, 2]

    run(body())


def test_failure_of_an_owner_that_replied_is_final() -> None:
    """Guards against a call that crashed a target being sent to an owner that doesn't know it."""

    async def body() -> None:
        stage = Stage()
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "target crashed")
        stage.channel.replies[first_owner(stage)] = [CallReply.from_error(error, 0.0)]
        with pytest.raises(RequestError, match=r"owner=.*target crashed"):
            await stage.forward(route(max_attempts=3))
        failed = TargetAnswer(500, (), b"", "")
        stage.channel.replies[first_owner(stage)] = [reply(answer=failed)]
        assert await stage.forward(route(max_attempts=3)) == failed
        assert len(stage.channel.sent) == 2

    run(body())


def test_owner_gets_further_attempts_only_from_the_sender() -> None:
    """Guards against more targets than the route allows when two owners hold the call."""

    async def body() -> None:
        stage = Stage()
        near = first_owner(stage)
        stage.channel.replies[near] = [9.0]
        task = asyncio.ensure_future(stage.forward(route(max_attempts=3)))
        await asyncio.sleep(0.01)
        number = stage.channel.sent[0][1].hop.number
        assert stage.gateway.grant_attempt(number)
        assert stage.gateway.grant_attempt(number)
        assert not stage.gateway.grant_attempt(number)
        assert not stage.gateway.grant_attempt(number + 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        assert stage.channel.cancelled == [near]
        assert not stage.gateway.grant_attempt(number)

    run(body())


@pytest.mark.parametrize("kind", [CallKind.KEYED, CallKind.STREAMING])
def test_other_kinds_of_calls_and_small_fleets_stay_at_their_node(kind: CallKind) -> None:
    async def body() -> None:
        for stage, to in ((Stage(), route(kind)), (Stage(fleet=5), route())):
            assert await stage.forward(to) == ANSWER
            assert not stage.channel.sent

    run(body())


def test_owner_is_given_less_time_than_the_caller_has_left() -> None:
    async def body() -> None:
        stage = Stage()
        await stage.forward(route(), left_s=0.5)
        assert 0.4 < stage.channel.sent[0][1].left_s < 0.5
        with pytest.raises(RequestError) as raised:
            await stage.forward(route(), left_s=0.005)
        assert raised.value.ran is Ran.NO
        assert len(stage.channel.sent) == 1

    run(body())
