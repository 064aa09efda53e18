"""Bench of the log: its request rate by fleet size, and the time until a revision is in force.

It can also be run as ``python -m samphirecleat.bench._log_reads``.

Real nodes over loopback, all in one process, with the stand-in log, host list and weight store,
and the targets of one deployment. In the baseline every node follows the log itself.
"""

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from statistics import fmean
from typing import Final

import aiohttp
import uvloop
from aiohttp import web

from ..config import Publication, publication_payload
from ..controllers.configuration import _config_follow as config_follow
from ..platform import HttpLog
from ..standins import StandInLog
from ..trial._deployments import DEPLOYMENTS
from ..trial._fleet import Fleet
from ._fit import fit_line
from ._harness import BenchResult, BenchRow, fleet_size, print_result

DEFAULT_SEED: Final = 1
FLEET_SIZES: Final = (9, 13, 26)
FULL_FLEET_SIZE: Final = 390
PUBLICATION_COUNT: Final = 4
MEASUREMENT_S: Final = 3.0
TIMEOUT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.01


class CountingLog(StandInLog):
    """A log that counts the reads that it serves."""

    def __init__(self) -> None:
        """Start without reads."""
        super().__init__()
        self.read_count = 0

    async def _read(self, request: web.Request) -> web.StreamResponse:
        self.read_count += 1
        return await super()._read(request)


async def run(seed: int) -> BenchResult:
    """Measure each size with the readers of each zone, then with all nodes reading the log."""
    policy = [
        BenchRow(f"few readers, {size} nodes", PUBLICATION_COUNT, await _measure(size, seed))
        for size in FLEET_SIZES
    ]
    with _all_nodes_read_log():
        baseline = [
            BenchRow(f"all read, {size} nodes", PUBLICATION_COUNT, await _measure(size, seed))
            for size in FLEET_SIZES
        ]
    return BenchResult("log-reads", seed, [*policy, *baseline], _note(policy, baseline))


@contextmanager
def _all_nodes_read_log() -> Iterator[None]:
    before = config_follow.ALL_READ_MAX_ZONE_SIZE
    config_follow.ALL_READ_MAX_ZONE_SIZE = FULL_FLEET_SIZE  # type: ignore[misc]
    try:
        yield
    finally:
        config_follow.ALL_READ_MAX_ZONE_SIZE = before  # type: ignore[misc]


async def _measure(size: int, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["lavadero-norte"], size, seed)
    log = CountingLog()
    fleet.log = log
    await fleet.start()
    try:
        await _wait_until(lambda: all(node.board.config.revision >= 0 for node in fleet.nodes))
        await _wait_until(lambda: all(len(n.board.live_members()) == size for n in fleet.nodes))
        # The readers change with the live members, and former readers finish their last read.
        await asyncio.sleep(2.0)
        reads_before, appends_before, started_at_s = (
            log.read_count,
            len(log.appends),
            time.monotonic(),
        )
        await asyncio.sleep(MEASUREMENT_S)
        elapsed_s = time.monotonic() - started_at_s
        figures = {
            "reads/s": (log.read_count - reads_before) / elapsed_s,
            "appends/s": (len(log.appends) - appends_before) / elapsed_s,
        }
        times_s = [await _publish(fleet, number) for number in range(PUBLICATION_COUNT)]
        figures["in_force_mean_s"] = fmean(times_s)
        figures["in_force_max_s"] = max(times_s)
        return figures
    finally:
        await fleet.stop()


async def _publish(fleet: Fleet, number: int) -> float:
    """Publish a revision; return the seconds from the append until the last node has it."""
    board = fleet.nodes[0].board
    base, text = board.config.revision, board.config.text
    publication = Publication(f"bench-{number}", base, text, "bench")
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, fleet.log.url)
        started_at_s = time.monotonic()
        await log.append("config", publication_payload(publication))
    await _wait_until(lambda: all(node.board.config.revision > base for node in fleet.nodes))
    return time.monotonic() - started_at_s


async def _wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("fleet did not converge in time")
        await asyncio.sleep(POLL_INTERVAL_S)


def _note(policy: Sequence[BenchRow], baseline: Sequence[BenchRow]) -> str:
    lines = ["least squares over nodes:"]
    for label, rows in (("few readers", policy), ("all read", baseline)):
        points = [(fleet_size(row), row.figures["reads/s"]) for row in rows]
        line = fit_line(points)
        lines.append(
            f"  {label} reads/s: {line.fixed:.4g} + {line.per_unit:.4g} x nodes,"
            f" {line.at(FULL_FLEET_SIZE):.4g} at {FULL_FLEET_SIZE} nodes"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    print_result(uvloop.run(run(DEFAULT_SEED)))
