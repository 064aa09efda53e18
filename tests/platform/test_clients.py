"""Contract of the log and host list clients, with stand-ins and malformed responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import pytest
from aiohttp import web

from samphirecleat.platform import (
    AdaptiveReadTimeout,
    AppendOutcome,
    HostListUnavailableError,
    HttpHostList,
    HttpLog,
    LogUnavailableError,
)
from samphirecleat.platform._log import MAX_READ_TIMEOUT_S, MIN_READ_TIMEOUT_S
from samphirecleat.standins import HostRow, StandInHostList, StandInLog, StandInServer

T = TypeVar("T")
RECORD = {"type": "other"}


class FixedResponseServer(StandInServer):
    """Answers every request with the same status and body."""

    def __init__(self, status: int, body: str) -> None:
        """Answer with ``body`` as JSON, valid or not."""
        super().__init__()
        self.status = status
        self.body = body

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Handle every path."""
        router.add_route("*", "/{path:.*}", self._answer)

    async def _answer(self, _request: web.Request) -> web.StreamResponse:
        return web.Response(text=self.body, status=self.status, content_type="application/json")


def serve(server: StandInServer, work: Callable[[aiohttp.ClientSession, str], Awaitable[T]]) -> T:
    async def run() -> T:
        await server.start()
        try:
            async with aiohttp.ClientSession() as session:
                return await work(session, server.url)
        finally:
            await server.stop()

    return asyncio.run(run())


def faulty_log(fault: str) -> StandInLog:
    log = StandInLog()
    match fault:
        case "down":
            log.down = True
        case "slow":
            log.slow_s = 5.0
        case "answer lost":
            log.lose_answers = 1
        case "over its rate":
            log.appends_per_s = 0
    return log


APPENDS = {
    "none": AppendOutcome.APPENDED,
    "down": AppendOutcome.UNKNOWN,
    "slow": AppendOutcome.UNKNOWN,
    "answer lost": AppendOutcome.UNKNOWN,
    "over its rate": AppendOutcome.NOT_APPENDED,
}


@pytest.mark.parametrize("fault", APPENDS)
def test_append_outcome(fault: str) -> None:
    """The log is down, slow, over its rate limit, or loses the response to an append.

    Guards against a wrong NOT_APPENDED, after which the record would be appended twice.
    """
    log = faulty_log(fault)

    async def work(session: aiohttp.ClientSession, url: str) -> AppendOutcome:
        return (await HttpLog(session, url, timeout_s=0.2).append("config", RECORD)).outcome

    outcome = serve(log, work)
    assert outcome is APPENDS[fault]
    if outcome is AppendOutcome.NOT_APPENDED:
        assert not log.appends


MALFORMED = {
    "no JSON": (200, "{"),
    "no object": (200, "[]"),
    "null": (200, "null"),
    "keys missing": (200, "{}"),
    "an offset that is no number": (200, '{"offset": "x", "records": [{"offset": "x"}]}'),
    "rows of another kind": (200, '{"records": [7], "hosts": [7]}'),
    "JSON nested too deeply": (200, "[" * 100_000),
    "a number that no float holds": (200, '{"offset": 1e999, "records": [{"offset": 1e999}]}'),
    "an error": (500, "{}"),
    "a refusal": (429, "{}"),
}


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_response_is_reported_as_failure(name: str) -> None:
    """A proxy answers in the platform's place."""
    server = FixedResponseServer(*MALFORMED[name])

    async def work(session: aiohttp.ClientSession, url: str) -> AppendOutcome:
        log = HttpLog(session, url)
        with pytest.raises(LogUnavailableError):
            await log.read("config", 0, 0.0)
        with pytest.raises(HostListUnavailableError):
            await HttpHostList(session, url).read()
        return (await log.append("config", RECORD)).outcome

    refused = MALFORMED[name][0] == 429
    expected = AppendOutcome.NOT_APPENDED if refused else AppendOutcome.UNKNOWN
    assert serve(server, work) is expected


def test_connection_refused() -> None:
    """A refused connection proves that nothing was appended; no other connection error does."""

    async def work(session: aiohttp.ClientSession, url: str) -> AppendOutcome:
        await server.stop()
        log = HttpLog(session, url)
        with pytest.raises(LogUnavailableError):
            await log.read("config", 0, 0.0)
        with pytest.raises(HostListUnavailableError):
            await HttpHostList(session, url).read()
        return (await log.append("config", RECORD)).outcome

    server = StandInLog()
    assert serve(server, work) is AppendOutcome.NOT_APPENDED


@pytest.mark.parametrize("fault", ["down", "slow"])
def test_read_without_response_times_out(fault: str) -> None:
    """Guards against a read that never returns: its reader would miss new configurations."""

    async def work(session: aiohttp.ClientSession, url: str) -> None:
        with pytest.raises(LogUnavailableError):
            await HttpLog(session, url).read("config", 0, 0.0, timeout_s=0.2)

    serve(faulty_log(fault), work)


def test_read_reports_trimmed_records() -> None:
    log = StandInLog()

    async def work(session: aiohttp.ClientSession, url: str) -> None:
        client = HttpLog(session, url)
        for _ in range(3):
            await client.append("config", RECORD)
        assert [record.offset for record in (await client.read("config", 1, 0.0)).records] == [1, 2]
        log.retention_s = 0.0
        batch = await client.read("config", 0, 0.0)
        assert (batch.records, batch.first_kept_offset, batch.next_offset) == ([], 3, 3)

    serve(log, work)


def test_append_wakes_waiting_read() -> None:
    async def work(session: aiohttp.ClientSession, url: str) -> None:
        client = HttpLog(session, url)
        waiting = asyncio.ensure_future(client.read("config", 0, 30.0))
        await asyncio.sleep(0.05)
        await client.append("config", RECORD)
        assert len((await asyncio.wait_for(waiting, 10.0)).records) == 1

    serve(StandInLog(), work)


def test_read_timeout_grows_while_log_is_slow_and_shrinks_slowly() -> None:
    """The read timeout is long only while the log is slow, so that dead connections fail soon."""
    log = faulty_log("down")

    async def work(session: aiohttp.ClientSession, url: str) -> None:
        client = HttpLog(session, url)
        read_timeout = AdaptiveReadTimeout()
        for _ in range(6):
            with pytest.raises(LogUnavailableError):
                await read_timeout.read(client, "config", 0, 0.0)
        assert read_timeout.timeout_s == MAX_READ_TIMEOUT_S
        log.down = False
        await read_timeout.read(client, "config", 0, 0.0)
        assert MIN_READ_TIMEOUT_S < read_timeout.timeout_s < MAX_READ_TIMEOUT_S

    serve(log, work)


def test_host_list_lags_and_marks_leaving_hosts() -> None:
    hosts = StandInHostList(lag_s=3600.0)
    hosts.put(HostRow("10.0.0.1:1", "asesor", "ar-centro-a", "leaving"), at_once=True)
    hosts.put(HostRow("10.0.0.2:1", "asesor", "ar-centro-b"))

    async def work(session: aiohttp.ClientSession, url: str) -> None:
        (row,) = await HttpHostList(session, url).read()
        assert (row.address, row.leaving) == ("10.0.0.1:1", True)
        hosts.down = True
        with pytest.raises(HostListUnavailableError):
            await HttpHostList(session, url).read()

    serve(hosts, work)
