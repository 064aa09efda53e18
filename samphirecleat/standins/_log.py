"""A small stand-in for the platform's append-only log service."""

import asyncio
import time
from collections import deque
from collections.abc import Mapping
from typing import Any, NamedTuple

from aiohttp import web

from ._server import StandInServer

READ_LIMIT = 500


class _Stored(NamedTuple):
    offset: int
    appended_at_s: float
    payload: Mapping[str, Any]


class _Stream:
    """The records of one stream that the log still holds."""

    def __init__(self) -> None:
        self.records: deque[_Stored] = deque()
        self.next_offset = 0
        self.grew = asyncio.Event()

    @property
    def first_kept_offset(self) -> int:
        return self.records[0].offset if self.records else self.next_offset

    def append(self, payload: Mapping[str, Any], now_s: float) -> int:
        offset = self.next_offset
        self.records.append(_Stored(offset, now_s, payload))
        self.next_offset += 1
        self.grew.set()
        self.grew = asyncio.Event()
        return offset

    def trim(self, before_s: float) -> None:
        while self.records and self.records[0].appended_at_s < before_s:
            self.records.popleft()


class StandInLog(StandInServer):
    """Keeps streams in memory; its faults are switched by its attributes.

    ``down`` answers 503 to everything. ``lose_answers`` appends that many more
    records and closes the connection in place of the answer. ``slow_s`` delays
    every answer. The ledger of appends is ``appends``: (stream, offset, payload).
    """

    def __init__(self, *, retention_s: float = 3600.0, appends_per_s: float = 300.0) -> None:
        """Keep each record for ``retention_s`` and refuse appends above the rate."""
        super().__init__()
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.appends: list[tuple[str, int, Mapping[str, Any]]] = []
        self.reads = 0
        self._streams: dict[str, _Stream] = {}
        self._recent_appends: deque[float] = deque()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add append and read."""
        router.add_post("/v1/streams/{stream}/records", self._append)
        router.add_get("/v1/streams/{stream}/records", self._read)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        now_s = time.monotonic()
        if not self._within_rate(now_s):
            return web.json_response({"error": "rate"}, status=429)
        payload = await request.json()
        name = request.match_info["stream"]
        offset = self._stream(name).append(payload, now_s)
        self.appends.append((name, offset, payload))
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
        stream = self._stream(request.match_info["stream"])
        from_offset = int(request.query["from"])
        if from_offset >= stream.next_offset:
            await self._wait_for_growth(stream, float(request.query.get("wait_s", "0")))
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        stream.trim(time.monotonic() - self.retention_s)
        records = [r for r in stream.records if r.offset >= from_offset][:READ_LIMIT]
        next_offset = records[-1].offset + 1 if records else stream.next_offset
        return web.json_response(
            {
                "records": [{"offset": r.offset, "payload": r.payload} for r in records],
                "first_kept_offset": stream.first_kept_offset,
                "next_offset": next_offset,
            }
        )

    async def _wait_for_growth(self, stream: _Stream, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await stream.grew.wait()
        except TimeoutError:
            return

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    def _within_rate(self, now_s: float) -> bool:
        while self._recent_appends and self._recent_appends[0] < now_s - 1.0:
            self._recent_appends.popleft()
        if len(self._recent_appends) >= self.appends_per_s:
            return False
        self._recent_appends.append(now_s)
        return True
