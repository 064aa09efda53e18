"""Bench of membership: cost per node of heartbeats and target updates, and their propagation time.

Real membership drivers over loopback UDP, all in one process, without the rest of a node. The
baseline is a full mesh: each node sends its row to every other node in each period.
"""

import asyncio
import gc
import random
import time
from collections.abc import Callable, Mapping, Sequence
from statistics import quantiles
from typing import Final

from ..peers import HeartbeatCodec, MemberRow, Message, MessageKind
from ..settings import Timings
from ._fit import fit_line
from ._harness import BenchResult, BenchRow, fleet_size
from ._member_fleet import POLL_INTERVAL_S, SHARED_KEY, MemberFleet, MemberNode

DEFAULT_SEED: Final = 1
FLEET_SIZES: Final = (9, 13, 39, 78)
BASELINE_FLEET_SIZES: Final = (9, 13, 39)
TARGETS_PER_NODE: Final = 600 / 390
MEASUREMENT_S: Final = 4.0
TIMEOUT_S: Final = 20.0
FULL_FLEET_SIZE: Final = 390
TIMINGS: Final = Timings()


async def run(seed: int) -> BenchResult:
    """Measure every fleet size, the smallest first."""
    random.seed(seed)
    rows = []
    for size in FLEET_SIZES:
        figures = await _measure(size, round(size * TARGETS_PER_NODE))
        rows.append(BenchRow(f"probes, {size} nodes", 1, figures))
    baseline = [
        BenchRow(f"everyone, {size} nodes", 1, await _measure_full_mesh(size))
        for size in BASELINE_FLEET_SIZES
    ]
    return BenchResult("membership", seed, [*rows, *baseline], _note(rows, baseline))


async def _measure(size: int, targets: int) -> Mapping[str, float]:
    gc.collect()
    before_kb = _resident_kb()
    fleet = MemberFleet(size, targets, TIMINGS)
    started_at_s = time.monotonic()
    await fleet.start()
    started_kb = _resident_kb()
    try:
        await _wait_until(fleet.has_converged)
        joined_s = time.monotonic() - started_at_s
        figures = {**await measure_steady(fleet), "joined_s": joined_s}
        figures["memory_kb"] = (_resident_kb() - before_kb) / size
        figures["table_kb"] = (_resident_kb() - started_kb) / size
        figures["leave_known_s"] = await _time_leave(fleet)
        figures["death_known_s"] = await _time_death(fleet)
        return figures
    finally:
        await fleet.stop()


async def measure_steady(fleet: MemberFleet) -> Mapping[str, float]:
    """Return traffic, CPU time and load report ages per node while the membership is stable."""
    await asyncio.sleep(1.0)
    before = _totals(fleet)
    cpu_s, started_at_s = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASUREMENT_S)
    elapsed_s = time.monotonic() - started_at_s
    used_cpu_s = time.process_time() - cpu_s
    after = _totals(fleet)
    size = len(fleet.nodes)
    ages = _load_ages(fleet.nodes)
    return {
        "sent_B/s": (after[0] - before[0]) / elapsed_s / size,
        "received_B/s": (after[1] - before[1]) / elapsed_s / size,
        "datagrams/s": (after[2] - before[2]) / elapsed_s / size,
        "polls/s": (after[3] - before[3]) / elapsed_s / size,
        "cpu_ms/s": used_cpu_s / elapsed_s / size * 1000.0,
        "load_age_p50_s": ages[49],
        "load_age_p99_s": ages[98],
    }


async def _time_leave(fleet: MemberFleet) -> float:
    leaving = fleet.nodes[-1]
    node_id = leaving.board.identity.node_id
    started_at_s = time.monotonic()
    leaving.leave()
    await _wait_until(lambda: all(n.board.members[node_id].member.leaving for n in fleet.nodes))
    return time.monotonic() - started_at_s


async def _time_death(fleet: MemberFleet) -> float:
    killed = fleet.nodes.pop()
    node_id = killed.board.identity.node_id
    started_at_s = time.monotonic()
    await killed.stop()
    await _wait_until(lambda: not any(n.board.members[node_id].alive for n in fleet.nodes))
    return time.monotonic() - started_at_s


class _FullMeshNode(asyncio.DatagramProtocol):
    """A node of the baseline, which sends its row to every other node in each period."""

    def __init__(self, node: MemberNode) -> None:
        self._codec = HeartbeatCodec(SHARED_KEY)
        self._row = node.own_row()
        self._rows: dict[str, MemberRow] = {}
        self.sent_bytes = 0
        self.datagrams = 0

    def datagram_received(self, data: bytes, addr: object) -> None:
        del addr
        for row in self._codec.unpack(data).rows:
            self._rows[row.member.incarnation] = row

    async def drive(
        self, transport: asyncio.DatagramTransport, others: Sequence[tuple[str, int]]
    ) -> None:
        while True:
            rows = [MemberRow(self._row, 0)]
            data = self._codec.pack(Message(MessageKind.UPDATE, 0, "", 1, rows))
            for address in others:
                transport.sendto(data, address)
            self.sent_bytes += len(data) * len(others)
            self.datagrams += len(others)
            await asyncio.sleep(TIMINGS.heartbeat_s)


async def _measure_full_mesh(size: int) -> Mapping[str, float]:
    loop = asyncio.get_running_loop()
    nodes = [_FullMeshNode(MemberNode(i, (), 1, TIMINGS)) for i in range(size)]
    transports = []
    for node in nodes:
        transport, _protocol = await loop.create_datagram_endpoint(
            lambda node=node: node,  # type: ignore[misc]
            local_addr=("127.0.0.1", 0),
        )
        transports.append(transport)
    addresses = [transport.get_extra_info("sockname")[:2] for transport in transports]
    tasks = [
        loop.create_task(node.drive(transport, [a for a in addresses if a != address]))
        for node, transport, address in zip(nodes, transports, addresses, strict=True)
    ]
    cpu_s, started_at_s = time.process_time(), time.monotonic()
    await asyncio.sleep(MEASUREMENT_S / 2)
    elapsed_s, used_cpu_s = time.monotonic() - started_at_s, time.process_time() - cpu_s
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for transport in transports:
        transport.close()
    sent = sum(node.sent_bytes for node in nodes) / elapsed_s / size
    figures = dict.fromkeys(FIGURE_NAMES, float("nan"))
    figures["sent_B/s"] = figures["received_B/s"] = sent
    figures["datagrams/s"] = sum(node.datagrams for node in nodes) / elapsed_s / size
    figures["cpu_ms/s"] = used_cpu_s / elapsed_s / size * 1000.0
    return figures


FIGURE_NAMES: Final = (
    "sent_B/s",
    "received_B/s",
    "datagrams/s",
    "polls/s",
    "cpu_ms/s",
    "load_age_p50_s",
    "load_age_p99_s",
    "joined_s",
    "memory_kb",
    "table_kb",
    "leave_known_s",
    "death_known_s",
)


def _totals(fleet: MemberFleet) -> tuple[int, int, int, int]:
    def total(name: str) -> int:
        return sum(node.observer.counters[name] for node in fleet.nodes)

    return (
        total("member_bytes_sent"),
        total("member_bytes_received"),
        total("member_datagrams_sent"),
        sum(node.watch.polls for node in fleet.nodes),
    )


def _load_ages(nodes: Sequence[MemberNode]) -> Sequence[float]:
    now_s = asyncio.get_running_loop().time()
    ages = [
        now_s - polled.polled_at_s
        for n in nodes
        for polled in n.watch.gossip.polled_targets.values()
    ]
    return quantiles(ages, n=100)


def _resident_kb() -> float:
    with open("/proc/self/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return float(line.split()[1])


async def _wait_until(condition: Callable[[], bool]) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise TimeoutError("fleet did not converge in time")
        await asyncio.sleep(POLL_INTERVAL_S)


def _note(rows: Sequence[BenchRow], baseline: Sequence[BenchRow]) -> str:
    lines = [f"least squares over nodes, and the value at {FULL_FLEET_SIZE} nodes:"]
    for label, chosen in (("probes", rows), ("everyone", baseline)):
        for name in ("sent_B/s", "received_B/s", "datagrams/s", "cpu_ms/s", "table_kb"):
            points = [(fleet_size(row), row.figures[name]) for row in chosen]
            if any(value != value for _size, value in points):
                continue
            line = fit_line(points)
            lines.append(
                f"  {label} {name}: {line.fixed:.4g} + {line.per_unit:.4g} x nodes"
                f" = {line.at(FULL_FLEET_SIZE):.4g}"
            )
    return "\n".join(lines)
