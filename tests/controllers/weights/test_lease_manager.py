"""Tests of the lease manager with the stand-in log: outages, trimming, replaced holders."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp

from samphirecleat.blackboard import Blackboard, Identity
from samphirecleat.config import (
    ConfigState,
    LogRecord,
    Publication,
    fold_records,
    publication_payload,
)
from samphirecleat.controllers.weights import LeaseManager
from samphirecleat.observe import Observer
from samphirecleat.platform import HttpLog
from samphirecleat.standins import StandInLog

from ...config.texts import text_of

LEASE = "weights/asesor"
LEASE_S = 0.6
LONGEST_ORDER_S = 0.3


class Process:
    """A process that competes for the lease; ``tasks`` read the log and claim the lease."""

    def __init__(self, log: HttpLog, node_id: str) -> None:
        board = Blackboard(Identity(node_id, node_id, "bilbao-a", "", ""))
        payload = publication_payload(Publication("p", -1, text_of("asesor"), "ana"))
        board.config = fold_records(ConfigState(), [LogRecord(0, payload)], 0)
        self.manager = LeaseManager(
            board,
            log,
            Observer(node_id),
            random.Random(1),
            lease_s=LEASE_S,
            grace_s=LONGEST_ORDER_S,
            log_wait_s=0.1,
        )
        # Always a candidate, as a node is that sees no other members in a partition.
        self.manager._should_read = lambda: True  # type: ignore[method-assign]
        self.tasks = [
            asyncio.ensure_future(self.manager.drive_reading()),
            asyncio.ensure_future(self._claim_periodically()),
        ]

    def fencing_number(self) -> int | None:
        """Return the fencing number with which this process may order now, or None."""
        return self.manager.order_fencing_number(LEASE, asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Stop the process without releasing the lease."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _claim_periodically(self) -> None:
        while True:
            await self.manager.claim_or_renew(LEASE)
            await asyncio.sleep(0.02)


@asynccontextmanager
async def platform() -> AsyncIterator[tuple[StandInLog, HttpLog]]:
    stand_in = StandInLog()
    await stand_in.start()
    try:
        async with aiohttp.ClientSession() as session:
            yield stand_in, HttpLog(session, stand_in.url, timeout_s=0.5)
    finally:
        await stand_in.stop()


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(scenario())  # type: ignore[arg-type]


def test_successor_of_dead_holder_gets_higher_fencing_number() -> None:
    """Guards against confusing a dead coordinator's orders with its successor's."""

    async def scenario() -> None:
        async with platform() as (_stand_in, log):
            first = Process(log, "n1")
            await wait_until(lambda: first.fencing_number() is not None)
            number = first.fencing_number()
            second = Process(log, "n2")
            await first.stop()
            await wait_until(lambda: second.fencing_number() is not None)
            assert second.fencing_number() > number
            await second.stop()

    run(scenario)


def test_holder_cut_off_from_log_stops_and_returns_with_new_number() -> None:
    """Guards against orders under a lease that expired during a log outage."""

    async def scenario() -> None:
        async with platform() as (stand_in, log):
            holder = Process(log, "n1")
            await wait_until(lambda: holder.fencing_number() is not None)
            number = holder.fencing_number()
            stand_in.down = True
            await wait_until(lambda: holder.fencing_number() is None)
            await asyncio.sleep(LEASE_S)
            stand_in.down = False
            await wait_until(lambda: holder.fencing_number() is not None)
            assert holder.fencing_number() > number
            await holder.stop()

    run(scenario)


def test_lease_is_claimed_after_all_processes_replaced_and_stream_trimmed() -> None:
    """Guards against a lease left unclaimed because no node or record names the last holder."""

    async def scenario() -> None:
        async with platform() as (stand_in, log):
            old = Process(log, "n1")
            await wait_until(lambda: old.fencing_number() is not None)
            await old.stop()
            stand_in.retention_s = 0.0
            last = (await log.read("control", 0, 0.0)).next_offset
            stand_in.retention_s = 3600.0
            new = Process(log, "n2")
            await wait_until(lambda: new.fencing_number() is not None)
            assert new.fencing_number() >= last
            await new.stop()

    run(scenario)
