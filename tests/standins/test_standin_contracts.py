"""What the stand-ins promise, so that checks can rest on their ledgers."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from samphirecleat.config import LogRecord
from samphirecleat.platform import AppendOutcome, HttpLog, LogUnavailableError
from samphirecleat.standins import (
    HostRow,
    StandInEngine,
    StandInHostList,
    StandInLog,
    StandInPlainService,
    StandInServer,
    StandInWeightStore,
)

Body = Callable[[aiohttp.ClientSession], Awaitable[None]]


def run_with(stand_in: StandInServer, body: Body) -> None:
    async def run() -> None:
        await stand_in.start()
        try:
            async with aiohttp.ClientSession() as session:
                await asyncio.wait_for(body(session), 10.0)
        finally:
            await stand_in.stop()

    asyncio.run(run())


def test_the_log_keeps_offsets_when_it_trims() -> None:
    log = StandInLog()

    async def body(session: aiohttp.ClientSession) -> None:
        client = HttpLog(session, log.url)
        for number in range(3):
            await client.append("s", {"n": number})
        log.trim(older_than_s=0.0)
        await client.append("s", {"n": 3})
        batch = await client.read("s", 0, 0.0)
        assert batch.records == [LogRecord(3, {"n": 3})]
        assert (batch.first_kept_offset, batch.next_offset) == (3, 4)

    run_with(log, body)


def test_the_log_enters_an_append_in_its_ledger_although_its_answer_is_lost() -> None:
    """The log takes a record and the connection ends before it has answered.

    The appender can not tell whether its record stands in the log.
    """
    log = StandInLog()
    log.lose_answers = 1

    async def body(session: aiohttp.ClientSession) -> None:
        appended = await HttpLog(session, log.url).append("s", {"n": 1})
        assert appended.outcome is AppendOutcome.UNKNOWN

    run_with(log, body)
    assert [append.payload for append in log.appends] == [{"n": 1}]


def test_a_log_that_is_down_takes_nothing() -> None:
    log = StandInLog()
    log.down = True

    async def body(session: aiohttp.ClientSession) -> None:
        client = HttpLog(session, log.url)
        appended = await client.append("s", {})
        assert appended.outcome is not AppendOutcome.APPENDED
        with pytest.raises(LogUnavailableError):
            await client.read("s", 0, 0.0)

    run_with(log, body)
    assert log.appends == []


def test_the_log_refuses_appends_above_its_rate() -> None:
    log = StandInLog(appends_per_s=2)

    async def body(session: aiohttp.ClientSession) -> None:
        client = HttpLog(session, log.url)
        ends = [(await client.append("s", {})).outcome for _append in range(3)]
        assert ends.count(AppendOutcome.NOT_APPENDED) == 1

    run_with(log, body)
    assert len(log.appends) == 2


def test_the_host_list_shows_a_change_only_after_its_lag() -> None:
    host_list = StandInHostList(lag_s=0.2)
    host_list.put(HostRow("10.0.0.1:1", "s", "z"), at_once=True)
    host_list.put_all([HostRow("10.0.0.2:1", "s", "z")])
    assert [row.address for row in host_list.visible_rows()] == ["10.0.0.1:1"]

    async def body(_session: aiohttp.ClientSession) -> None:
        while [row.address for row in host_list.visible_rows()] != ["10.0.0.2:1"]:
            await asyncio.sleep(0.02)

    run_with(host_list, body)


def test_an_engine_enters_what_it_ran_and_refuses_before_it_runs() -> None:
    engine = StandInEngine("s", "z", "http://127.0.0.1:9")
    engine.refuse_next = 1

    async def body(session: aiohttp.ClientSession) -> None:
        order = {"request_id": "r", "prompt": "p", "max_tokens": 3}
        statuses = []
        for _request in range(2):
            async with session.post(f"{engine.url}/v1/generate", json=order) as response:
                statuses.append(response.status)
                await response.read()
        assert statuses == [503, 200]

    run_with(engine, body)
    assert [(run.ended, run.spans) for run in engine.runs] == [(True, [[0, 3]])]
    assert len(engine.arrivals) == 2


def test_an_engine_that_checks_fencing_refuses_a_lower_number() -> None:
    """A coordinator wakes up after its lease has gone to another, and orders.

    Without the check, the engine would go back to old weights.
    """
    engine = StandInEngine("s", "z", "http://127.0.0.1:9")

    async def body(session: aiohttp.ClientSession) -> None:
        statuses = []
        for fencing in (7, 6):
            order = {"kind": "load_version", "version": 1, "fencing": fencing}
            async with session.post(f"{engine.url}/v1/orders", json=order) as response:
                statuses.append(response.status)
        assert statuses == [200, 409]

    run_with(engine, body)
    assert engine.refused_orders == 1


def test_a_silent_connection_stays_silent_and_a_new_one_works() -> None:
    """Something between the two ends forgets a connection that stands open.

    What was sent on it never gets an answer, while a new one is answered.
    """
    server = StandInPlainService("s", "z")

    async def body(session: aiohttp.ClientSession) -> None:
        url, headers = f"{server.url}/v1/call/m", {"x-request-id": "r"}
        async with session.post(url, json={}, headers=headers) as response:
            await response.read()
        server.silence_open_connections()
        timeout = aiohttp.ClientTimeout(total=0.3)
        with pytest.raises(TimeoutError):
            await session.post(url, json={}, headers=headers, timeout=timeout)
        async with (
            aiohttp.ClientSession() as other,
            other.post(url, json={}, headers=headers) as response,
        ):
            assert response.status == 200

    run_with(server, body)


def test_the_weight_store_refuses_loads_above_its_limit() -> None:
    store = StandInWeightStore(parallel_loads=1, load_s=0.2)

    async def body(session: aiohttp.ClientSession) -> None:
        async def load() -> int:
            async with session.get(f"{store.url}/v1/services/s/versions/1") as response:
                return response.status

        assert sorted(await asyncio.gather(load(), load())) == [200, 429]

    run_with(store, body)
