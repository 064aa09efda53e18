"""Client of the platform's metadata store; implements the ports KeyedLog and PlainLog.

A node that the store refuses sends its calls through a peer, because the store may refuse some
hosts while it serves others. An append is retried through a peer only if it certainly had no
effect.
"""

import asyncio
import random
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from typing import Final, NamedTuple
from urllib.parse import quote, urlencode

import aiohttp
import msgspec
from yarl import URL

from .._decoding import MalformedError
from ..durable import (
    MAX_READ_BYTES,
    UNCONDITIONAL,
    AppendOutcome,
    AppendResult,
    HistoryGoneError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
)
from ..observe import Observer
from ._answers import RESPONSE_ERRORS
from ._record_framing import (
    UNREADABLE_KEY,
    decode_keyed_record,
    decode_newest_page,
    decode_records,
    encode_keyed_record,
    encode_records,
    parse_append_offset,
    parse_first_offset,
)
from ._store_routes import StoreRoute, StoreRoutes
from ._wire_names import PATH_APPEND, PATH_NEWEST, PATH_READ, PATH_TRIM, TOPIC_OPERATOR

# Timeout of a call, in addition to its requested wait. The store usually answers in milliseconds. A
# slow store can take sixty times as long, and an append can be queued there for up to two seconds,
# so the timeout grows with each call that timed out.
MIN_TIMEOUT_S: Final = 0.8
MAX_TIMEOUT_S: Final = 2.5
# While the direct route fails, a probe tries it at this interval and with its own timeout.
PROBE_INTERVAL_S: Final = 0.4
PROBE_TIMEOUT_S: Final = 1.0
# The response to a read starts with the end of the topic and its first retained offset, both as
# 8 bytes in big-endian order.
_READ_HEADER_BYTES: Final = 16


class StoreReply(NamedTuple):
    """A complete response of the store."""

    status: int
    body: bytes


class _NoReplyError(Exception):
    """A call got no response; ``may_have_run`` is False only if it certainly had no effect."""

    def __init__(self, detail: str, *, may_have_run: bool) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run


class MetadataStore:
    """Reads and writes the topics of the platform's log, with and without record keys."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        peers: Callable[[], Sequence[str]],
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Use the store at ``address``; ``peers`` returns the control addresses of live nodes."""
        self._session = session
        self._routes = StoreRoutes(address, peers, rng)
        self._probe_task: asyncio.Task[None] | None = None
        self._observer = observer
        self._logger = observer.log("store")
        self._timeout_s = MIN_TIMEOUT_S

    async def newest(self, topic: str, prefix: str = "") -> LogSlice:
        """Return the newest entry of every key; see :class:`KeyedLog`."""
        entries: list[LogEntry] = []
        end = -1
        # A key equal to the prefix is skipped; keys are always longer than their prefix.
        after = prefix
        while True:
            query = {"topic": topic, "part": "0"} | ({"after": after} if after else {})
            reply = await self._read_call(f"{PATH_NEWEST}?{urlencode(query, quote_via=quote)}", 0.0)
            if reply.status != 200:
                raise LogUnavailableError(f"HTTP {reply.status}")
            try:
                page = decode_newest_page(reply.body)
            except MalformedError as error:
                raise LogUnavailableError(f"malformed response: {error}") from error
            self._report_unreadable(topic, page.unreadable_count, "snapshot")
            end = page.end if end < 0 else end
            matching = [entry for entry in page.entries if entry.key.startswith(prefix)]
            entries.extend(matching)
            if not page.truncated or len(matching) < len(page.entries):
                return LogSlice(entries, end)
            if page.last_key in ("", after):
                raise LogUnavailableError("no readable key leads to the next page")
            after = page.last_key

    async def read(
        self, topic: str, from_offset: int, wait_s: float, *, max_bytes: int = MAX_READ_BYTES
    ) -> LogSlice:
        """Return the entries from an offset on; see :class:`KeyedLog`."""
        records, end = await self._read_records(topic, from_offset, wait_s, max_bytes)
        entries = []
        for offset, record in enumerate(records, from_offset):
            try:
                entries.append(LogEntry(offset, *decode_keyed_record(record)))
            except MalformedError as error:
                # The reader continues after the last entry, so the offset must not be left out.
                entries.append(LogEntry(offset, UNREADABLE_KEY, b""))
                self._report_unreadable(topic, 1, f"offset={offset} {error}")
        return LogSlice(entries, end)

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        """Append keyed entries; see :class:`KeyedLog`."""
        records = [encode_keyed_record(key, value) for key, value in entries]
        return await self._append(topic, records, at)

    async def append_plain(self, topic: str, records: Sequence[bytes]) -> AppendResult:
        """Append records without keys; see :class:`PlainLog`."""
        return await self._append(topic, records, UNCONDITIONAL)

    async def trim_plain(self, topic: str, before: int) -> None:
        """Delete the records before an offset; see :class:`PlainLog`."""
        body = msgspec.json.encode({"topic": topic, "part": 0, "before": before})
        try:
            await self._call(self._routes.direct, "POST", PATH_TRIM, body, 0.0)
        except _NoReplyError as error:
            self._logger.info("topic=%s trim failed: %s", topic, error)

    async def read_plain(self, topic: str) -> Sequence[bytes]:
        """Return all retained records; see :class:`PlainLog`."""
        records: list[bytes] = []
        offset = 0
        while True:
            try:
                page_records, end = await self._read_records(topic, offset, 0.0)
            except HistoryGoneError as error:
                first = error.args[0]
                if not isinstance(first, int) or first <= offset:
                    raise LogUnavailableError("response without a first offset") from error
                offset = first
                continue
            records.extend(page_records)
            offset += len(page_records)
            if offset >= end or not page_records:
                return records

    async def relay(self, method: str, path: str, body: bytes, wait_s: float) -> StoreReply | None:
        """Forward a peer's call to the store and return the response, None if there was none.

        :raises ConnectionRefusedError: when the call certainly had no effect.
        """
        try:
            return await self._call(self._routes.direct, method, path, body, wait_s)
        except _NoReplyError as error:
            if not error.may_have_run:
                raise ConnectionRefusedError(str(error)) from error
            return None

    def set_address(self, address: str) -> None:
        """Use the store at another address from now on."""
        self._routes.set_address(address)

    def close(self) -> None:
        """Cancel the probe."""
        if self._probe_task is not None:
            self._probe_task.cancel()

    @property
    def reachable(self) -> bool:
        """Whether the last direct call of this node succeeded."""
        return self._routes.direct_ok

    async def _read_records(
        self, topic: str, from_offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> tuple[Sequence[bytes], int]:
        max_kb = min(MAX_READ_BYTES, max_bytes + 1023) // 1024
        query = f"topic={quote(topic)}&part=0&from={from_offset}&maxKb={max_kb}"
        if wait_s > 0.0:
            query += f"&waitMs={int(wait_s * 1000)}"
        reply = await self._read_call(f"{PATH_READ}?{query}", wait_s)
        if reply.status == 410:
            raise HistoryGoneError(parse_first_offset(reply.body))
        if reply.status != 200 or len(reply.body) < _READ_HEADER_BYTES:
            raise LogUnavailableError(f"HTTP {reply.status}")
        end = int.from_bytes(reply.body[:8])
        try:
            return list(decode_records(reply.body[_READ_HEADER_BYTES:])), end
        except MalformedError as error:
            raise LogUnavailableError(str(error)) from error

    async def _append(self, topic: str, records: Sequence[bytes], at: int) -> AppendResult:
        query = f"topic={quote(topic)}&part=0" + (f"&at={at}" if at >= 0 else "")
        body = encode_records(records)
        detail = ""
        for route in self._candidate_routes():
            try:
                reply = await self._call(route, "POST", f"{PATH_APPEND}?{query}", body, 0.0)
            except _NoReplyError as error:
                detail = str(error)
                if error.may_have_run:
                    return AppendResult(AppendOutcome.UNKNOWN, detail=detail)
                continue
            if reply.status == 200:
                return AppendResult(AppendOutcome.APPENDED, parse_append_offset(reply.body))
            if reply.status == 412:
                return AppendResult(AppendOutcome.CONDITION_FAILED, detail="HTTP 412")
            detail = f"HTTP {reply.status}"
            if reply.status not in (429, 503):
                # The store rejects these without any effect: too large, full, malformed.
                outcome = (
                    AppendOutcome.NOT_APPENDED
                    if 400 <= reply.status < 500 or reply.status == 507
                    else AppendOutcome.UNKNOWN
                )
                return AppendResult(outcome, detail=detail)
        return AppendResult(AppendOutcome.NOT_APPENDED, detail=detail)

    async def _read_call(self, path: str, wait_s: float) -> StoreReply:
        """Send a read directly, then through peers.

        :raises LogUnavailableError: when no route gives a usable response.
        """
        detail = "no route to the store"
        for route in self._candidate_routes():
            try:
                reply = await self._call(route, "GET", path, b"", wait_s)
            except _NoReplyError as error:
                detail = str(error)
                continue
            if reply.status in (429, 502, 503, 504):
                detail = f"HTTP {reply.status}"
                continue
            return reply
        raise LogUnavailableError(detail)

    def _candidate_routes(self) -> Iterator[StoreRoute]:
        """Yield the routes for one call in order; a direct failure is followed by peers."""
        loop = asyncio.get_running_loop()
        routes = self._routes.candidates(loop.time())
        yield from routes
        if routes[0].is_direct and not self._routes.direct_ok:
            yield from self._routes.via_peers(loop.time())

    async def _call(
        self,
        route: StoreRoute,
        method: str,
        path: str,
        body: bytes,
        wait_s: float,
        timeout_s: float = 0.0,
    ) -> StoreReply:
        """Send one call over one route.

        :raises _NoReplyError: when no complete response arrived.
        """
        timeout = aiohttp.ClientTimeout(
            total=wait_s + (timeout_s or self._timeout_s), sock_connect=MIN_TIMEOUT_S
        )
        self._observer.counters["store_calls"] += route.is_direct
        url = URL(f"{route.base}{route.prefix}{path}", encoded=True)
        try:
            async with self._session.request(
                method, url, data=body or None, timeout=timeout
            ) as response:
                reply = StoreReply(response.status, await response.read())
        except RESPONSE_ERRORS as error:
            self._record_result(route, ok=False, detail=repr(error))
            if isinstance(error, TimeoutError):
                self._timeout_s = min(MAX_TIMEOUT_S, self._timeout_s * 1.6)
            not_sent = isinstance(error, aiohttp.ClientConnectorError)
            raise _NoReplyError(repr(error), may_have_run=not not_sent) from error
        self._timeout_s = max(MIN_TIMEOUT_S, self._timeout_s * 0.9)
        refused = reply.status in (429, 502, 503, 504)
        self._record_result(route, ok=not refused, detail=f"HTTP {reply.status}")
        return reply

    def _report_unreadable(self, topic: str, count: int, detail: str) -> None:
        """Count entries without a readable key, and log the first of them in a topic."""
        if not count:
            return
        name = f"entries_without_key_{topic}"
        if not self._observer.counters[name]:
            self._logger.warning("topic=%s entries without a readable key: %s", topic, detail)
        self._observer.counters[name] += count

    def _record_result(self, route: StoreRoute, *, ok: bool, detail: str) -> None:
        if route.is_direct and ok != self._routes.direct_ok:
            self._logger.warning("direct=%s detail=%s", "regained" if ok else "lost", detail)
        self._routes.record_result(route, asyncio.get_running_loop().time(), ok=ok)
        if not self._routes.direct_ok and (self._probe_task is None or self._probe_task.done()):
            self._probe_task = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        """Try the direct route until it succeeds, while calls go through peers."""
        path = f"{PATH_READ}?topic={quote(TOPIC_OPERATOR)}&part=0&from=0&maxKb=1"
        while not self._routes.direct_ok:
            await asyncio.sleep(PROBE_INTERVAL_S)
            with suppress(_NoReplyError):
                await self._call(self._routes.direct, "GET", path, b"", 0.0, PROBE_TIMEOUT_S)
