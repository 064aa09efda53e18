"""A node of the users' platform while clients outside the limits are at it."""

import asyncio
from pathlib import Path

import pytest

from ..platform.nodes import Caller, Nodes, config_document, running_nodes
from .kinds import AFTER_REQUESTS, BODIES, HEADS, HELD
from .watched import Peaks, play

MEMORY_MB = 200
FILE_DESCRIPTORS = 1000
MAX_HEADER_BYTES = 16384
# The most that the two kernels of a connection keep of what was not read.
KERNEL_BYTES = 16_000_000
ADDRESSES = ("ready", "control", "directory", "peer", "metrics")

pytestmark = pytest.mark.crowd


def crowd_config() -> dict[str, object]:
    """Return a configuration with low limits."""
    limits = {
        "maxHeaderBytes": MAX_HEADER_BYTES,
        "maxBodyBytes": 1 << 20,
        "headerTimeoutMs": 5000,
        "idleTimeoutMs": 15000,
    }
    return {**config_document(), "limits": limits}


def meet(kind: str, folder: Path, address: str = "front") -> Peaks:
    """Let a crowd meet a node; the node must live on and answer an ordinary call afterwards."""

    async def body() -> Peaks:
        limits = f"[limits]\nmemoryMb = {MEMORY_MB}\nfileDescriptors = {FILE_DESCRIPTORS}"
        async with running_nodes(1, folder, tables=limits, config=crowd_config()) as running:
            nodes, caller, _store, _targets = running
            await call(caller)
            host = nodes.hosts[0]
            peaks = await play(kind, host, port_of(nodes, address), nodes.pid(host))
            assert nodes.is_running(host)
            await call(caller)
            return peaks

    peaks = asyncio.run(body())
    assert peaks.memory_mb <= MEMORY_MB
    assert peaks.descriptors <= FILE_DESCRIPTORS
    return peaks


async def call(caller: Caller) -> None:
    headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "5000"}
    assert await caller.call("POST", "/plain/1", body=b"quote", headers=headers) == b"answer to q1"


def port_of(nodes: Nodes, address: str) -> int:
    port: int = getattr(nodes, address)
    return port


@pytest.mark.parametrize("kind", HEADS)
def test_heads_beyond_the_limit_fill_no_memory(kind: str, tmp_path: Path) -> None:
    """Guards against a process that ends because it keeps what clients send as one head."""
    meet(kind, tmp_path)


@pytest.mark.parametrize("address", ADDRESSES)
def test_heads_beyond_the_limit_fill_no_memory_at_other_addresses(
    address: str, tmp_path: Path
) -> None:
    """Guards against a limit that holds for callers only, while one process has six listeners."""
    meet("header_value", tmp_path, address)


@pytest.mark.parametrize("address", ["front", *ADDRESSES])
def test_empty_lines_without_end_are_refused(address: str, tmp_path: Path) -> None:
    """Guards against a client that keeps the node reading without ever sending a request."""
    peaks = meet("empty_lines", tmp_path, address)
    assert peaks.connection_bytes <= KERNEL_BYTES


@pytest.mark.parametrize("kind", BODIES)
def test_bodies_outside_the_limits_do_no_harm(kind: str, tmp_path: Path) -> None:
    """Guards against framing without end, and framing whose parsing takes all of the processor."""
    meet(kind, tmp_path)


@pytest.mark.parametrize("address", ["front", "control", "peer"])
def test_bodies_within_the_limit_fill_no_memory_together(address: str, tmp_path: Path) -> None:
    """Guards against many bodies that never become complete, each of them within the limit."""
    meet(f"bodies_at_{address}", tmp_path, address)


@pytest.mark.parametrize("kind", AFTER_REQUESTS)
def test_bytes_behind_a_request_fill_no_memory(kind: str, tmp_path: Path) -> None:
    """Guards against requests and other bytes that wait, unbounded, behind a request."""
    meet(kind, tmp_path)


@pytest.mark.parametrize("kind", HELD)
def test_held_connections_leave_the_node_its_descriptors(kind: str, tmp_path: Path) -> None:
    """Guards against a node that can't connect to targets or the store for lack of descriptors."""
    meet(kind, tmp_path)


@pytest.mark.parametrize("address", ADDRESSES)
def test_held_connections_are_bounded_at_other_addresses(address: str, tmp_path: Path) -> None:
    """Guards against a limit on connections that holds for callers only."""
    meet("nothing", tmp_path, address)
