"""Which response answers a request: a faulty target answers an earlier request once more, late."""

import asyncio

import pytest

from samphirecleat.durable import Order, OrderOutcome
from samphirecleat.errors import Ran
from samphirecleat.platform._engine_orders import EngineOrders

from ..fleets import until
from .scripted_target import (
    ANSWERED,
    REFUSED,
    Sender,
    exchange,
    fetch_report,
    run_item,
    scripted_target,
    send_order,
    stream,
)

REPLACED = (
    b"HTTP/1.1 421 Other\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
IMPOSSIBLE = b"HTTP/1.1 422 No\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
FOREIGN = [REFUSED, REPLACED, ANSWERED, IMPOSSIBLE]


@pytest.mark.parametrize("send", [exchange, stream, run_item, send_order, fetch_report])
@pytest.mark.parametrize("foreign", FOREIGN)
def test_a_late_response_to_another_request_says_nothing_about_this_one(
    foreign: bytes, send: Sender
) -> None:
    """Guards against a request that runs twice, or is answered "not run" and has run.

    The target takes the request and runs it; what arrives first is its response to an earlier one.
    """

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            assert await exchange(sessions, target, "q1") is Ran.YES
            scripted.scripts = [foreign.replace(b"%s", b"q1") + ANSWERED]
            assert await send(sessions, target, "q2") is Ran.UNKNOWN
            # An order has a connection of its own, and that of the call stays.
            kept = 1 if send is send_order else 0
            await until(lambda: scripted.open_connections == kept)
            assert scripted.connections == 1 + kept
            assert await exchange(sessions, target, "q3") is Ran.YES
            assert scripted.connections == 2

    asyncio.run(body())


@pytest.mark.parametrize("late", [REFUSED.replace(b"%s", b"q1"), b"HTTP/1.1 5", b"garbage\r\n"])
def test_a_connection_with_bytes_behind_its_response_is_not_used_again(late: bytes) -> None:
    """Guards against a call that is lost although its connection was known to be out of step."""

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            scripted.late = late
            assert await exchange(sessions, target, "q1") is Ran.YES
            # Well before the connection would be closed for being idle.
            await until(lambda: scripted.open_connections == 0, timeout_s=1.0)
            scripted.late = b""
            assert await exchange(sessions, target, "q2") is Ran.YES
            assert (scripted.connections, scripted.requests) == (2, [b"q1", b"q2"])

    asyncio.run(body())


@pytest.mark.parametrize("send", [exchange, stream, run_item])
@pytest.mark.parametrize("refusal", [REFUSED, REPLACED])
def test_a_refusal_of_the_request_itself_still_counts_as_not_run(
    refusal: bytes, send: Sender
) -> None:
    """Guards against a 502 for a call that another target would have served."""

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            scripted.scripts = [refusal, refusal]
            assert await send(sessions, target, "q1") is Ran.NO
            assert await send(sessions, target, "q2") is Ran.NO
            assert scripted.connections == 1

    asyncio.run(body())


@pytest.mark.parametrize("send", [exchange, stream, run_item])
def test_a_refused_request_is_sent_again_on_a_new_connection(send: Sender) -> None:
    """Guards against a late second refusal that bears the id of the request sent again."""

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            scripted.scripts = [REFUSED]
            assert await send(sessions, target, "q1") is Ran.NO
            await send(sessions, target, "q1")
            assert scripted.connections == 2
            await exchange(sessions, target, "q2")
            assert scripted.connections == 2

    asyncio.run(body())


def test_a_late_report_is_not_taken_for_the_answer_to_an_order() -> None:
    """Guards against an order that counts as carried out and was not; neither has an id."""

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            report = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            accepted = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
            scripted.scripts = [report, accepted, report]
            orders = EngineOrders(sessions)
            await orders.report(target)
            order = Order("m", 2, "h", 1, 0, True)
            assert await orders.order(target, order, 1.0) is OrderOutcome.ACCEPTED
            await orders.report(target)
            assert scripted.connections == 2

    asyncio.run(body())


@pytest.mark.parametrize("status", [b"500 Failed", b"503 Busy"])
def test_a_failure_that_makes_no_promise_keeps_its_connection_for_the_next_sending(
    status: bytes,
) -> None:
    """Guards against new connections that delay targets and protect nothing."""

    async def body() -> None:
        async with scripted_target() as (scripted, target, sessions):
            head = b"HTTP/1.1 %s\r\nX-Request-Id: q1\r\nContent-Length: 0\r\n\r\n"
            scripted.scripts = [head.replace(b"%s", status)]
            await exchange(sessions, target, "q1")
            assert await exchange(sessions, target, "q1") is Ran.YES
            assert scripted.connections == 1

    asyncio.run(body())
