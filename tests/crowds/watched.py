"""Watches a process while a crowd is at it."""

import asyncio
import os
import sys
from pathlib import Path
from typing import NamedTuple

REPOSITORY = Path(__file__).parents[2]
SAMPLE_INTERVAL_S = 0.05


class Peaks(NamedTuple):
    """The most that a process ever used, and the most that a client sent on one connection."""

    memory_mb: float
    descriptors: int
    connection_bytes: int


async def play(kind: str, host: str, port: int, pid: int) -> Peaks:
    """Let a crowd meet ``host:port``; return the peaks of the process ``pid`` behind it."""
    crowd = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.crowds.send",
        host,
        str(port),
        kind,
        cwd=REPOSITORY,
        stdout=asyncio.subprocess.PIPE,
    )
    ended = asyncio.ensure_future(crowd.communicate())
    descriptors = 0
    while not ended.done():
        descriptors = max(descriptors, _descriptors(pid))
        await asyncio.wait([ended], timeout=SAMPLE_INTERVAL_S)
    output, _ = await ended
    assert crowd.returncode == 0
    return Peaks(peak_memory_mb(pid), descriptors, int(output))


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that the process ever had resident; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    rows = dict(line.split(":", 1) for line in status.splitlines())
    return int(rows.get("VmHWM", "0").split()[0]) * 1024 / 1e6


def _descriptors(pid: int) -> int:
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0
