"""Tests of the crash guard for calls to the configured services."""

import asyncio

import pytest

from samphirecleat.blackboard import Blackboard, Identity, TargetView
from samphirecleat.config import ServiceKind
from samphirecleat.controllers.admission import (
    BoardServiceView,
    registration_state,
    sibling_targets,
)
from samphirecleat.controllers.admission._crash_watch import call_digest, target_start
from samphirecleat.crashes import CrashGuard, CrashLedger, RegistrationState
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.standins import StandInPlainService
from samphirecleat.targets import is_listening

from ...crashes.guards import make_guard
from .dispatcher_setup import PLAIN_SERVICE, make_call, make_setup, run

SERVER = TargetView("a:1", "svc", "z", "i-1", reachable=True)


@pytest.mark.parametrize(
    ("now", "registered"),
    [
        ([SERVER], RegistrationState.READY),
        ([SERVER._replace(reachable=False)], RegistrationState.READY),
        ([SERVER._replace(leaving=True)], RegistrationState.DRAINING),
        ([SERVER._replace(instance="i-2")], RegistrationState.GONE),
        ([], RegistrationState.GONE),
    ],
    ids=["ready", "unreachable", "leaving", "another instance", "not listed"],
)
def test_registration_state_of_a_target_start(
    now: list[TargetView], registered: RegistrationState
) -> None:
    board = Blackboard(Identity("n1", "aa", "z", "", ""))
    board.targets = {view.address: view for view in now}
    assert registration_state(board, target_start(SERVER)) is registered


def test_sibling_targets_are_the_reachable_ones_of_the_service() -> None:
    board = Blackboard(Identity("n1", "aa", "z", "", ""))
    others = [SERVER._replace(address=f"{n}:1", reachable=n < 2) for n in range(3)]
    board.targets = {view.address: view for view in [SERVER, *others]}
    assert [other.address for other in sibling_targets(board, target_start(SERVER))] == [
        "0:1",
        "1:1",
    ]


def test_call_digest_depends_on_neither_request_key_nor_body_order() -> None:
    async def scenario() -> None:
        call = make_call(PLAIN_SERVICE, idempotent=True)
        other = call._replace(request_id="other", body=dict(reversed(list(call.body.items()))))
        assert call_digest(other) == call_digest(call)
        assert call_digest(call._replace(body={"prompt": "another"})) != call_digest(call)

    asyncio.run(scenario())


def make_crash_guard(board: Blackboard) -> CrashGuard:
    return make_guard(
        CrashLedger(),
        is_listening,
        lambda start: registration_state(board, start),
        lambda start: sibling_targets(board, start),
        services=BoardServiceView(board),
    )


def test_a_call_that_crashes_its_targets_is_barred_and_other_calls_run() -> None:
    """Guards against a call that crashes every server of a service.

    Each run of the call ends its plain server, and callers keep sending it again.
    """

    async def scenario() -> None:
        servers = [StandInPlainService(PLAIN_SERVICE, "z", call_s=0.005) for _ in range(6)]
        call = make_call(PLAIN_SERVICE, idempotent=True)
        async with make_setup(servers, ServiceKind.PLAIN) as setup:
            setup.dispatcher._guard = make_crash_guard(setup.board)
            for server in servers:
                server.ends_on.add(str(call.body["prompt"]))
            kinds: list[ErrorKind] = []
            while sum(len(server.ends) for server in servers) < 3:
                outcome = await run(setup, call)
                assert isinstance(outcome, RequestError)
                kinds.append(outcome.kind)
            assert set(kinds) <= {ErrorKind.OUTCOME_UNKNOWN}
            held = await run(setup, call)
            assert isinstance(held, RequestError)
            assert (held.kind, held.ran) == (ErrorKind.CRASH_SUSPECTED, Ran.NO)
            await asyncio.sleep(1.05)
            refused = await run(setup, call)
            assert isinstance(refused, RequestError)
            assert (refused.kind, refused.ran) == (ErrorKind.CRASHES_TARGETS, Ran.UNKNOWN)
            other = call._replace(body={**call.body, "prompt": "another"})
            assert not isinstance(await run(setup, other), RequestError)
            assert sum(len(server.ends) for server in servers) == 3

    asyncio.run(scenario())


def test_a_call_that_crashes_servers_of_a_small_service_leaves_two() -> None:
    """Guards against a service of three that loses all servers to one call and its repetition."""

    async def scenario() -> None:
        servers = [StandInPlainService(PLAIN_SERVICE, "z", call_s=0.005) for _ in range(3)]
        async with make_setup(servers, ServiceKind.PLAIN) as setup:
            setup.dispatcher._guard = make_crash_guard(setup.board)
            now_s = asyncio.get_running_loop().time()
            call = make_call(PLAIN_SERVICE, idempotent=True)._replace(deadline_at_s=now_s + 0.8)
            for server in servers:
                server.ends_on.add(str(call.body["prompt"]))
            first, again = (
                await run(setup, call),
                await run(setup, call._replace(deadline_at_s=now_s + 1.2)),
            )
            assert isinstance(first, RequestError)
            assert isinstance(again, RequestError)
            assert (first.kind, first.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert (again.kind, again.ran) == (ErrorKind.CRASH_SUSPECTED, Ran.NO)
            assert sum(len(server.ends) for server in servers) == 1
            other = call._replace(body={**call.body, "prompt": "another"}, deadline_at_s=now_s + 3)
            assert not isinstance(await run(setup, other), RequestError)

    asyncio.run(scenario())
