"""A node of the users' platform while a target in trouble sends bytes without end."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from ..platform.nodes import Caller, Nodes, config_document, job, running_nodes
from .endless_target import ANSWERS, BODIES, HEADS, STREAMS, EndlessTarget
from .watched import peak_memory_mb

MEMORY_MB = 200
CALLERS = 60
SECONDS = 6.0
# Engines answer calls of the plain service for a check afterwards, so that one target is enough.
PLAIN_PATH = "/plain/1"
STREAM_PATH = "/run/1"

pytestmark = pytest.mark.crowd


@asynccontextmanager
async def node_with_target(
    kind: str, folder: Path, service: str
) -> AsyncIterator[tuple[Nodes, Caller, EndlessTarget]]:
    """Run a node whose only target of ``service`` sends without end."""
    limits = f"[limits]\nmemoryMb = {MEMORY_MB}\nfileDescriptors = 1000"
    target = EndlessTarget(ANSWERS[kind])
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    async with running_nodes(1, folder, tables=limits, config=config_document()) as running:
        nodes, caller, store, targets = running
        headers = {"X-Request-Id": "q0", "X-Deadline-Ms": "5000"}
        await caller.call("POST", PLAIN_PATH, body=b"quote", headers=headers)
        entry = {
            "service": service,
            "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
            "zone": "z",
            "slots": CALLERS,
            "state": "ready",
            "models": [{"name": "m", "version": 1}] if service == "engine" else [],
            "born": 5,
        }
        replaced = targets[0] if service == "engine" else targets[1]
        store.put("keyed.servers", replaced.instance, entry)
        async with server:
            yield nodes, caller, target


async def call_often(nodes: Nodes, path: str, number: int) -> None:
    """Send calls, one after the other, whatever becomes of them."""
    async with aiohttp.ClientSession() as session:
        while True:
            headers = {"Host": "h.example", "X-Request-Id": f"q{number}", "X-Deadline-Ms": "4000"}
            url = f"http://{nodes.hosts[0]}:{nodes.front}{path}"
            try:
                async with session.post(url, data=b"quote", headers=headers) as response:
                    while await response.content.readany():
                        pass
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.02)


async def call_from_many(nodes: Nodes, path: str) -> None:
    """Let all callers call for some seconds."""
    callers = [asyncio.ensure_future(call_often(nodes, path, n)) for n in range(CALLERS)]
    await asyncio.sleep(SECONDS)
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


def meet(
    kind: str, folder: Path, service: str, work: Callable[[Nodes, Caller], Awaitable[None]]
) -> None:
    """Let callers meet the target; the node must live on and answer an ordinary call afterwards."""

    async def body() -> None:
        async with node_with_target(kind, folder, service) as (nodes, caller, target):
            await work(nodes, caller)
            host = nodes.hosts[0]
            assert target.requests > 0
            assert nodes.is_running(host)
            assert peak_memory_mb(nodes.pid(host)) <= MEMORY_MB
            target.answer = None
            headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "5000"}
            await caller.call("POST", PLAIN_PATH, body=b"quote", headers=headers)

    asyncio.run(body())


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
def test_an_answer_without_end_to_calls_fills_no_memory(kind: str, tmp_path: Path) -> None:
    """Guards against a process that ends because it keeps all that one target sends."""
    meet(kind, tmp_path, "plain", lambda nodes, _caller: call_from_many(nodes, PLAIN_PATH))


@pytest.mark.parametrize("kind", ["header_value", "no_length", "refusal", *STREAMS])
def test_an_answer_without_end_to_streams_fills_no_memory(kind: str, tmp_path: Path) -> None:
    """Guards against a limit on the answers to calls only; streams are read in another place."""
    meet(kind, tmp_path, "engine", lambda nodes, _caller: call_from_many(nodes, STREAM_PATH))


@pytest.mark.parametrize("kind", ["header_value", "no_length", "refusal", "failure", *STREAMS])
def test_an_answer_without_end_to_items_and_reports_fills_no_memory(
    kind: str, tmp_path: Path
) -> None:
    """Guards against limits for callers only; items, orders and reports have answers, too."""

    async def submit(_nodes: Nodes, caller: Caller) -> None:
        headers = {"X-Request-Id": "b1"}
        body = job(CALLERS)
        await caller.call("POST", "/jobs/b1", status=202, body=body, headers=headers)
        await asyncio.sleep(SECONDS)

    meet(kind, tmp_path, "engine", submit)
