"""Streams and slow callers at a node process, over loopback."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from .nodes import Nodes, running_nodes

EVENTS = 8


async def read_stream(nodes: Nodes, path: str) -> tuple[bytes, bool]:
    """Return the received part of a stream, and whether it ended properly."""
    url = f"http://{nodes.hosts[0]}:{nodes.front}{path}"
    headers = {"Host": "h.example", "X-Request-Id": "q1", "X-Deadline-Ms": "4000"}
    received = b""
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(url, headers=headers, data=b"p") as response:
                assert response.status == 200
                assert response.headers["X-Server-Stamp"] == "e-1.q1"
                async for chunk in response.content.iter_any():
                    received += chunk
        except aiohttp.ClientError:
            return received, False
    return received, True


def event_text(first: int, last: int) -> bytes:
    events = [f"id: {n}\ndata: {n}.{EVENTS}\n\n" for n in range(first, last + 1)]
    return "".join(events).encode()


@pytest.mark.parametrize(
    ("path", "answers", "last_event", "complete"),
    [
        ("/run/1", [], EVENTS, True),
        ("/run/1", ["cut"], EVENTS, True),
        ("/run/1", ["refused", "reset"], EVENTS, True),
        ("/run/once/1", [], EVENTS, True),
        ("/run/once/1", ["cut"], EVENTS // 2, False),
    ],
    ids=["no fault", "broken within an event", "not begun", "once", "once and broken"],
)
def test_stream_is_resumed_or_aborted(
    path: str, answers: list[str | int], last_event: int, complete: bool, tmp_path: Path
) -> None:
    """An engine crashes in the middle of an event.

    If the route is resumable, the caller gets the rest from another engine. Otherwise its
    connection is aborted after the last complete event: if it ended properly, half of a result
    would look complete.
    """

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            targets[0].answers = list(answers)
            assert await read_stream(nodes, path) == (event_text(1, last_event), complete), (
                nodes.logs()
            )

    asyncio.run(body())


def test_events_are_relayed_without_buffering(tmp_path: Path) -> None:
    """Guards against buffered events: callers abandon a stream whose first event is late."""

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


def test_engine_stops_when_caller_disconnects(tmp_path: Path) -> None:
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


def test_endless_headers_get_408_and_connection_is_closed(tmp_path: Path) -> None:
    """A caller sends its headers byte by byte and holds its connection forever.

    Enough such callers use up the file descriptors of a node, which then serves no one.
    """

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, _targets):
            await caller.call("GET", "/v1/readiness", port=nodes.ready)
            reader, writer = await asyncio.open_connection(nodes.hosts[0], nodes.front)
            sending = asyncio.ensure_future(send_endless_headers(writer))
            try:
                async with asyncio.timeout(10.0):
                    answer = await reader.read()
            finally:
                sending.cancel()
                writer.close()
            assert answer.startswith(b"HTTP/1.1 408 ")
            await caller.call("GET", "/plain/1", headers={"X-Request-Id": "q2"})

    asyncio.run(body())


async def send_endless_headers(writer: asyncio.StreamWriter) -> None:
    """Send request headers that never end, one byte at a time."""
    writer.write(b"GET /plain/1 HTTP/1.1\r\nHost: h.example\r\nX-Odd: ")
    while not writer.is_closing():
        writer.write(b"a")
        await asyncio.sleep(0.05)
