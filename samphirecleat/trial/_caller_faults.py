"""Faults of callers and strangers: clients that leave or read slowly, bad input."""

import asyncio
import json
import socket
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import RequestError
from ._stage import Stage

LEAVING_CLIENTS: Final = 10
SLOW_READERS: Final = 3
GARBAGE: Final = bytes(range(256)) * 8
OVERSIZED_BYTES: Final = 2_000_000


class BadRequest(NamedTuple):
    """A request that a node must refuse with a clear kind."""

    path: str
    body: bytes
    headers: Mapping[str, str] = {}


BAD_REQUESTS: Final = (
    BadRequest("/v1/services/{service}/generate", b"{not json"),
    BadRequest("/v1/services/{service}/generate", b"[1, 2]"),
    BadRequest("/v1/services/{service}/generate", b'"' + b"x" * OVERSIZED_BYTES + b'"'),
    BadRequest("/v1/services/{service}/generate", b"{}", {"x-deadline-ms": "-5"}),
    BadRequest("/v1/services/{service}/generate", b"{}", {"x-deadline-ms": "soon"}),
    BadRequest("/v1/services/{service}/generate", b"{}", {"x-priority": "99"}),
    BadRequest("/v1/services/{service}/generate", b"{}", {"x-request-key": "mine"}),
    BadRequest("/v1/services/{service}/generate", b"{}", {"x-request-key": "n1.abc.0.other"}),
    BadRequest("/v1/services/nowhere/generate", b"{}"),
    BadRequest("/v1/trainers/trainer-9/steps/s", b'{"service": 3}'),
    BadRequest("/v1/trainers/trainer-9/steps/s/pull", b'{"pull": "x"}'),
)


async def leave_midway(stage: Stage) -> None:
    """Callers go away midway, and others read a streamed answer very slowly."""
    async with aiohttp.ClientSession() as session:
        client = stage.workload.new_client(session)
        shape = stage.fleet.shape
        methods = [
            (shape.engine_service, "generate", True),
            (shape.plain_service, shape.plain_once, False),
        ]
        calls = []
        for number in range(LEAVING_CLIENTS):
            service, method, idempotent = stage.rng.choice(methods)
            prompt = f"{stage.name} {stage.rng.random()} {number}"
            body = {"prompt": prompt, "max_tokens": 50}
            calls.append(
                asyncio.create_task(client.call(service, method, body, idempotent=idempotent))
            )
        readers = [asyncio.create_task(_read_slowly(stage, n)) for n in range(SLOW_READERS)]
        await asyncio.sleep(stage.rng.uniform(0.005, 0.15))
        for call in calls:
            call.cancel()
        ends = await asyncio.gather(*calls, return_exceptions=True)
        gone = sum(isinstance(end, asyncio.CancelledError) for end in ends)
        stage.note(f"{gone} callers went away, {SLOW_READERS} read slowly")
        await asyncio.gather(*readers)


async def _read_slowly(stage: Stage, number: int) -> None:
    """Read a streamed answer a few bytes at a time, and give up before its end."""
    address = stage.rng.choice(list(stage.fleet.bootstrap))
    host, port = address.rsplit(":", 1)
    prompt = f"{stage.name} slow {stage.rng.random()} {number}"
    body = json.dumps({"prompt": prompt, "max_tokens": 400, "stream": True}).encode()
    path = f"/v1/services/{stage.fleet.shape.engine_service}/generate"
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=256)
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {address}\r\n".encode())
        writer.write(f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        for _read in range(10):
            await asyncio.wait_for(reader.read(64), 1.0)
            await asyncio.sleep(0.1)
        writer.transport.abort()
    except (OSError, TimeoutError):
        return


async def send_bad_input(stage: Stage) -> None:
    """Malformed and oversized requests, garbage on every port, datagrams without the key."""
    node = stage.rng.choice(stage.fleet.nodes)
    host, port = node.settings.peer_address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.setblocking(False)
        for size in (0, 1, 16, len(GARBAGE)):
            udp.sendto(GARBAGE[:size], (host, int(port)))
    for address in (node.settings.http_address, node.settings.peer_address):
        await _send_garbage(address)
    kinds: list[Any] = []
    async with aiohttp.ClientSession() as session:
        for bad in BAD_REQUESTS:
            kinds.append(await _send_bad(stage, session, node.settings.http_address, bad))
    stage.note(f"bad input to {node.settings.node_id}, answered {kinds}")


async def _send_garbage(address: str) -> None:
    host, port = address.rsplit(":", 1)
    try:
        _reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(GARBAGE)
        await asyncio.sleep(0.05)
        writer.transport.abort()
    except OSError:
        return


async def _send_bad(
    stage: Stage, session: aiohttp.ClientSession, address: str, bad: BadRequest
) -> str:
    path = bad.path.format(service=stage.fleet.shape.engine_service)
    timeout = aiohttp.ClientTimeout(total=3.0)
    try:
        async with session.post(
            f"http://{address}{path}", data=bad.body, headers=bad.headers, timeout=timeout
        ) as response:
            answer = await response.json()
            return RequestError.from_body(answer["error"]).kind.value
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        return f"({type(error).__name__})"
