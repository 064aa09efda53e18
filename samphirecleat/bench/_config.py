"""Bench of the configuration: from the append to being in force everywhere.

Thirteen real nodes without targets, with the timings that nodes have by default.
The first row has every node at the log; the others take ways to it away.
"""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final

import aiohttp

from ..config import NO_REVISION, Publication, publication_payload
from ..node import Node
from ..platform import AppendOutcome, HttpLog
from ..settings import Settings, Timings
from ..standins import HostRow, StandInHostList, StandInLog
from ..trial._addresses import AddressPool
from ._harness import BenchResult, BenchRow, average_runs

DEFAULT_SEED: Final = 17
NODES: Final = 13
PUBLICATIONS: Final = 8
POLL_S: Final = 0.005
GIVE_UP_S: Final = 30.0
SPREAD: Final = ("bilbao-a", "bilbao-b", "oviedo-a", "santander-a")
ONE_ZONE: Final = ("bilbao-a",)
NO_LOG: Final = "http://127.0.0.1:9"


class ConfigFleet:
    """A log, a host list, and nodes that find each other; no targets."""

    def __init__(self, seed: int, timings: Timings, *, retention_s: float = 3600.0) -> None:
        """Prepare a fleet without nodes."""
        self.log = StandInLog(retention_s=retention_s)
        self.host_list = StandInHostList(lag_s=0.0)
        self.nodes: list[Node] = []
        self._seed = seed
        self._timings = timings
        self._started = 0
        self._addresses = AddressPool()

    async def __aenter__(self) -> "ConfigFleet":
        """Start the platform."""
        await self.log.start()
        await self.host_list.start()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop everything."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.log.stop()
        await self.host_list.stop()

    async def start_node(self, zone: str, *, log_url: str = "") -> Node:
        """Start one more node, at ``log_url`` if the fleet's log is out of its reach."""
        self._started += 1
        settings = Settings(
            node_id=f"n{self._started}",
            zone=zone,
            http_address=self._addresses.take(),
            peer_address=self._addresses.take(),
            shared_key="bench-only-shared-key",
            log_url=log_url or self.log.url,
            weight_store_url=NO_LOG,
            host_list_url=self.host_list.url,
            seeds=[node.settings.peer_address for node in self.nodes[:3]],
            seed=self._seed + self._started,
            timings=self._timings,
        )
        node = Node(settings)
        await node.start()
        self.nodes.append(node)
        self.host_list.put(HostRow(settings.peer_address, "entry", zone), at_once=True)
        return node

    async def stop_node(self, node: Node) -> None:
        """Stop a node at once, as a crash does."""
        self.nodes.remove(node)
        self.host_list.remove(node.settings.peer_address)
        await node.stop()

    async def publish(self, base: int) -> int:
        """Append a text made from ``base`` and return its offset."""
        text = f'{{"services": {{"s{base + 1}": {{"kind": "scoring"}}}}}}'
        made = Publication(f"p{base}", base, text, "bench")
        async with aiohttp.ClientSession() as session:
            appended = await HttpLog(session, self.log.url).append(
                "config", publication_payload(made)
            )
        if appended.outcome is not AppendOutcome.APPENDED:
            raise RuntimeError(f"the log did not take the text: {appended.detail}")
        return appended.offset

    async def until_in_force(self, revision: int) -> None:
        """Return once every node has ``revision`` or a later one.

        :raises TimeoutError: after ``GIVE_UP_S``.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not all(node.board.config.revision >= revision for node in self.nodes):
            if loop.time() - started_s > GIVE_UP_S:
                raise TimeoutError(f"revision {revision} is not in force everywhere")
            await asyncio.sleep(POLL_S)


async def run(seed: int) -> BenchResult:
    """Measure every way to the log."""
    rows = [
        await _measure("every node reads", seed, SPREAD),
        await _measure("two readers, one zone", seed, ONE_ZONE),
        await _measure("three nodes cut off", seed, SPREAD, cut_off=3),
        await _measure("connections silent", seed, SPREAD, silence=True),
    ]
    note = "worst_s is the slowest publication of each run; the aim is 4 s"
    return BenchResult("config", seed, rows, note)


async def _measure(
    variant: str, seed: int, zones: Sequence[str], *, cut_off: int = 0, silence: bool = False
) -> BenchRow:
    loop = asyncio.get_running_loop()
    runs: list[Mapping[str, float]] = []
    async with ConfigFleet(seed, Timings()) as fleet:
        for index in range(NODES):
            log_url = NO_LOG if index >= NODES - cut_off else ""
            await fleet.start_node(zones[index % len(zones)], log_url=log_url)
        revision = await fleet.publish(NO_REVISION)
        await fleet.until_in_force(revision)
        await asyncio.sleep(2.0)
        reads = fleet.log.reads
        taken_s = []
        for _ in range(PUBLICATIONS):
            if silence:
                fleet.log.silence_open_connections()
            sent_at_s = loop.time()
            revision = await fleet.publish(revision)
            await fleet.until_in_force(revision)
            taken_s.append(loop.time() - sent_at_s)
            await asyncio.sleep(0.7)
        figures = {
            "worst_s": max(taken_s),
            "mean_s": sum(taken_s) / len(taken_s),
            "log_reads": float(fleet.log.reads - reads),
        }
        runs.append(figures)
    return average_runs(variant, runs)
