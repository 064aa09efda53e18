"""Bench of configuration rollout: time from the append until every node has it in force.

Thirteen real nodes without targets, with the default timings. In the first row every node can
read the log; the other rows limit which nodes read it or break their connections.
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
NODE_COUNT: Final = 13
PUBLICATION_COUNT: Final = 8
POLL_INTERVAL_S: Final = 0.005
TIMEOUT_S: Final = 30.0
SEVERAL_ZONES: Final = ("bilbao-a", "bilbao-b", "oviedo-a", "santander-a")
ONE_ZONE: Final = ("bilbao-a",)
UNREACHABLE_URL: Final = "http://127.0.0.1:9"


class ConfigFleet:
    """A log, a host list and nodes that discover each other, without targets.

    An async context manager that runs the stand-ins and stops every node at its end.
    """

    def __init__(self, seed: int, timings: Timings, *, retention_s: float = 3600.0) -> None:
        """Create the stand-ins; no node runs yet."""
        self.log = StandInLog(retention_s=retention_s)
        self.host_list = StandInHostList(lag_s=0.0)
        self.nodes: list[Node] = []
        self._seed = seed
        self._timings = timings
        self._started_count = 0
        self._addresses = AddressPool()

    async def __aenter__(self) -> "ConfigFleet":
        """Start the log and the host list."""
        await self.log.start()
        await self.host_list.start()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop the nodes, the log and the host list."""
        await asyncio.gather(*(node.stop() for node in self.nodes))
        await self.log.stop()
        await self.host_list.stop()

    async def start_node(self, zone: str, *, log_url: str = "") -> Node:
        """Start one more node; ``log_url`` replaces the address of the fleet's log."""
        self._started_count += 1
        settings = Settings(
            node_id=f"n{self._started_count}",
            zone=zone,
            http_address=self._addresses.take(),
            peer_address=self._addresses.take(),
            shared_key="bench-only-shared-key",
            log_url=log_url or self.log.url,
            weight_store_url=UNREACHABLE_URL,
            host_list_url=self.host_list.url,
            seeds=[node.settings.peer_address for node in self.nodes[:3]],
            seed=self._seed + self._started_count,
            timings=self._timings,
        )
        node = Node(settings)
        await node.start()
        self.nodes.append(node)
        self.host_list.put(HostRow(settings.peer_address, "entry", zone), at_once=True)
        return node

    async def stop_node(self, node: Node) -> None:
        """Stop a node without a drain, as a crash does."""
        self.nodes.remove(node)
        self.host_list.remove(node.settings.peer_address)
        await node.stop()

    async def publish(self, base: int) -> int:
        """Append a configuration text based on revision ``base``; return its offset.

        :raises RuntimeError: if the log does not append it.
        """
        text = f'{{"services": {{"s{base + 1}": {{"kind": "scoring"}}}}}}'
        publication = Publication(f"p{base}", base, text, "bench")
        async with aiohttp.ClientSession() as session:
            appended = await HttpLog(session, self.log.url).append(
                "config", publication_payload(publication)
            )
        if appended.outcome is not AppendOutcome.APPENDED:
            raise RuntimeError(f"log did not append the configuration: {appended.detail}")
        return appended.offset

    async def until_in_force(self, revision: int) -> None:
        """Wait until every node has ``revision`` or a later one.

        :raises TimeoutError: after ``TIMEOUT_S``.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not all(node.board.config.revision >= revision for node in self.nodes):
            if loop.time() - started_s > TIMEOUT_S:
                raise TimeoutError(f"revision {revision} is not in force everywhere")
            await asyncio.sleep(POLL_INTERVAL_S)


async def run(seed: int) -> BenchResult:
    """Measure every variant of access to the log."""
    rows = [
        await _measure("every node reads", seed, SEVERAL_ZONES),
        await _measure("two readers, one zone", seed, ONE_ZONE),
        await _measure("three nodes cut off", seed, SEVERAL_ZONES, cut_off_count=3),
        await _measure("connections silent", seed, SEVERAL_ZONES, silence_connections=True),
    ]
    note = "worst_s is the slowest publication of each run; the aim is 4 s"
    return BenchResult("config", seed, rows, note)


async def _measure(
    variant: str,
    seed: int,
    zones: Sequence[str],
    *,
    cut_off_count: int = 0,
    silence_connections: bool = False,
) -> BenchRow:
    loop = asyncio.get_running_loop()
    runs: list[Mapping[str, float]] = []
    async with ConfigFleet(seed, Timings()) as fleet:
        for index in range(NODE_COUNT):
            log_url = UNREACHABLE_URL if index >= NODE_COUNT - cut_off_count else ""
            await fleet.start_node(zones[index % len(zones)], log_url=log_url)
        revision = await fleet.publish(NO_REVISION)
        await fleet.until_in_force(revision)
        await asyncio.sleep(2.0)
        reads_before = fleet.log.reads
        rollout_s = []
        for _ in range(PUBLICATION_COUNT):
            if silence_connections:
                fleet.log.silence_open_connections()
            sent_at_s = loop.time()
            revision = await fleet.publish(revision)
            await fleet.until_in_force(revision)
            rollout_s.append(loop.time() - sent_at_s)
            await asyncio.sleep(0.7)
        figures = {
            "worst_s": max(rollout_s),
            "mean_s": sum(rollout_s) / len(rollout_s),
            "log_reads": float(fleet.log.reads - reads_before),
        }
        runs.append(figures)
    return average_runs(variant, runs)
