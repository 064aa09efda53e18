"""Bench of a node's overhead per request, compared with a bare forwarder and direct requests.

Client, node and target run in one process. The CPU time that a path adds is that of the whole
process for its requests, minus that of the direct path.
"""

import asyncio
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Final, NamedTuple

import aiohttp
from aiohttp import web

from ..standins import StandInEngine, StandInPlainService
from ..trial import DEPLOYMENTS, Fleet, percentile, until_ready
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 15
CALL_COUNT: Final = 600
CONCURRENCY: Final = 4
STREAM_COUNT: Final = 12
TOKENS_PER_STREAM: Final = 400
WARM_UP_CALLS: Final = 50


class _Path(NamedTuple):
    """A path to the targets: the URLs and JSON bodies of calls and streams."""

    name: str
    call_url: str
    call_body: Mapping[str, object]
    stream_url: str
    stream_body: Mapping[str, object]


class _Cost(NamedTuple):
    """Latencies and CPU times of the requests of one path, in seconds."""

    call_s: Sequence[float]
    cpu_s_per_call: float
    cpu_s_per_token: float


async def run(seed: int) -> BenchResult:
    """Measure the three paths one after another."""
    shape = DEPLOYMENTS["los-aromos"]._replace(engine_count=1, plain_count=1)
    fleet = Fleet(shape, 1, seed)
    await fleet.start()
    try:
        fleet.plain[0].call_s = 0.0
        fleet.engines[0].token_s = fleet.engines[0].prefill_s = 0.0
        await until_ready(fleet)
        async with _forwarder(fleet.plain[0], fleet.engines[0]) as forwarder:
            paths = [_node_path(fleet), _direct_path(fleet), _forwarder_path(fleet, forwarder)]
            costs = {path.name: await _measure(path) for path in paths}
    finally:
        await fleet.stop()
    direct = costs["direct"]
    rows = [_row(name, cost, direct) for name, cost in costs.items()]
    note = (
        f"{CALL_COUNT} calls, {CONCURRENCY} at once; "
        f"{STREAM_COUNT} streams of {TOKENS_PER_STREAM} tokens"
    )
    return BenchResult("overhead", seed, rows, note)


def _node_path(fleet: Fleet) -> _Path:
    node = f"http://{fleet.bootstrap[0]}/v1/services"
    shape = fleet.shape
    return _Path(
        "node",
        f"{node}/{shape.plain_service}/{shape.plain_idempotent}",
        {"prompt": "card"},
        f"{node}/{shape.engine_service}/generate",
        {"prompt": "quote", "max_tokens": TOKENS_PER_STREAM, "stream": True},
    )


def _direct_path(fleet: Fleet) -> _Path:
    return _Path(
        "direct",
        f"{fleet.plain[0].url}/v1/call/{fleet.shape.plain_idempotent}",
        {"prompt": "card"},
        f"{fleet.engines[0].url}/v1/generate",
        {"prompt": "quote", "max_tokens": TOKENS_PER_STREAM, "request_id": "direct"},
    )


def _forwarder_path(fleet: Fleet, forwarder_url: str) -> _Path:
    direct = _direct_path(fleet)
    return direct._replace(
        name="bare forwarder",
        call_url=direct.call_url.replace(fleet.plain[0].url, forwarder_url),
        stream_url=direct.stream_url.replace(fleet.engines[0].url, forwarder_url),
    )


@asynccontextmanager
async def _forwarder(plain: StandInPlainService, engine: StandInEngine) -> AsyncIterator[str]:
    """Run a minimal proxy that copies bytes; yield its URL."""
    async with aiohttp.ClientSession() as session:

        async def forward(request: web.Request) -> web.StreamResponse:
            base = engine.url if request.path == "/v1/generate" else plain.url
            body = await request.read()
            headers = {"x-request-id": "forwarder", "Content-Type": "application/json"}
            url = f"{base}{request.path}"
            async with session.post(url, data=body, headers=headers) as answer:
                response = web.StreamResponse(status=answer.status)
                await response.prepare(request)
                async for chunk in answer.content.iter_any():
                    await response.write(chunk)
                return response

        app = web.Application()
        app.router.add_post("/{path:.*}", forward)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
        await runner.cleanup()


async def _measure(path: _Path) -> _Cost:
    async with aiohttp.ClientSession() as session:
        await _call_many(session, path, WARM_UP_CALLS)
        before_s = time.process_time()
        call_s = await _call_many(session, path, CALL_COUNT)
        cpu_s_per_call = (time.process_time() - before_s) / CALL_COUNT
        before_s = time.process_time()
        tokens = 0
        for _number in range(STREAM_COUNT):
            tokens += await _stream(session, path)
        cpu_s_per_token = (time.process_time() - before_s) / tokens
    return _Cost(call_s, cpu_s_per_call, cpu_s_per_token)


async def _call_many(session: aiohttp.ClientSession, path: _Path, count: int) -> Sequence[float]:
    latencies_s: list[float] = []

    async def worker() -> None:
        for _number in range(count // CONCURRENCY):
            started_at_s = time.perf_counter()
            async with session.post(
                path.call_url, json=path.call_body, headers={"x-request-id": "bench"}
            ) as response:
                await response.read()
                response.raise_for_status()
            latencies_s.append(time.perf_counter() - started_at_s)

    await asyncio.gather(*(worker() for _number in range(CONCURRENCY)))
    return latencies_s


async def _stream(session: aiohttp.ClientSession, path: _Path) -> int:
    lines = 0
    async with session.post(path.stream_url, json=path.stream_body) as response:
        response.raise_for_status()
        async for raw in response.content:
            lines += b'"text"' in raw
    return lines


def _row(name: str, cost: _Cost, direct: _Cost) -> BenchRow:
    added_call_s = cost.cpu_s_per_call - direct.cpu_s_per_call
    added_token_s = cost.cpu_s_per_token - direct.cpu_s_per_token
    figures = {
        "ms_p50": 1000.0 * percentile(cost.call_s, 50),
        "ms_p99": 1000.0 * percentile(cost.call_s, 99),
        "cpu_us_per_call": 1e6 * added_call_s,
        "calls_per_core_s": 1.0 / added_call_s if added_call_s > 0.0 else 0.0,
        "cpu_us_per_token": 1e6 * added_token_s,
        "tokens_per_core_s": 1.0 / added_token_s if added_token_s > 0.0 else 0.0,
    }
    return average_runs(name, [figures])
