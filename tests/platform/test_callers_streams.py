"""Streams and slow callers at a real node process, over loopback."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from .nodes import Nodes, running_nodes

EVENTS = 8


async def read_stream(nodes: Nodes, path: str) -> tuple[bytes, bool]:
    """Return what came of a stream, and whether it ended as whole."""
    url = f"http://{nodes.hosts[0]}:{nodes.front}{path}"
    headers = {"Host": "h.example", "X-Request-Id": "q1", "X-Deadline-Ms": "4000"}
    seen = b""
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(url, headers=headers, data=b"p") as response:
                assert response.status == 200
                assert response.headers["X-Server-Stamp"] == "e-1.q1"
                async for chunk in response.content.iter_any():
                    seen += chunk
        except aiohttp.ClientError:
            return seen, False
    return seen, True


def event_text(first: int, last: int) -> bytes:
    events = [f"id: {n}\ndata: {n}.{EVENTS}\n\n" for n in range(first, last + 1)]
    return "".join(events).encode()


@pytest.mark.parametrize(
    ("path", "answers", "last_event", "whole"),
    [
        ("/run/1", [], EVENTS, True),
        ("/run/1", ["cut"], EVENTS, True),
        ("/run/1", ["refused", "reset"], EVENTS, True),
        ("/run/once/1", [], EVENTS, True),
        ("/run/once/1", ["cut"], EVENTS // 2, False),
    ],
    ids=["no fault", "broken within an event", "not begun", "once", "once and broken"],
)
def test_a_callers_stream(
    path: str, answers: list[str | int], last_event: int, whole: bool, tmp_path: Path
) -> None:
    """An engine crashes in the middle of an event.

    Where the route allows it the caller gets the rest from another run. Where not, its
    connection breaks off behind the last whole event; ended properly, half a draft would
    look like a whole one.
    """

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            targets[0].answers = list(answers)
            assert await read_stream(nodes, path) == (event_text(1, last_event), whole), (
                nodes.logs()
            )

    asyncio.run(body())


def test_events_are_passed_on_as_they_are_made(tmp_path: Path) -> None:
    """A caller leaves a stream whose first event is late, although its engine was in time."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            targets[0].pause_after = 2
            url = f"http://{nodes.hosts[0]}:{nodes.front}/run/1"
            headers = {"Host": "h.example", "X-Request-Id": "q1"}
            async with aiohttp.ClientSession() as session, session.post(url, headers=headers) as r:
                async with asyncio.timeout(10.0):
                    assert await r.content.readexactly(len(event_text(1, 2))) == event_text(1, 2)
                targets[0].resume.set()
                assert await r.content.read() == event_text(3, EVENTS)

    asyncio.run(body())


def test_an_engine_stops_when_the_caller_has_left(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            targets[0].pause_after = 1
            url = f"http://{nodes.hosts[0]}:{nodes.front}/run/1"
            headers = {"Host": "h.example", "X-Request-Id": "q1"}
            async with aiohttp.ClientSession() as session, session.post(url, headers=headers) as r:
                await r.content.readexactly(len(event_text(1, 1)))
                r.close()
            async with asyncio.timeout(10.0):
                await targets[0].disconnected.wait()

    asyncio.run(body())


def test_a_caller_that_never_ends_its_head_is_told_so_and_cut_off(tmp_path: Path) -> None:
    """A caller sends a byte of its head now and then, and holds its connection for good.

    Enough of them take all descriptors of a node, which then serves nobody.
    """

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, _targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            reader, writer = await asyncio.open_connection(nodes.hosts[0], nodes.front)
            sending = asyncio.ensure_future(drip(writer))
            try:
                async with asyncio.timeout(10.0):
                    answer = await reader.read()
            finally:
                sending.cancel()
                writer.close()
            assert answer.startswith(b"HTTP/1.1 408 ")
            await caller.call("GET", "/plain/1", headers={"X-Request-Id": "q2"})

    asyncio.run(body())


async def drip(writer: asyncio.StreamWriter) -> None:
    """Send a head that never ends, a byte at a time."""
    writer.write(b"GET /plain/1 HTTP/1.1\r\nHost: h.example\r\nX-Odd: ")
    while not writer.is_closing():
        writer.write(b"a")
        await asyncio.sleep(0.05)
