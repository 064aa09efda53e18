"""Client faults: disconnects, slow readers and invalid input."""

import asyncio
import json
import socket
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import RequestError
from ._fault_context import FaultContext

DISCONNECTING_CLIENTS: Final = 10
SLOW_READERS: Final = 3
GARBAGE: Final = bytes(range(256)) * 8
OVERSIZED_BYTES: Final = 2_000_000


class BadRequest(NamedTuple):
    """A request that a node must reject with a specific error kind."""

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


async def disconnect_clients(context: FaultContext) -> None:
    """Callers disconnect during calls, and others read a streamed response very slowly."""
    async with aiohttp.ClientSession() as session:
        client = context.workload.new_client(session)
        shape = context.fleet.shape
        methods = [
            (shape.engine_service, "generate", True),
            (shape.plain_service, shape.plain_once, False),
        ]
        calls = []
        for number in range(DISCONNECTING_CLIENTS):
            service, method, idempotent = context.rng.choice(methods)
            prompt = f"{context.name} {context.rng.random()} {number}"
            body = {"prompt": prompt, "max_tokens": 50}
            calls.append(
                asyncio.create_task(client.call(service, method, body, idempotent=idempotent))
            )
        readers = [asyncio.create_task(_read_slowly(context, n)) for n in range(SLOW_READERS)]
        await asyncio.sleep(context.rng.uniform(0.005, 0.15))
        for call in calls:
            call.cancel()
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        disconnected = sum(isinstance(outcome, asyncio.CancelledError) for outcome in outcomes)
        context.record(f"{disconnected} callers disconnected, {SLOW_READERS} read slowly")
        await asyncio.gather(*readers)


async def _read_slowly(context: FaultContext, number: int) -> None:
    """Read a streamed response a few bytes at a time and disconnect before it ends."""
    address = context.rng.choice(list(context.fleet.bootstrap))
    host, port = address.rsplit(":", 1)
    prompt = f"{context.name} slow {context.rng.random()} {number}"
    body = json.dumps({"prompt": prompt, "max_tokens": 400, "stream": True}).encode()
    path = f"/v1/services/{context.fleet.shape.engine_service}/generate"
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


async def send_bad_input(context: FaultContext) -> None:
    """Malformed and oversized requests, random bytes on every port, unauthenticated datagrams."""
    node = context.rng.choice(context.fleet.nodes)
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
            kinds.append(await _send_bad_request(context, session, node.settings.http_address, bad))
    context.record(f"sent bad input to {node.settings.node_id}, responses: {kinds}")


async def _send_garbage(address: str) -> None:
    host, port = address.rsplit(":", 1)
    try:
        _reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(GARBAGE)
        await asyncio.sleep(0.05)
        writer.transport.abort()
    except OSError:
        return


async def _send_bad_request(
    context: FaultContext, session: aiohttp.ClientSession, address: str, bad: BadRequest
) -> str:
    path = bad.path.format(service=context.fleet.shape.engine_service)
    timeout = aiohttp.ClientTimeout(total=3.0)
    try:
        async with session.post(
            f"http://{address}{path}", data=bad.body, headers=bad.headers, timeout=timeout
        ) as response:
            answer = await response.json()
            return RequestError.from_body(answer["error"]).kind.value
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        return f"({type(error).__name__})"
