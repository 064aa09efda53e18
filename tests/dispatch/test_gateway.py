"""Which owner gets a call, and what follows from its reply."""

import asyncio
import math
import random
from collections import defaultdict
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, cast

import pytest

from samphirecleat.blackboard import Identity
from samphirecleat.dispatch import (
    CallGateway,
    CallReply,
    CallRequest,
    GatewayNode,
    HopError,
    Owner,
    OwnershipView,
)
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.observe import Observer
from samphirecleat.serving import Call, CallKind, Forwarder, Route, TargetAnswer, WeightedService

from .fleets import SERVICES, members, targets

ANSWER = TargetAnswer(200, [], b"whole", "sig")
SILENT = None
PLAIN = [WeightedService("plain", 1.0)]
ROUTE = Route("r", "h", "/", CallKind.IDEMPOTENT, PLAIN, 5.0, 0.1, 2)
Reply = CallReply | HopError | None


class Stage:
    """A node, its own forwarder and the scripted owners that it calls; three nodes are owners."""

    def __init__(self, *, own: bool = False, fleet: int = 6) -> None:
        rows = members(fleet)
        self.ownership = OwnershipView("", max_nodes_without_owners=5)
        self.ownership.update(rows, targets(12), SERVICES)
        owners = [owner.node_id for owner in self.ownership.owners("plain")]
        node = next(row for row in rows if (row.node_id in owners) == own)
        near = [o for o in self.ownership.owners("plain") if o.zone == node.zone]
        self.near = near[0].node_id if near else ""
        self.replies: dict[str, list[Reply]] = defaultdict(list)
        self.sent: list[tuple[str, CallRequest]] = []
        self.kept = 0
        self.own_wait_s = 0.0
        identity = Identity(node.node_id, node.incarnation, node.zone, "a:1", "a:1")
        self.gateway = CallGateway(
            cast(Forwarder, self),
            self.ownership,
            self,
            GatewayNode(
                identity,
                lambda _service: self.own_wait_s,
                lambda name, to: 1 if name else to.priority,
            ),
            Observer("n"),
            random.Random(1),
        )

    async def call(
        self, route: Route = ROUTE, left_s: float = 1.0, workspace: str = ""
    ) -> TargetAnswer:
        """Forward a call through the gateway."""
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", "/x", "h", (), b"", now_s, now_s + left_s, workspace)
        return await self.gateway.forward(call, route)

    async def send(self, owner: Owner, request: CallRequest) -> CallReply:
        self.sent.append((owner.node_id, request))
        replies = self.replies[owner.node_id]
        result = replies.pop(0) if replies else CallReply.from_answer(ANSWER, 0.0)
        if result is SILENT:
            await asyncio.sleep(9.0)
        if isinstance(result, HopError):
            raise result
        assert result is not None
        return result

    async def probe(self, _owner: Owner) -> bool:
        return False

    async def forward(self, _call: Call, _route: Route) -> TargetAnswer:
        self.kept += 1
        return ANSWER

    def select_services(self, route: Route) -> Sequence[str]:
        return [part.service for part in route.services]


def run(body: Callable[[Stage], Coroutine[Any, Any, None]], *, own: bool = False) -> None:
    async def limited() -> None:
        async with asyncio.timeout(10.0):
            await body(Stage(own=own))

    asyncio.run(limited())


def refusal(kind: ErrorKind, wait_s: float) -> CallReply:
    error = RequestError(kind, "refused", ran=Ran.NO, retry_after_s=0.15)
    return CallReply.from_error(error, wait_s)


def test_owner_with_the_smallest_wait_gets_the_call() -> None:
    """Guards against calls that queue at a full owner while another one has free slots.

    A known wait is forgotten after a quarter of a second: an owner that nobody calls can't report
    that it has free slots again. Among equal owners the one in the zone of the node is preferred.
    """

    async def body(stage: Stage) -> None:
        stage.replies[stage.near] = [CallReply.from_answer(ANSWER, 0.05)]
        for _ in range(6):
            await stage.call()
        assert [name for name, _ in stage.sent].count(stage.near) == 1
        await asyncio.sleep(0.3)
        await stage.call()
        assert stage.sent[-1][0] == stage.near

    run(body)


def test_owner_serves_its_own_calls_unless_its_queue_is_longer() -> None:
    async def body(stage: Stage) -> None:
        await stage.call()
        assert stage.kept == 1
        stage.own_wait_s = math.inf
        await stage.call()
        assert (stage.kept, len(stage.sent)) == (1, 1)

    run(body, own=True)


def test_refusal_is_passed_on_with_its_time_to_retry() -> None:
    async def body(stage: Stage) -> None:
        for owner in stage.ownership.owners("plain"):
            stage.replies[owner.node_id] = [refusal(ErrorKind.OVERLOADED, 0.2)]
        with pytest.raises(RequestError) as raised:
            await stage.call()
        error = raised.value
        assert (error.kind, error.ran, error.retry_after_s) == (ErrorKind.OVERLOADED, Ran.NO, 0.15)
        assert not stage.kept

    run(body)


def test_refusal_after_a_lost_owner_does_not_say_not_run() -> None:
    """Guards against a caller that repeats a call which the first owner may have run."""

    async def body(stage: Stage) -> None:
        for owner in stage.ownership.owners("plain"):
            stage.replies[owner.node_id] = [refusal(ErrorKind.OVERLOADED, 0.2)]
        stage.replies[stage.near] = [HopError("broken", "reset", sent=True)]
        with pytest.raises(RequestError) as raised:
            await stage.call()
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        assert [request.attempts for _, request in stage.sent][:2] == [2, 1]

    run(body)


@pytest.mark.parametrize("kind", [CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT])
@pytest.mark.parametrize(
    "refused", [refusal(ErrorKind.NO_TARGET, math.inf), refusal(ErrorKind.OVERLOADED, 0.2)]
)
def test_call_refused_by_one_owner_goes_to_one_that_has_free_slots(
    kind: CallKind, refused: CallReply
) -> None:
    """Guards against refused callers while another owner has free slots, and a lost attempt."""

    async def body(stage: Stage) -> None:
        stage.replies[stage.near] = [refused]
        assert await stage.call(ROUTE._replace(kind=kind)) == ANSWER
        assert [request.attempts for _, request in stage.sent] == [2, 2]

    run(body)


def test_failure_of_an_owner_that_replied_is_final() -> None:
    """Guards against a call that crashed a target being sent to an owner that doesn't know it."""

    async def body(stage: Stage) -> None:
        error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "target crashed")
        stage.replies[stage.near] = [CallReply.from_error(error, 0.0)]
        with pytest.raises(RequestError, match=r"owner=.*target crashed"):
            await stage.call(ROUTE._replace(max_attempts=3))
        assert len(stage.sent) == 1

    run(body)


def test_all_owners_together_get_the_attempts_of_the_route() -> None:
    """Guards against more runs than the route allows while a silent owner holds the call.

    The silent one counts the call for its workspace when it wakes, and no other owner may.
    """

    async def body(stage: Stage) -> None:
        for owner in stage.ownership.owners("plain"):
            stage.replies[owner.node_id] = [SILENT]
        task = asyncio.ensure_future(stage.call(ROUTE._replace(max_attempts=3)))
        await asyncio.sleep(0.08)
        assert [request.granted_attempts for _, request in stage.sent] == [1, 1]
        assert [request.counts_usage for _, request in stage.sent] == [True, False]
        number = stage.sent[0][1].hop.number
        assert stage.gateway.grant_attempt(number)
        assert not stage.gateway.grant_attempt(number + 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert not stage.gateway.grant_attempt(number)

    run(body)


def test_other_kinds_of_calls_and_small_fleets_stay_at_their_node() -> None:
    async def body(stage: Stage) -> None:
        for kind in (CallKind.KEYED, CallKind.STREAMING):
            await stage.call(ROUTE._replace(kind=kind))
        small = Stage(fleet=5)
        await small.call()
        assert (stage.kept, len(stage.sent), small.kept, len(small.sent)) == (2, 0, 1, 0)

    run(body)


def test_request_has_what_an_older_configuration_lacks() -> None:
    """Guards against an owner that ranks a call by its own configuration, or gives it more time."""

    async def body(stage: Stage) -> None:
        await stage.call(ROUTE._replace(priority=7), left_s=0.5)
        await stage.call(ROUTE._replace(priority=7), workspace="w")
        assert [request.priority for _, request in stage.sent] == [7, 1]
        assert 0.4 < stage.sent[0][1].left_s < 0.5
        with pytest.raises(RequestError) as raised:
            await stage.call(left_s=0.005)
        assert (raised.value.ran, len(stage.sent)) == (Ran.NO, 2)

    run(body)
