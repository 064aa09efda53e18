"""The driver of the leases against the stand-in log: outages, trims, replaced holders."""

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
ORDER_S = 0.3


class Process:
    """One process that wants the lease; ``task`` reads the log and keeps the lease."""

    def __init__(self, log: HttpLog, node_id: str) -> None:
        board = Blackboard(Identity(node_id, node_id, "bilbao-a", "", ""))
        made = publication_payload(Publication("p", -1, text_of("asesor"), "ana"))
        board.config = fold_records(ConfigState(), [LogRecord(0, made)], 0)
        self.keeper = LeaseManager(
            board,
            log,
            Observer(node_id),
            random.Random(1),
            lease_s=LEASE_S,
            grace_s=ORDER_S,
            log_wait_s=0.1,
        )
        # Alone in its own view of the members, as in a partition: it is a candidate.
        self.keeper._should_read = lambda: True  # type: ignore[method-assign]
        self.tasks = [
            asyncio.ensure_future(self.keeper.drive_reading()),
            asyncio.ensure_future(self._keep()),
        ]

    def fencing(self) -> int | None:
        """Return the number under which this process may order now."""
        return self.keeper.may_order(LEASE, asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """End the process at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _keep(self) -> None:
        while True:
            await self.keeper.keep(LEASE)
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


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20.0):
        while not condition():
            await asyncio.sleep(0.01)


def run(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(work())  # type: ignore[arg-type]


def test_a_dead_holder_is_followed_by_a_higher_number() -> None:
    """The coordinator's process dies; its orders must not be taken for the next one's."""

    async def work() -> None:
        async with platform() as (_stand_in, log):
            first = Process(log, "n1")
            await until(lambda: first.fencing() is not None)
            number = first.fencing()
            second = Process(log, "n2")
            await first.stop()
            await until(lambda: second.fencing() is not None)
            assert second.fencing() > number
            await second.stop()

    run(work)


def test_a_holder_that_cannot_renew_stops_and_comes_back_with_a_new_number() -> None:
    """The log is out for longer than the lease lasts."""

    async def work() -> None:
        async with platform() as (stand_in, log):
            holder = Process(log, "n1")
            await until(lambda: holder.fencing() is not None)
            number = holder.fencing()
            stand_in.down = True
            await until(lambda: holder.fencing() is None)
            await asyncio.sleep(LEASE_S)
            stand_in.down = False
            await until(lambda: holder.fencing() is not None)
            assert holder.fencing() > number
            await holder.stop()

    run(work)


def test_all_processes_replaced_and_the_stream_trimmed() -> None:
    """Nobody is left who knows the last holder, and the log does not tell."""

    async def work() -> None:
        async with platform() as (stand_in, log):
            old = Process(log, "n1")
            await until(lambda: old.fencing() is not None)
            await old.stop()
            stand_in.retention_s = 0.0
            last = (await log.read("control", 0, 0.0)).next_offset
            stand_in.retention_s = 3600.0
            new = Process(log, "n2")
            await until(lambda: new.fencing() is not None)
            assert new.fencing() >= last
            await new.stop()

    run(work)
