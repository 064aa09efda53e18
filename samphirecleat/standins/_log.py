"""An in-memory substitute for the platform's append-only log service."""

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from aiohttp import web

from .._waiting import wait_for_event
from ._server import StandInServer

MAX_RECORDS_PER_READ = 500


class LogAppend(NamedTuple):
    """One appended record."""

    stream: str
    offset: int
    payload: Mapping[str, Any]
    at_s: float


class _StoredRecord(NamedTuple):
    offset: int
    appended_at_s: float
    payload: Mapping[str, Any]


class _Stream:
    """The retained records of one stream."""

    def __init__(self) -> None:
        self.records: deque[_StoredRecord] = deque()
        self.next_offset = 0
        self.appended = asyncio.Event()

    @property
    def first_kept_offset(self) -> int:
        return self.records[0].offset if self.records else self.next_offset

    def append(self, payload: Mapping[str, Any], now_s: float) -> int:
        offset = self.next_offset
        self.records.append(_StoredRecord(offset, now_s, payload))
        self.next_offset += 1
        self.appended.set()
        self.appended = asyncio.Event()
        return offset

    def trim(self, before_s: float) -> None:
        while self.records and self.records[0].appended_at_s < before_s:
            self.records.popleft()


class StandInLog(StandInServer):
    """Keeps streams in memory; faults are injected through its attributes.

    ``down`` makes every request fail with 503. For each of the next ``lose_answers``
    appends the record is stored and the connection is closed without a response.
    ``slow_s`` delays every response. ``appends`` records all appends, including
    those whose records were trimmed.
    """

    def __init__(self, *, retention_s: float = 3600.0, appends_per_s: float = 300.0) -> None:
        """Retain records for ``retention_s`` and answer 429 to appends above the rate."""
        super().__init__()
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.appends: list[LogAppend] = []
        self.reads = 0
        self._streams: dict[str, _Stream] = {}
        self._recent_append_times_s: deque[float] = deque()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the append and read routes."""
        router.add_post("/v1/streams/{stream}/records", self._append)
        router.add_get("/v1/streams/{stream}/records", self._read)

    def trim(self, older_than_s: float) -> None:
        """Drop every record older than ``older_than_s``, as expired retention does."""
        for stream in self._streams.values():
            stream.trim(time.monotonic() - older_than_s)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        now_s = time.monotonic()
        if not self._try_count_append(now_s):
            return web.json_response({"error": "rate"}, status=429)
        payload = await request.json()
        name = request.match_info["stream"]
        offset = self._get_stream(name).append(payload, now_s)
        self.appends.append(LogAppend(name, offset, payload, now_s))
        if self.lose_answers > 0:
            self.lose_answers -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        self.reads += 1
        stream = self._get_stream(request.match_info["stream"])
        from_offset = int(request.query["from"])
        if from_offset >= stream.next_offset:
            await wait_for_event(stream.appended, float(request.query.get("wait_s", "0")))
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        stream.trim(time.monotonic() - self.retention_s)
        records = [r for r in stream.records if r.offset >= from_offset][:MAX_RECORDS_PER_READ]
        next_offset = records[-1].offset + 1 if records else stream.next_offset
        return web.json_response(
            {
                "records": [{"offset": r.offset, "payload": r.payload} for r in records],
                "first_kept_offset": stream.first_kept_offset,
                "next_offset": next_offset,
            }
        )

    def _get_stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _try_count_append(self, now_s: float) -> bool:
        while self._recent_append_times_s and self._recent_append_times_s[0] < now_s - 1.0:
            self._recent_append_times_s.popleft()
        if len(self._recent_append_times_s) >= self.appends_per_s:
            return False
        self._recent_append_times_s.append(now_s)
        return True
