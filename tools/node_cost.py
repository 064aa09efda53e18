"""Measures the memory and the CPU time per kind of work of one node process.

Run as ``python -m tools.node_cost``. Two node daemons run as processes of their own;
the stand-ins and the load run in this process. CPU time is read from /proc before
and after each phase, minus the CPU time of an idle node.
"""

import asyncio
import json
import os
import secrets
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import aiohttp
import uvloop
from tabulate import tabulate

from samphirecleat.bench._fit import fit_line
from samphirecleat.client import StepRequest, TrainerClient
from samphirecleat.trial import Fleet, free_port
from samphirecleat.trial._deployments import DEPLOYMENTS

TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
IDLE_S: Final = 8.0
REQUEST_COUNT: Final = 400
MAX_CONCURRENT_REQUESTS: Final = 8
TOKENS_PER_REQUEST: Final = 8
TOKENS_PER_STREAM: Final = 200
STREAM_COUNT: Final = 40
READY_TIMEOUT_S: Final = 20.0
SETTLE_S: Final = 3.0
WATCH_PERIODS_S: Final = (0.5, 0.2, 0.1)


class Daemon(NamedTuple):
    """A node daemon running as a subprocess."""

    process: asyncio.subprocess.Process
    http_address: str

    def cpu_s(self) -> float:
        """Return the CPU time used by the process so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(") ", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self, name: str) -> float:
        """Return a field of /proc/PID/status in MB, 0.0 if it is missing."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) / 1024.0
        return 0.0


class Meter:
    """Measures the CPU time of phases, minus the idle CPU time of the node."""

    def __init__(self, daemon: Daemon) -> None:
        """Create a meter of one daemon."""
        self._daemon = daemon
        self.idle_share = 0.0
        self.rows: list[tuple[str, float, str]] = []

    async def idle(self) -> None:
        """Measure the idle node for ``IDLE_S``; later phases subtract its CPU time."""
        cpu_s, started_at_s = self._daemon.cpu_s(), time.monotonic()
        await asyncio.sleep(IDLE_S)
        self.idle_share = (self._daemon.cpu_s() - cpu_s) / (time.monotonic() - started_at_s)
        self.rows.append(("idle, share of a core in %", self.idle_share * 100.0, ""))

    async def phase(self, name: str, units: int, work: Awaitable[object]) -> None:
        """Measure the CPU time of ``work`` in ms per unit."""
        cpu_s, started_at_s = self._daemon.cpu_s(), time.monotonic()
        await work
        took_s = time.monotonic() - started_at_s
        used_s = self._daemon.cpu_s() - cpu_s - self.idle_share * took_s
        self.rows.append((name, used_s / units * 1000.0, f"{units} in {took_s:.1f} s"))

    def memory(self, name: str) -> None:
        """Record the current memory use of the node."""
        anonymous = self._daemon.memory_mb("RssAnon")
        self.rows.append(
            (name, self._daemon.memory_mb("VmRSS"), f"of it its own: {anonymous:.1f} MB")
        )


async def _main() -> None:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], 0, 1)
    await fleet.start()
    with tempfile.TemporaryDirectory() as directory:
        daemons = [await _start_daemon(fleet, directory, f"n{number}") for number in (1, 2)]
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            try:
                await _wait_until_ready(session, daemons)
                rows = await _measure(session, daemons)
            finally:
                for daemon in daemons:
                    daemon.process.kill()
                    await daemon.process.wait()
    rows.extend(await _measure_polls(fleet))
    await fleet.stop()
    print(tabulate(rows, headers=["one node process", "value", ""], floatfmt=".3g"))


async def _measure_polls(fleet: Fleet) -> list[Any]:
    """Return the CPU time per poll of a target, from a line fitted over poll rates."""
    points = []
    for watch_s in WATCH_PERIODS_S:
        with tempfile.TemporaryDirectory() as directory:
            daemon = await _start_daemon(fleet, directory, "n9", watch_s)
            async with aiohttp.ClientSession() as session:
                await _wait_until_ready(session, [daemon])
            await asyncio.sleep(SETTLE_S)
            meter = Meter(daemon)
            await meter.idle()
            points.append((len(fleet.targets) / watch_s, meter.idle_share * 1000.0))
            daemon.process.kill()
            await daemon.process.wait()
    line = fit_line(points)
    points_text = ", ".join(f"{cpu_ms:.1f} ms/s at {rate:.0f} polls/s" for rate, cpu_ms in points)
    return [
        ("ms per poll of a target", line.per_unit, points_text),
        ("alone, no polls, ms/s", line.fixed, ""),
    ]


async def _measure(session: aiohttp.ClientSession, daemons: list[Daemon]) -> list[Any]:
    entry, owner = daemons
    meter = Meter(entry)
    await meter.idle()
    meter.memory("memory at rest, MB")
    unit = f"ms per request of {TOKENS_PER_REQUEST} tokens"
    await meter.phase(
        unit,
        REQUEST_COUNT,
        _run_concurrently(REQUEST_COUNT, lambda: _call(session, entry, "", TOKENS_PER_REQUEST)),
    )
    incarnation = await _incarnation(session, owner)

    def forwarded() -> Awaitable[None]:
        key = f"n2.{incarnation}.0.{secrets.token_hex(8)}"
        return _call(session, entry, key, TOKENS_PER_REQUEST)

    await meter.phase(
        "ms per request passed on", REQUEST_COUNT, _run_concurrently(REQUEST_COUNT, forwarded)
    )
    tokens = STREAM_COUNT * TOKENS_PER_STREAM
    work = _run_concurrently(
        STREAM_COUNT, lambda: _call(session, entry, "", TOKENS_PER_STREAM, stream=True)
    )
    await meter.phase("ms per token streamed", tokens, work)
    step = StepRequest(
        "s1", "asesor", [f"p{n}" for n in range(32)], 4, TOKENS_PER_REQUEST, 1000, ""
    )
    trainer = TrainerClient(session, "trainer-1", [entry.http_address], lambda: 0, seed=1)
    await meter.phase("ms per sample of a step", step.size, _run_step(trainer, step))
    meter.memory("memory after this, MB")
    return meter.rows


async def _run_step(trainer: TrainerClient, step: StepRequest) -> None:
    async for _sample in trainer.run_step(step):
        pass


async def _call(
    session: aiohttp.ClientSession, daemon: Daemon, key: str, tokens: int, *, stream: bool = False
) -> None:
    url = f"http://{daemon.http_address}/v1/services/asesor/generate"
    body = {"prompt": secrets.token_hex(16), "max_tokens": tokens, "stream": stream}
    headers = {"x-request-key": key} if key else {}
    async with session.post(url, json=body, headers=headers) as response:
        await response.read()


async def _run_concurrently(count: int, call: Callable[[], Awaitable[None]]) -> None:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def run_one() -> None:
        async with semaphore:
            await call()

    await asyncio.gather(*(run_one() for _number in range(count)))


async def _incarnation(session: aiohttp.ClientSession, daemon: Daemon) -> str:
    report = await _get(session, daemon, "/v1/report")
    return str(report["nodes"]["n2"]["incarnation"])


async def _get(session: aiohttp.ClientSession, daemon: Daemon, path: str) -> Mapping[str, Any]:
    async with session.get(f"http://{daemon.http_address}{path}") as response:
        answer: Mapping[str, Any] = await response.json()
        return answer


async def _wait_until_ready(session: aiohttp.ClientSession, daemons: list[Daemon]) -> None:
    give_up_at_s = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at_s:
        try:
            entries = [await _get(session, daemon, "/v1/entries") for daemon in daemons]
            if all(len(entry["entries"]) == len(daemons) for entry in entries):
                return
        except aiohttp.ClientError:
            pass
        await asyncio.sleep(0.1)
    raise TimeoutError("the nodes did not become ready")


async def _start_daemon(fleet: Fleet, directory: str, node_id: str, watch_s: float = 0.5) -> Daemon:
    http_address = f"127.0.0.1:{free_port()}"
    peer_address = f"127.0.0.1:{free_port()}"
    settings = {
        "node_id": node_id,
        "zone": fleet.shape.zones[0],
        "http_address": http_address,
        "peer_address": peer_address,
        "shared_key": fleet.shared_key,
        "log_url": fleet.log.url,
        "weight_store_url": fleet.store.url,
        "host_list_url": fleet.host_list.url,
        "seeds": _read_seeds(directory),
        "log_level": "warning",
        "timings": {"watch_s": watch_s},
    }
    path = _write_settings(directory, settings)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "samphirecleat", "node", "--settings", path
    )
    return Daemon(process, http_address)


def _write_settings(directory: str, settings: Mapping[str, Any]) -> str:
    Path(directory, "seeds").write_text(settings["peer_address"])
    path = Path(directory, f"{settings['node_id']}.json")
    path.write_text(json.dumps(settings))
    return str(path)


def _read_seeds(directory: str) -> list[str]:
    path = Path(directory, "seeds")
    return [path.read_text()] if path.exists() else []


if __name__ == "__main__":
    uvloop.run(_main())
