"""One part of a fleet that is too large for one process; run it once for each part.

The first part writes the addresses of its first nodes to a file and the others join through them.
Each part prints the cost of its nodes. In the first part one node leaves and another is killed,
and every part prints how long it took until all of its nodes knew.
"""

import asyncio
import json
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

import fire
import uvloop

from ..settings import Timings
from ._member_fleet import POLL_INTERVAL_S, MemberFleet, MemberNode
from ._membership import measure_steady

LEAVING_NODE: Final = "node-3"
KILLED_NODE: Final = "node-4"
JOIN_TIMEOUT_S: Final = 60.0
EVENT_TIMEOUT_S: Final = 20.0
START_INTERVAL_S: Final = 0.2
SEED_COUNT: Final = 3


async def _run(part: int, parts: int, nodes: int, targets: int, seeds_file: str) -> dict[str, Any]:
    seeds = [] if part == 0 else await _wait_for_seeds(seeds_file)
    first_index = part * nodes
    fleet = MemberFleet(
        nodes,
        targets,
        Timings(),
        first_index=first_index,
        seeds=seeds,
        start_interval_s=START_INTERVAL_S,
    )
    starting = asyncio.create_task(fleet.start())
    if part == 0:
        await asyncio.sleep(START_INTERVAL_S * SEED_COUNT * 2)
        _write_seeds(seeds_file, fleet.seeds)
    await starting
    size = parts * nodes
    started_at_s = time.monotonic()
    joined = await _wait_until(
        lambda: all(_live_count(node) == size for node in fleet.nodes), JOIN_TIMEOUT_S
    )
    result: dict[str, Any] = {
        "part": part,
        "joined": joined,
        "joined_s": time.monotonic() - started_at_s,
    }
    await _wait_for_common_time(20.0)
    result.update(await measure_steady(fleet))
    await _wait_for_common_time(20.0)
    if part == 0:
        _find_node(fleet, LEAVING_NODE).leave()
    result["leave_known_s"] = await _time_until_known(fleet, lambda n: _is_leaving(n, LEAVING_NODE))
    await _wait_for_common_time(20.0)
    if part == 0:
        killed = _find_node(fleet, KILLED_NODE)
        fleet.nodes.remove(killed)
        await killed.stop()
    result["death_known_s"] = await _time_until_known(
        fleet, lambda n: not _is_alive(n, KILLED_NODE)
    )
    await _wait_for_common_time(20.0)
    await fleet.stop()
    return result


async def _wait_for_common_time(period_s: float) -> None:
    """Wait until the clock of the host, which all parts share, is at a multiple of ``period_s``."""
    now_s = time.time()
    await asyncio.sleep(period_s - now_s % period_s)


async def _wait_for_seeds(seeds_file: str) -> Sequence[str]:
    while not (seeds := _load_seeds(seeds_file)):
        await asyncio.sleep(0.1)
    return seeds


def _load_seeds(seeds_file: str) -> Sequence[str]:
    path = Path(seeds_file)
    seeds: Sequence[str] = json.loads(path.read_text()) if path.exists() else []
    return seeds


def _write_seeds(seeds_file: str, seeds: Sequence[str]) -> None:
    # Renamed into place, so that other parts never read an incomplete file.
    incomplete = Path(f"{seeds_file}.half")
    incomplete.write_text(json.dumps(list(seeds)))
    incomplete.rename(seeds_file)


async def _time_until_known(fleet: MemberFleet, known: Callable[[MemberNode], bool]) -> float:
    started_at_s = time.monotonic()
    done = await _wait_until(
        lambda: all(known(node) for node in fleet.nodes), EVENT_TIMEOUT_S - 5.0
    )
    return time.monotonic() - started_at_s if done else float("inf")


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            return False
        await asyncio.sleep(POLL_INTERVAL_S * 5)
    return True


def _find_node(fleet: MemberFleet, node_id: str) -> MemberNode:
    return next(node for node in fleet.nodes if node.board.identity.node_id == node_id)


def _live_count(node: MemberNode) -> int:
    return len(node.board.live_members())


def _is_leaving(node: MemberNode, node_id: str) -> bool:
    view = node.board.members.get(node_id)
    return view is not None and view.member.leaving


def _is_alive(node: MemberNode, node_id: str) -> bool:
    view = node.board.members.get(node_id)
    return view is not None and view.alive


def main(part: int, parts: int, nodes: int, targets: int, seeds_file: str) -> None:
    """Run part ``part``, from 0, of ``parts`` with ``nodes`` nodes; print its figures as JSON.

    ``seeds_file`` is the path of the file through which the parts find each other.
    """
    print(json.dumps(uvloop.run(_run(part, parts, nodes, targets, seeds_file))))


if __name__ == "__main__":
    fire.Fire(main)
