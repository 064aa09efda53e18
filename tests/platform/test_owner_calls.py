"""Calls that nodes send to the owners of their targets, while owners and paths fail."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web

from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.serving import CallKind

from ..fleets import until
from .owner_nodes import OBJECTIVE_S, OwnerFleet, owner_fleet

KINDS = (CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT)


def run(body: Callable[[OwnerFleet], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(10.0), owner_fleet() as fleet:
            await body(fleet)

    asyncio.run(limited())


def test_owners_run_and_count_the_calls_of_all_nodes_on_kept_connections() -> None:
    """Guards against calls that stay at nodes without a view of the service."""

    async def body(fleet: OwnerFleet) -> None:
        for number in range(20):
            answer = await fleet.others[number % 2].forward(f"r{number}")
            assert (answer.status, answer.body, answer.signature) == (200, b"answer", "s")
        assert sum(owner.observer.counters["owner_calls_received"] for owner in fleet.owners) == 20
        assert sum(node.observer.counters["owner_connections_made"] for node in fleet.others) <= 4
        assert sum(len(owner.metered) for owner in fleet.owners) == fleet.metered() == 20

    run(body)


def test_idempotent_call_of_a_killed_owner_runs_once_more() -> None:
    async def body(fleet: OwnerFleet) -> None:
        task = await fleet.hold_call(1.0, CallKind.IDEMPOTENT)
        await fleet.owners[0].path.stop()
        assert (await task).status == 200
        assert fleet.runs("held") == 2
        assert fleet.owners[1].observer.counters["owner_calls_received"] == 1

    run(body)


def test_call_of_a_killed_owner_that_is_not_idempotent_runs_once() -> None:
    """Guards against a second run, and against an answer that lets the caller retry."""

    async def body(fleet: OwnerFleet) -> None:
        task = await fleet.hold_call(1.0, CallKind.NON_IDEMPOTENT)
        await fleet.owners[0].path.stop()
        with pytest.raises(RequestError, match=f"owner={fleet.owners[0].node_id}") as raised:
            await task
        assert (raised.value.kind, raised.value.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
        await asyncio.sleep(0.1)
        assert fleet.runs("held") == 1

    run(body)


@pytest.mark.parametrize("fault", ["gone", "older build"])
def test_calls_run_without_owners_that_take_them(fault: str) -> None:
    """Guards against failed calls while targets are well and only their owners are not.

    A node of a build without the endpoint is not asked again for each call.
    """

    async def body(fleet: OwnerFleet) -> None:
        async def not_found(_request: web.BaseRequest) -> web.StreamResponse:
            requests.append(1)
            return web.Response(status=404)

        requests: list[int] = []
        for owner in fleet.owners:
            if fault == "gone":
                await owner.path.stop()
            owner.server.request_handler = not_found
        for number, kind in enumerate(KINDS * 3):
            assert (await fleet.sender.forward(f"r{number}", kind)).status == 200
            assert fleet.runs(f"r{number}") == 1
        assert len(requests) == (0 if fault == "gone" else 2)

    run(body)


@pytest.mark.parametrize("wakes_after_s", [0.5, 0.0], ids=["frozen and woken", "silent path"])
def test_idempotent_call_of_a_silent_owner_runs_at_another(wakes_after_s: float) -> None:
    """Guards against late answers, and against more runs than the route allows once it wakes."""

    async def body(fleet: OwnerFleet) -> None:
        silent = fleet.owners[0]
        fleet.prefer(silent)
        await fleet.sender.forward("before")
        fleet.prefer(silent)
        silent.path.freeze()
        started_s = time.monotonic()
        assert (await fleet.sender.forward("late")).status == 200
        assert time.monotonic() - started_s < OBJECTIVE_S
        await fleet.sender.forward("next")
        assert fleet.sender.observer.counters["owner_hedges"] == 1
        if wakes_after_s:
            await asyncio.sleep(wakes_after_s)
            silent.path.thaw()
            await asyncio.sleep(0.2)
        assert fleet.runs("late") <= 2

    run(body)


def test_woken_owner_gives_its_target_only_the_time_that_is_left() -> None:
    """A call that is not idempotent waits for its frozen owner, which wakes before the deadline."""

    async def body(fleet: OwnerFleet) -> None:
        fleet.prefer(fleet.owners[0])
        await fleet.sender.forward("before")
        fleet.owners[0].path.freeze()
        started_s = time.monotonic()
        late = fleet.sender.forward("late", CallKind.NON_IDEMPOTENT, left_s=1.0)
        task = asyncio.ensure_future(late)
        await asyncio.sleep(0.5)
        fleet.owners[0].path.thaw()
        assert (await task).status == 200
        assert fleet.runs("late") == 1
        latest_end_s = max(target.latest_end_s.get("late", 0.0) for target in fleet.targets)
        assert latest_end_s <= started_s + 1.0

    run(body)


def test_owner_of_a_slow_call_is_not_taken_for_silent() -> None:
    """Reward calls run for longer than their objective.

    Guards against owners that are avoided, and a second run of each call, while they are well.
    """

    async def body(fleet: OwnerFleet) -> None:
        task = await fleet.hold_call(2 * OBJECTIVE_S, CallKind.NON_IDEMPOTENT)
        assert (await task).status == 200
        assert fleet.sender.observer.counters["owner_hop_failed_silent"] == 0

    run(body)


def test_owner_asks_for_its_second_attempt() -> None:
    """Guards against owners that fail a call after its first target reset the connection."""

    async def body(fleet: OwnerFleet) -> None:
        for target in fleet.targets:
            target.reset_next = 1
        with pytest.raises(RequestError, match="owner="):
            await fleet.sender.forward("twice")
        assert fleet.runs("twice") == 2
        assert fleet.metered() == 1

    run(body)


def test_caller_that_leaves_ends_the_run_at_the_target() -> None:
    """Guards against targets that run calls for nobody: a surge would fill them with these."""

    async def body(fleet: OwnerFleet) -> None:
        task = await fleet.hold_call(3.0, CallKind.IDEMPOTENT)
        left_at_s = time.monotonic()
        task.cancel()
        await until(lambda: any(target.cancelled_at_s for target in fleet.targets))
        assert time.monotonic() - left_at_s < 0.5
        await until(lambda: not fleet.owners[0].endpoint.in_flight)
        assert fleet.metered() == 1

    run(body)


def test_leaving_owner_serves_what_it_has_and_gets_no_more() -> None:
    async def body(fleet: OwnerFleet) -> None:
        task = await fleet.hold_call(0.3, CallKind.NON_IDEMPOTENT)
        fleet.update(leaving=fleet.owners[0])
        for number in range(10):
            assert (await fleet.sender.forward(f"r{number}")).status == 200
        assert (await task).status == 200
        assert fleet.owners[0].observer.counters["owner_calls_received"] == 1

    run(body)


def test_malformed_requests_of_nodes_are_refused() -> None:
    async def body(fleet: OwnerFleet) -> None:
        url = f"http://{fleet.owners[0].path.address}"
        async with aiohttp.ClientSession() as session:
            for path, status in (("/calls", 400), ("/attempts", 409), ("/other", 404)):
                async with session.post(url + path, data=b"\xc1") as response:
                    assert response.status == status

    run(body)
