"""A small stand-in of the platform's store, with the failures that its pages name."""

import asyncio
import json
from base64 import b64encode
from collections import defaultdict

from aiohttp import web

from samphirecleat.standins import StandInServer


class StoreStandIn(StandInServer):
    """Topics of one partition each; ``answers`` says what becomes of the next appends.

    ``lost``: done, and the connection closes without an answer. ``late``: as lost, and
    done by :meth:`catch_up`. A number: that status, and nothing done. ``refusing`` answers
    every call with a status.
    """

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[bytes]] = defaultdict(list)
        self.first: dict[str, int] = defaultdict(int)
        self.answers: list[str | int] = []
        self.refusing = 0
        self.page_rows = 500
        self.calls = 0
        self._late: list[tuple[str, bytes]] = []
        self._appended = asyncio.Event()

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/v1/log-append", self._append)
        router.add_get("/v1/log-read", self._read)
        router.add_get("/v1/log-newest", self._newest)
        router.add_post("/v1/log-trim", self._trim)

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a keyed record as an operator or a target does; None drops the key."""
        name = key.encode()
        content = b"" if value is None else json.dumps(value).encode()
        self._do_append(topic, [bytes([len(name)]) + name + content])

    def catch_up(self) -> None:
        """Carry out the appends that are late."""
        late, self._late = self._late, []
        for topic, body in late:
            self._do_append(topic, list(_split(body)))

    def forget_history(self, topic: str) -> None:
        """Keep only the newest record of each key."""
        self.first[topic] = len(self.topics[topic])

    def _do_append(self, topic: str, records: list[bytes]) -> int:
        offset = len(self.topics[topic])
        self.topics[topic].extend(records)
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return offset

    async def _append(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        body = await request.read()
        if self.refusing:
            return web.Response(status=self.refusing)
        topic = request.query["topic"]
        answer = self.answers.pop(0) if self.answers else ""
        if isinstance(answer, int):
            return web.Response(status=answer)
        end = len(self.topics[topic])
        if "at" in request.query and int(request.query["at"]) != end:
            return web.json_response({"end": end}, status=412)
        records = list(_split(body))
        if any(len(record) >= 262_144 for record in records):
            return web.Response(status=400)
        if answer == "late":
            self._late.append((topic, body))
        else:
            offset = self._do_append(topic, records)
        if answer in ("lost", "late"):
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        return web.json_response({"offset": offset, "end": len(self.topics[topic])})

    async def _read(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.refusing:
            return web.Response(status=self.refusing)
        topic, start = request.query["topic"], int(request.query["from"])
        if start < self.first[topic]:
            return web.json_response({"first": self.first[topic]}, status=410)
        if start >= len(self.topics[topic]):
            appended = self._appended
            try:
                async with asyncio.timeout(int(request.query.get("waitMs", "0")) / 1000.0):
                    await appended.wait()
            except TimeoutError:
                pass
        records = self.topics[topic][start:]
        head = len(self.topics[topic]).to_bytes(8) + self.first[topic].to_bytes(8)
        return web.Response(body=head + b"".join(len(r).to_bytes(4) + r for r in records))

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        self.calls += 1
        if self.refusing:
            return web.Response(status=self.refusing)
        topic, after = request.query["topic"], request.query.get("after", "")
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.topics[topic]):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (offset, record[1 + record[0] :])
        rows = [
            {"key": key, "value": b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in sorted(newest)
            if key > after and newest[key][1]
        ]
        page = rows[: self.page_rows]
        body = {"items": page, "truncated": len(rows) > len(page), "end": len(self.topics[topic])}
        return web.json_response(body)

    async def _trim(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self.first[body["topic"]] = max(self.first[body["topic"]], int(body["before"]))
        return web.json_response({})


def _split(body: bytes) -> list[bytes]:
    records = []
    while body:
        size = int.from_bytes(body[:4])
        records.append(body[4 : 4 + size])
        body = body[4 + size :]
    return records
