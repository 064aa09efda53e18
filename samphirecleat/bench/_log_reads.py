"""What the log has to serve as the fleet grows, and how soon a revision is in force.

Run it as ``python -m samphirecleat.bench._log_reads``.

Real nodes over loopback, all in one process, with the stand-in log, host list and
weight store, and the targets of one deployment. The baseline is that every node
waits at the log itself.
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
SIZES: Final = (9, 13, 26)
FULL_SIZE: Final = 390
PUBLICATIONS: Final = 4
STEADY_S: Final = 3.0
LIMIT_S: Final = 20.0
POLL_S: Final = 0.01


class CountingLog(StandInLog):
    """Counts the reads that it serves."""

    def __init__(self) -> None:
        """Start at none."""
        super().__init__()
        self.read_count = 0

    async def _read(self, request: web.Request) -> web.StreamResponse:
        self.read_count += 1
        return await super()._read(request)


async def run(seed: int) -> BenchResult:
    """Measure each size with the zone's readers, then with all nodes at the log."""
    policy = [
        BenchRow(f"few readers, {size} nodes", PUBLICATIONS, await _measure(size, seed))
        for size in SIZES
    ]
    with _all_read():
        baseline = [
            BenchRow(f"all read, {size} nodes", PUBLICATIONS, await _measure(size, seed))
            for size in SIZES
        ]
    return BenchResult("log-reads", seed, [*policy, *baseline], _note(policy, baseline))


@contextmanager
def _all_read() -> Iterator[None]:
    before = config_follow.ALL_READ_MAX_ZONE_SIZE
    config_follow.ALL_READ_MAX_ZONE_SIZE = FULL_SIZE  # type: ignore[misc]
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
        await _until(lambda: all(node.board.config.revision >= 0 for node in fleet.nodes))
        await _until(lambda: all(len(n.board.live_members()) == size for n in fleet.nodes))
        # Readers are chosen from the live members, and finish the read they are in.
        await asyncio.sleep(2.0)
        reads, appends, began_s = log.read_count, len(log.appends), time.monotonic()
        await asyncio.sleep(STEADY_S)
        took_s = time.monotonic() - began_s
        figures = {
            "reads/s": (log.read_count - reads) / took_s,
            "appends/s": (len(log.appends) - appends) / took_s,
        }
        times_s = [await _publish(fleet, number) for number in range(PUBLICATIONS)]
        figures["in_force_mean_s"] = fmean(times_s)
        figures["in_force_max_s"] = max(times_s)
        return figures
    finally:
        await fleet.stop()


async def _publish(fleet: Fleet, number: int) -> float:
    """Return the time from the append until the last node has the revision."""
    board = fleet.nodes[0].board
    base, text = board.config.revision, board.config.text
    publication = Publication(f"bench-{number}", base, text, "bench")
    async with aiohttp.ClientSession() as session:
        log = HttpLog(session, fleet.log.url)
        began_s = time.monotonic()
        await log.append("config", publication_payload(publication))
    await _until(lambda: all(node.board.config.revision > base for node in fleet.nodes))
    return time.monotonic() - began_s


async def _until(condition: Callable[[], bool]) -> None:
    give_up_at_s = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > give_up_at_s:
            raise TimeoutError("the fleet did not come to agree in time")
        await asyncio.sleep(POLL_S)


def _note(policy: Sequence[BenchRow], baseline: Sequence[BenchRow]) -> str:
    lines = ["least squares over nodes:"]
    for label, rows in (("few readers", policy), ("all read", baseline)):
        points = [(fleet_size(row), row.figures["reads/s"]) for row in rows]
        line = fit_line(points)
        lines.append(
            f"  {label} reads/s: {line.fixed:.4g} + {line.per_unit:.4g} x nodes,"
            f" {line.at(FULL_SIZE):.4g} at {FULL_SIZE} nodes"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    print_result(uvloop.run(run(DEFAULT_SEED)))
