"""The one client of the platform's store, filling the product's log ports.

A node that the store turns away asks through a peer: the store may refuse some machines
while it serves the others. Only calls that surely did nothing go on to a peer.
"""

import asyncio
import random
from base64 import b64decode
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from typing import Final, NamedTuple
from urllib.parse import quote, urlencode

import aiohttp
import msgspec
from yarl import URL

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
    first_kept,
    join_key,
    join_records,
    offset_of,
    split_key,
    split_records,
)
from ._store_ways import StoreWays, Way
from ._wire_names import PATH_APPEND, PATH_NEWEST, PATH_READ, PATH_TRIM, TOPIC_OPERATOR

# Patience beyond any wait of a call: the store answers in milliseconds; while it is slow it
# may take sixty times as long, and an append waits up to two seconds for its turn, so patience
# grows with each failure.
SHORTEST_PATIENCE_S: Final = 0.8
LONGEST_PATIENCE_S: Final = 2.5
# While the direct way does not work, a probe tries it this often, with a patience of its own.
PROBE_EVERY_S: Final = 0.4
PROBE_PATIENCE_S: Final = 1.0
_READ_HEADER_BYTES: Final = 16


class StoreReply(NamedTuple):
    """A whole answer of the store."""

    status: int
    body: bytes


class _Unanswered(Exception):
    """A call without an answer; ``done`` is False only if it surely did nothing."""

    def __init__(self, detail: str, *, may_be_done: bool) -> None:
        super().__init__(detail)
        self.may_be_done = may_be_done


class MetadataStore:
    """Keyed and plain topics of the platform's log."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        peers: Callable[[], Sequence[str]],
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Talk to the store at ``address``; ``peers`` gives control addresses of live nodes."""
        self._session = session
        self._ways = StoreWays(address, peers, rng)
        self._probing: asyncio.Task[None] | None = None
        self._observer = observer
        self._logger = observer.log("store")
        self._patience_s = SHORTEST_PATIENCE_S

    async def newest(self, topic: str, prefix: str = "") -> LogSlice:
        """Return the newest entry of every key; see :class:`KeyedLog`."""
        entries: list[LogEntry] = []
        end = -1
        # A key that is the prefix itself is passed over; keys are longer than their prefix.
        after = prefix
        while True:
            query = {"topic": topic, "part": "0"} | ({"after": after} if after else {})
            reply = await self._read_call(f"{PATH_NEWEST}?{urlencode(query, quote_via=quote)}", 0.0)
            if reply.status != 200:
                raise LogUnavailableError(f"HTTP {reply.status}")
            try:
                page = msgspec.json.decode(reply.body)
                rows = [
                    LogEntry(int(row["offset"]), str(row["key"]), b64decode(row["value"] or ""))
                    for row in page["items"]
                ]
                end = int(page["end"]) if end < 0 else end
                more = bool(page["truncated"])
            except RESPONSE_ERRORS as error:
                raise LogUnavailableError(f"not understood: {error!r}") from error
            wanted = [row for row in rows if row.key.startswith(prefix)]
            entries.extend(wanted)
            if not more or len(wanted) < len(rows) or not rows:
                return LogSlice(entries, end)
            after = rows[-1].key

    async def read(
        self, topic: str, from_offset: int, wait_s: float, *, max_bytes: int = MAX_READ_BYTES
    ) -> LogSlice:
        """Return entries from an offset on; see :class:`KeyedLog`."""
        records, end = await self._read_records(topic, from_offset, wait_s, max_bytes)
        try:
            entries = [
                LogEntry(from_offset + at, *split_key(record)) for at, record in enumerate(records)
            ]
        except (IndexError, UnicodeDecodeError) as error:
            raise LogUnavailableError(f"a record without a key: {error!r}") from error
        return LogSlice(entries, end)

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        """Append keyed entries; see :class:`KeyedLog`."""
        records = [join_key(key, value) for key, value in entries]
        return await self._append(topic, records, at)

    async def append_plain(self, topic: str, records: Sequence[bytes]) -> AppendResult:
        """Append records without keys; see :class:`PlainLog`."""
        return await self._append(topic, records, UNCONDITIONAL)

    async def trim_plain(self, topic: str, before: int) -> None:
        """Drop the records before an offset; see :class:`PlainLog`."""
        body = msgspec.json.encode({"topic": topic, "part": 0, "before": before})
        try:
            await self._call(self._ways.direct, "POST", PATH_TRIM, body, 0.0)
        except _Unanswered as error:
            self._logger.info("topic=%s not trimmed: %s", topic, error)

    async def read_plain(self, topic: str) -> Sequence[bytes]:
        """Return all records that are kept; see :class:`PlainLog`."""
        records: list[bytes] = []
        offset = 0
        while True:
            try:
                more, end = await self._read_records(topic, offset, 0.0)
            except HistoryGoneError as error:
                first = error.args[0]
                if not isinstance(first, int) or first <= offset:
                    raise LogUnavailableError("no first offset") from error
                offset = first
                continue
            records.extend(more)
            offset += len(more)
            if offset >= end or not more:
                return records

    async def relay(self, method: str, path: str, body: bytes, wait_s: float) -> StoreReply | None:
        """Pass a peer's call on to the store; None if the store gave no answer.

        :raises ConnectionRefusedError: when the call surely did nothing.
        """
        try:
            return await self._call(self._ways.direct, method, path, body, wait_s)
        except _Unanswered as error:
            if not error.may_be_done:
                raise ConnectionRefusedError(str(error)) from error
            return None

    def move(self, address: str) -> None:
        """Talk to the store at another address from now on."""
        self._ways.move(address)

    def close(self) -> None:
        """Probe no more."""
        if self._probing is not None:
            self._probing.cancel()

    @property
    def reachable(self) -> bool:
        """Whether the store answered this node's last direct call."""
        return self._ways.direct_works

    async def _read_records(
        self, topic: str, from_offset: int, wait_s: float, max_bytes: int = MAX_READ_BYTES
    ) -> tuple[Sequence[bytes], int]:
        most_kb = min(MAX_READ_BYTES, max_bytes + 1023) // 1024
        query = f"topic={quote(topic)}&part=0&from={from_offset}&maxKb={most_kb}"
        if wait_s > 0.0:
            query += f"&waitMs={int(wait_s * 1000)}"
        reply = await self._read_call(f"{PATH_READ}?{query}", wait_s)
        if reply.status == 410:
            raise HistoryGoneError(first_kept(reply.body))
        if reply.status != 200 or len(reply.body) < _READ_HEADER_BYTES:
            raise LogUnavailableError(f"HTTP {reply.status}")
        end = int.from_bytes(reply.body[:8])
        try:
            return list(split_records(reply.body[_READ_HEADER_BYTES:])), end
        except ValueError as error:
            raise LogUnavailableError(str(error)) from error

    async def _append(self, topic: str, records: Sequence[bytes], at: int) -> AppendResult:
        query = f"topic={quote(topic)}&part=0" + (f"&at={at}" if at >= 0 else "")
        body = join_records(records)
        detail = ""
        for way in self._in_turn():
            try:
                reply = await self._call(way, "POST", f"{PATH_APPEND}?{query}", body, 0.0)
            except _Unanswered as error:
                detail = str(error)
                if error.may_be_done:
                    return AppendResult(AppendOutcome.UNKNOWN, detail=detail)
                continue
            if reply.status == 200:
                return AppendResult(AppendOutcome.APPENDED, offset_of(reply.body))
            if reply.status == 412:
                return AppendResult(AppendOutcome.CONDITION_FAILED, detail="HTTP 412")
            detail = f"HTTP {reply.status}"
            if reply.status not in (429, 503):
                # The store answers these without doing anything: too large, full, malformed.
                outcome = (
                    AppendOutcome.NOT_APPENDED
                    if 400 <= reply.status < 500 or reply.status == 507
                    else AppendOutcome.UNKNOWN
                )
                return AppendResult(outcome, detail=detail)
        return AppendResult(AppendOutcome.NOT_APPENDED, detail=detail)

    async def _read_call(self, path: str, wait_s: float) -> StoreReply:
        """Ask directly, then through peers.

        :raises LogUnavailableError: when nobody has an answer.
        """
        detail = "no way to the store"
        for way in self._in_turn():
            try:
                reply = await self._call(way, "GET", path, b"", wait_s)
            except _Unanswered as error:
                detail = str(error)
                continue
            if reply.status in (429, 502, 503, 504):
                detail = f"HTTP {reply.status}"
                continue
            return reply
        raise LogUnavailableError(detail)

    def _in_turn(self) -> Iterator[Way]:
        """Yield the ways of one call, best first; peers follow a direct way that just failed."""
        loop = asyncio.get_running_loop()
        ways = self._ways.first(loop.time())
        yield from ways
        if ways[0].is_direct and not self._ways.direct_works:
            yield from self._ways.through_peers(loop.time())

    async def _call(
        self,
        way: Way,
        method: str,
        path: str,
        body: bytes,
        wait_s: float,
        patience_s: float = 0.0,
    ) -> StoreReply:
        """Send one call one way.

        :raises _Unanswered: when no whole answer came.
        """
        timeout = aiohttp.ClientTimeout(
            total=wait_s + (patience_s or self._patience_s), sock_connect=SHORTEST_PATIENCE_S
        )
        self._observer.counters["store_calls"] += way.is_direct
        url = URL(f"{way.base}{way.prefix}{path}", encoded=True)
        try:
            async with self._session.request(
                method, url, data=body or None, timeout=timeout
            ) as response:
                reply = StoreReply(response.status, await response.read())
        except RESPONSE_ERRORS as error:
            self._record_result(way, works=False, detail=repr(error))
            if isinstance(error, TimeoutError):
                self._patience_s = min(LONGEST_PATIENCE_S, self._patience_s * 1.6)
            never_sent = isinstance(error, aiohttp.ClientConnectorError)
            raise _Unanswered(repr(error), may_be_done=not never_sent) from error
        self._patience_s = max(SHORTEST_PATIENCE_S, self._patience_s * 0.9)
        refused = reply.status in (429, 502, 503, 504)
        self._record_result(way, works=not refused, detail=f"HTTP {reply.status}")
        return reply

    def _record_result(self, way: Way, *, works: bool, detail: str) -> None:
        if way.is_direct and works != self._ways.direct_works:
            self._logger.warning("direct=%s detail=%s", "regained" if works else "lost", detail)
        self._ways.record_result(way, asyncio.get_running_loop().time(), works=works)
        if not self._ways.direct_works and (self._probing is None or self._probing.done()):
            self._probing = asyncio.ensure_future(self._probe())

    async def _probe(self) -> None:
        """Try the direct way until it works, beside the calls that go through peers meanwhile."""
        path = f"{PATH_READ}?topic={quote(TOPIC_OPERATOR)}&part=0&from=0&maxKb=1"
        while not self._ways.direct_works:
            await asyncio.sleep(PROBE_EVERY_S)
            with suppress(_Unanswered):
                await self._call(self._ways.direct, "GET", path, b"", 0.0, PROBE_PATIENCE_S)
