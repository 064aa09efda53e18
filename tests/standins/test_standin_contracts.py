"""The guarantees of the stand-ins on which trial checks and other tests rely."""

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


def run_with_server(stand_in: StandInServer, body: Body) -> None:
    async def run() -> None:
        await stand_in.start()
        try:
            async with aiohttp.ClientSession() as session:
                await asyncio.wait_for(body(session), 10.0)
        finally:
            await stand_in.stop()

    asyncio.run(run())


def test_log_keeps_offsets_after_trim() -> None:
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

    run_with_server(log, body)


def test_log_records_append_whose_response_is_lost() -> None:
    """The log stores a record and the connection closes before the response.

    The client cannot tell whether the record was appended.
    """
    log = StandInLog()
    log.lose_answers = 1

    async def body(session: aiohttp.ClientSession) -> None:
        appended = await HttpLog(session, log.url).append("s", {"n": 1})
        assert appended.outcome is AppendOutcome.UNKNOWN

    run_with_server(log, body)
    assert [append.payload for append in log.appends] == [{"n": 1}]


def test_log_that_is_down_stores_nothing() -> None:
    log = StandInLog()
    log.down = True

    async def body(session: aiohttp.ClientSession) -> None:
        client = HttpLog(session, log.url)
        appended = await client.append("s", {})
        assert appended.outcome is not AppendOutcome.APPENDED
        with pytest.raises(LogUnavailableError):
            await client.read("s", 0, 0.0)

    run_with_server(log, body)
    assert log.appends == []


def test_log_refuses_appends_above_rate() -> None:
    log = StandInLog(appends_per_s=2)

    async def body(session: aiohttp.ClientSession) -> None:
        client = HttpLog(session, log.url)
        outcomes = [(await client.append("s", {})).outcome for _append in range(3)]
        assert outcomes.count(AppendOutcome.NOT_APPENDED) == 1

    run_with_server(log, body)
    assert len(log.appends) == 2


def test_host_list_serves_change_after_lag() -> None:
    host_list = StandInHostList(lag_s=0.2)
    host_list.put(HostRow("10.0.0.1:1", "s", "z"), at_once=True)
    host_list.put_all([HostRow("10.0.0.2:1", "s", "z")])
    assert [row.address for row in host_list.visible_rows()] == ["10.0.0.1:1"]

    async def body(_session: aiohttp.ClientSession) -> None:
        while [row.address for row in host_list.visible_rows()] != ["10.0.0.2:1"]:
            await asyncio.sleep(0.02)

    run_with_server(host_list, body)


def test_engine_records_runs_and_refuses_before_running() -> None:
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

    run_with_server(engine, body)
    assert [(run.ended, run.spans) for run in engine.runs] == [(True, [[0, 3]])]
    assert len(engine.arrivals) == 2


def test_engine_refuses_order_with_lower_fencing_token() -> None:
    """A paused coordinator resumes after losing its lease and sends an old order.

    Without the fencing check, the engine would load outdated weights.
    """
    engine = StandInEngine("s", "z", "http://127.0.0.1:9")

    async def body(session: aiohttp.ClientSession) -> None:
        statuses = []
        for fencing in (7, 6):
            order = {"kind": "load_version", "version": 1, "fencing": fencing}
            async with session.post(f"{engine.url}/v1/orders", json=order) as response:
                statuses.append(response.status)
        assert statuses == [200, 409]

    run_with_server(engine, body)
    assert engine.refused_orders == 1


def test_silenced_connection_never_answers_and_new_connection_works() -> None:
    """A middlebox drops the state of an open connection.

    Requests on that connection never get a response; a new connection works.
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

    run_with_server(server, body)


def test_weight_store_refuses_loads_above_limit() -> None:
    store = StandInWeightStore(parallel_loads=1, load_s=0.2)

    async def body(session: aiohttp.ClientSession) -> None:
        async def load() -> int:
            async with session.get(f"{store.url}/v1/services/s/versions/1") as response:
                return response.status

        assert sorted(await asyncio.gather(load(), load())) == [200, 429]

    run_with_server(store, body)
