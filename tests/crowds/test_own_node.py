"""A node of the project's own interface while clients outside the limits are at it."""

import asyncio
import json
import sys
from pathlib import Path

import aiohttp
import pytest

from samphirecleat.trial._addresses import AddressPool

from .kinds import BODIES, HEADS
from .watched import REPOSITORY, Peaks, play

MEMORY_MB = 200
# 2,000 connections of clients, and 200 descriptors for everything else.
FILE_DESCRIPTORS = 2200
KERNEL_BYTES = 16_000_000
START_TIMEOUT_S = 30.0

pytestmark = pytest.mark.crowd


async def start_node(folder: Path, address: str, peer: str) -> asyncio.subprocess.Process:
    """Start a node whose log, weight store and host list are away."""
    settings = {
        "node_id": "n1",
        "zone": "z",
        "http_address": address,
        "peer_address": peer,
        "shared_key": "0123456789abcdef",
        "log_url": "http://127.0.0.1:1",
        "weight_store_url": "http://127.0.0.1:1",
        "host_list_url": "http://127.0.0.1:1",
    }
    path = folder / "node.json"
    path.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "samphirecleat", "node", "--settings", str(path)]
    with (folder / "node.log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, stdout=log, stderr=log
        )


async def read_report(address: str) -> None:
    """Return once the node has answered an ordinary request."""
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"http://{address}/v1/report") as response:
                    assert response.status == 200
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)


def meet(kind: str, folder: Path, *, at_peer_address: bool = False) -> Peaks:
    """Let a crowd meet a node; the node must live on and answer an ordinary call afterwards."""

    async def body() -> Peaks:
        addresses = AddressPool()
        address, peer = addresses.take(), addresses.take()
        process = await start_node(folder, address, peer)
        try:
            await read_report(address)
            host, _, port = (peer if at_peer_address else address).rpartition(":")
            peaks = await play(kind, host, int(port), process.pid)
            assert process.returncode is None
            await read_report(address)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
        return peaks

    peaks = asyncio.run(body())
    assert peaks.memory_mb <= MEMORY_MB
    assert peaks.descriptors <= FILE_DESCRIPTORS
    return peaks


@pytest.mark.parametrize("kind", [*HEADS, *BODIES, "bodies_at_own_node", "many_connections"])
def test_a_crowd_fills_neither_memory_nor_descriptors(kind: str, tmp_path: Path) -> None:
    """Guards against limits that hold at the users' platform only."""
    meet(kind, tmp_path)


def test_empty_lines_without_end_are_refused(tmp_path: Path) -> None:
    """Guards against a client that keeps the node reading without ever sending a request."""
    assert meet("empty_lines", tmp_path).connection_bytes <= KERNEL_BYTES


@pytest.mark.parametrize("kind", ["header_value", "no_http", "many_connections"])
def test_a_crowd_at_the_address_for_nodes_does_no_harm(kind: str, tmp_path: Path) -> None:
    """Guards against limits that hold for callers only; nodes have a listener of their own."""
    meet(kind, tmp_path, at_peer_address=True)
