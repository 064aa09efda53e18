"""Tests of the records of calls that crash their targets: restarts, duplicates, failures."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from samphirecleat.crashes import CrashedRun, CrashLedger, CrashVerdict
from samphirecleat.durable import CrashRecords
from samphirecleat.durable._crash_records import CRASH_TOPIC, OTHER_WRITERS_DELAY_S
from samphirecleat.observe import Observer

from ..fleets import until
from .memory_log import MemoryLog

CALL = b"\x05" * 12


class Node:
    """A node with its own ledger and crash records, on a shared log."""

    def __init__(self, log: MemoryLog, seed: int) -> None:
        self.ledger = CrashLedger()
        self.records = CrashRecords(
            log, self.ledger, Observer(f"n{seed}"), random.Random(seed), lambda: 1
        )
        self.task = asyncio.ensure_future(self.records.run())

    def end_runs(self, *targets: str) -> None:
        now_s = asyncio.get_running_loop().time()
        for number, target in enumerate(targets):
            begun_s = now_s - 9.0 + number
            end = CrashedRun(target, begun_s, begun_s + 0.5, "n")
            if self.ledger.record_crash(CALL, end, now_s):
                self.records.record(CALL, own=True)

    def verdict(self) -> CrashVerdict:
        return self.ledger.verdict(CALL, asyncio.get_running_loop().time())

    async def stop(self) -> None:
        self.task.cancel()
        with suppress(asyncio.CancelledError):
            await self.task


def run_fleet(body: Callable[[MemoryLog, list[Node]], Awaitable[None]], nodes: int = 2) -> None:
    async def main() -> None:
        log = MemoryLog()
        fleet = [Node(log, seed) for seed in range(nodes)]
        try:
            await until(lambda: all(node.records.caught_up for node in fleet))
            await body(log, fleet)
        finally:
            for node in fleet:
                await node.stop()

    asyncio.run(main())


def appends(log: MemoryLog) -> int:
    return log.topic(CRASH_TOPIC).appends


def test_refused_call_stays_refused_after_loss_of_all_nodes() -> None:
    """All nodes lose power while a request that crashes its targets is still being retried."""

    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        fleet[0].end_runs("a", "b", "c")
        assert fleet[0].verdict() is CrashVerdict.REFUSED
        fleet[0].records.record(CALL, own=True)
        await until(lambda: fleet[1].verdict() is CrashVerdict.REFUSED)
        for node in fleet:
            await node.stop()
        fleet[:] = [Node(log, 7)]
        await until(lambda: fleet[0].records.caught_up)
        assert fleet[0].verdict() is CrashVerdict.REFUSED

    run_fleet(body)


def test_earlier_crashes_count_after_a_restart() -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        fleet[0].end_runs("a", "b")
        await until(lambda: appends(log) == 1)
        await fleet[1].stop()
        fleet[1] = Node(log, 8)
        await until(lambda: fleet[1].records.caught_up)
        assert fleet[1].verdict() is CrashVerdict.SUSPECT
        fleet[1].end_runs("a", "b", "c")
        assert fleet[1].verdict() is CrashVerdict.REFUSED

    run_fleet(body)


def test_single_crash_is_not_recorded_and_several_are_recorded_once() -> None:
    """Guards against a record per call of a crashed busy target, which would exhaust the log."""

    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        for node in fleet:
            node.end_runs("a")
        await asyncio.sleep(0.15)
        assert appends(log) == 0
        for number, node in enumerate(fleet):
            node.ledger.record_crash(CALL, CrashedRun("b", 1.0, 2.0, "n"), 2.0)
            node.records.record(CALL, own=number == 0)
        await until(lambda: appends(log) == 1)
        await asyncio.sleep(OTHER_WRITERS_DELAY_S + 0.3)
        assert appends(log) == 1

    run_fleet(body, nodes=5)


def test_record_of_lost_nodes_is_written_by_another_node() -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        fleet[0].ledger.record_crash(CALL, CrashedRun("a", 0.0, 1.0, "lost"), 2.0)
        fleet[0].ledger.record_crash(CALL, CrashedRun("b", 1.0, 2.0, "lost"), 2.0)
        fleet[0].records.record(CALL, own=False)
        await until(lambda: CALL in fleet[1].ledger.suspects)

    run_fleet(body)


def test_rejected_appends_are_retried_with_backoff() -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        log.topic(CRASH_TOPIC).answers = ["refused"] * 100
        fleet[0].end_runs("a", "b")
        await asyncio.sleep(1.6)
        assert 2 <= appends(log) <= 5

    run_fleet(body)


@pytest.mark.parametrize("answer", ["refused", "lost", "late"])
def test_unconfirmed_record_is_written_again(answer: str) -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        log.topic(CRASH_TOPIC).answers = [answer]
        fleet[0].end_runs("a", "b")
        await until(lambda: len(fleet[1].ledger.suspects) == 1)
        assert set(fleet[1].ledger.suspects[CALL].crashed_runs) == {"a", "b"}

    run_fleet(body)


def test_successful_call_deletes_the_record_at_all_nodes() -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        fleet[0].end_runs("a", "b", "c")
        await until(lambda: len(fleet[1].ledger.suspects) == 1)
        assert fleet[0].ledger.record_answer(CALL, asyncio.get_running_loop().time())
        fleet[0].records.record(CALL, own=True)
        await until(lambda: not fleet[1].ledger.suspects)
        assert (await log.newest(CRASH_TOPIC)).entries == []

    run_fleet(body)


def test_malformed_record_is_skipped() -> None:
    async def body(log: MemoryLog, fleet: list[Node]) -> None:
        await log.append(CRASH_TOPIC, [("no digest", b"{"), (CALL.hex(), b"[1]")])
        fleet[0].end_runs("a", "b")
        await until(lambda: CALL in fleet[1].ledger.suspects)

    run_fleet(body)
