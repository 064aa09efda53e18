"""Sizes of members, targets and spans in memory and in datagrams; time of membership changes.

Run it as ``python -m samphirecleat.bench._state_sizes``.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Final

import msgspec
from tabulate import tabulate

from ..blackboard import Member, TargetView
from ..controllers.membership import MemberTable
from ..controllers.targets import TargetGossip
from ..observe import Observer
from ..peers import MemberRow, RendezvousOwners, TargetLoad, TargetRow

NODE_COUNT: Final = 390
TARGET_COUNT: Final = 600
NODES_PER_ZONE: Final = 78
SPAN_COUNT: Final = 1000
MEMBER: Final = Member(
    node_id="node-123",
    incarnation="0123456789ab",
    started_at_ms=1_764_700_000_000,
    zone="ar-centro-a",
    http_address="10.20.30.40:8000",
    peer_address="10.20.30.40:7000",
    sequence=123_456,
    leaving=False,
    ready=True,
    config_revision=1234,
    key_epoch=17,
    in_flight=5,
)


def main() -> None:
    """Measure and print the table."""
    rows = [*_wire_rows(), *_memory_rows(), *_time_rows()]
    print(tabulate(rows, headers=["", "value", "unit"], floatfmt=".3g"))


def _wire_rows() -> list[tuple[str, float, str]]:
    load = TargetLoad(4_000_000_000, 5, 2, 1300, 1500)
    target = TargetRow(
        "10.20.30.40:8000", "boot-0123456789", 123, False, False, True, 5, 2, 8, 1300, 1500
    )
    return [
        ("member row in a datagram", _packed_bytes(MemberRow(MEMBER, 1234)), "bytes"),
        ("target load in a datagram", _packed_bytes(load), "bytes"),
        ("target row in a datagram", _packed_bytes(target), "bytes"),
    ]


def _memory_rows() -> list[tuple[str, float, str]]:
    tracemalloc.start()
    rows = [
        ("member in memory", _traced_bytes(_fill_members) / NODE_COUNT, "bytes"),
        ("target in memory", _traced_bytes(_fill_targets) / TARGET_COUNT, "bytes"),
        ("span in memory", _traced_bytes(_fill_spans) / SPAN_COUNT, "bytes"),
    ]
    tracemalloc.stop()
    return rows


def _time_rows() -> list[tuple[str, float, str]]:
    node_ids = [f"node-{index}" for index in range(NODE_COUNT)]
    targets = [f"target-{index}" for index in range(TARGET_COUNT)]
    owners = RendezvousOwners()
    rows = []
    for name, present in (
        ("watchers found anew", node_ids),
        ("watchers after one node left", node_ids[:-1]),
        ("watchers after one node joined", node_ids),
        ("watchers after a zone was lost", node_ids[:-NODES_PER_ZONE]),
    ):
        started_at_s = time.perf_counter()
        owners.update(present, targets)
        rows.append((name, (time.perf_counter() - started_at_s) * 1000.0, "ms"))
    started_at_s = time.perf_counter()
    _fill_spans()
    rows.append(("span", (time.perf_counter() - started_at_s) / SPAN_COUNT * 1000.0, "ms"))
    return rows


def _packed_bytes(row: MemberRow | TargetLoad | TargetRow) -> float:
    return float(len(msgspec.msgpack.encode(row)))


def _traced_bytes(fill: Callable[[], object]) -> float:
    before = tracemalloc.get_traced_memory()[0]
    filled = fill()
    after = tracemalloc.get_traced_memory()[0]
    del filled
    return float(after - before)


def _fill_members() -> object:
    table = MemberTable()
    for index in range(NODE_COUNT):
        row = MEMBER._replace(node_id=f"node-{index}", incarnation=f"{index:012x}")
        table.merge(msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=Member), 0.0, 10.0)
    return table


def _fill_targets() -> object:
    gossip = TargetGossip()
    views = {}
    for index in range(TARGET_COUNT):
        address = f"10.0.{index // 250}.{index % 250}:8000"
        view = TargetView(address, "engine", "zone-a", f"boot-{index}", 7, reported_at_s=index)
        gossip.record_report(view, 10.0, 10.0)
        views[address] = view._replace(running=1)
    return gossip, views


def _fill_spans() -> object:
    observer = Observer("sizes")
    for _number in range(SPAN_COUNT):
        with observer.span("entry", ""):
            pass
    return observer


if __name__ == "__main__":
    main()
