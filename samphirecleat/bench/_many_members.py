"""One part of a fleet that is too large for one process: start this several times.

The first part writes its addresses to a file and the others join through them. Each
prints the cost of its nodes. The first part also lets one of its nodes leave and
another die without a word, and every part prints when all of its nodes knew.
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
from ._member_fleet import POLL_S, MemberFleet, MemberNode
from ._membership import measure_steady

LEAVER: Final = "node-3"
VICTIM: Final = "node-4"
JOIN_LIMIT_S: Final = 60.0
EVENT_LIMIT_S: Final = 20.0
APART_S: Final = 0.2
SEEDS: Final = 3


async def _run(part: int, parts: int, nodes: int, targets: int, seeds_file: str) -> dict[str, Any]:
    seeds = [] if part == 0 else await _read_seeds(seeds_file)
    first_index = part * nodes
    fleet = MemberFleet(
        nodes, targets, Timings(), first_index=first_index, seeds=seeds, apart_s=APART_S
    )
    starting = asyncio.create_task(fleet.start())
    if part == 0:
        await asyncio.sleep(APART_S * SEEDS * 2)
        _write_seeds(seeds_file, fleet.seeds)
    await starting
    size = parts * nodes
    began_s = time.monotonic()
    joined = await _until(lambda: all(_count(node) == size for node in fleet.nodes), JOIN_LIMIT_S)
    result: dict[str, Any] = {
        "part": part,
        "joined": joined,
        "joined_s": time.monotonic() - began_s,
    }
    await _at_common_time(20.0)
    result.update(await measure_steady(fleet))
    await _at_common_time(20.0)
    if part == 0:
        _node(fleet, LEAVER).leave()
    result["leave_known_s"] = await _known_after(fleet, lambda n: _leaving(n, LEAVER))
    await _at_common_time(20.0)
    if part == 0:
        victim = _node(fleet, VICTIM)
        fleet.nodes.remove(victim)
        await victim.stop()
    result["death_known_s"] = await _known_after(fleet, lambda n: not _alive(n, VICTIM))
    await _at_common_time(20.0)
    await fleet.stop()
    return result


async def _at_common_time(period_s: float) -> None:
    """Wait for the next common moment of all parts, which share one host's clock."""
    now_s = time.time()
    await asyncio.sleep(period_s - now_s % period_s)


async def _read_seeds(seeds_file: str) -> Sequence[str]:
    while not (seeds := _seeds_written(seeds_file)):
        await asyncio.sleep(0.1)
    return seeds


def _seeds_written(seeds_file: str) -> Sequence[str]:
    path = Path(seeds_file)
    seeds: Sequence[str] = json.loads(path.read_text()) if path.exists() else []
    return seeds


def _write_seeds(seeds_file: str, seeds: Sequence[str]) -> None:
    # Renamed into place, so that nobody reads half of it.
    half = Path(f"{seeds_file}.half")
    half.write_text(json.dumps(list(seeds)))
    half.rename(seeds_file)


async def _known_after(fleet: MemberFleet, known: Callable[[MemberNode], bool]) -> float:
    began_s = time.monotonic()
    done = await _until(lambda: all(known(node) for node in fleet.nodes), EVENT_LIMIT_S - 5.0)
    return time.monotonic() - began_s if done else float("inf")


async def _until(condition: Callable[[], bool], limit_s: float) -> bool:
    give_up_at_s = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > give_up_at_s:
            return False
        await asyncio.sleep(POLL_S * 5)
    return True


def _node(fleet: MemberFleet, node_id: str) -> MemberNode:
    return next(node for node in fleet.nodes if node.board.identity.node_id == node_id)


def _count(node: MemberNode) -> int:
    return len(node.board.live_members())


def _leaving(node: MemberNode, node_id: str) -> bool:
    view = node.board.members.get(node_id)
    return view is not None and view.member.leaving


def _alive(node: MemberNode, node_id: str) -> bool:
    view = node.board.members.get(node_id)
    return view is not None and view.alive


def main(part: int, parts: int, nodes: int, targets: int, seeds_file: str) -> None:
    """Run part ``part`` of ``parts`` with ``nodes`` nodes and print its figures as JSON."""
    print(json.dumps(uvloop.run(_run(part, parts, nodes, targets, seeds_file))))


if __name__ == "__main__":
    fire.Fire(main)
