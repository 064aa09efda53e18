"""Small stand-ins for plain services and scoring services, with their ledgers."""

import asyncio
import hashlib
import time
from collections import Counter
from typing import NamedTuple

from aiohttp import web

from ._server import StandInTarget


class PlainRun(NamedTuple):
    """One call that truly ran; the ledger's row."""

    request_id: str
    method: str
    prompt: str
    started_at_s: float


class StandInPlainService(StandInTarget):
    """Answers ``POST /v1/call/{method}`` and keeps a ledger of its runs.

    Faults: ``refuse_next`` calls get 503 before they start;
    ``lose_next_answers`` calls run and their connection is closed in place of
    the answer; ``fail_next`` calls run and answer 500; a call whose prompt is in
    ``ends_on`` ends it, and it is back ``back_after_s`` later. ``tells_status``, set
    before the start, adds ``GET /v1/status``, which few plain services have.
    """

    def __init__(self, service: str, zone: str, *, slots: int = 16, call_s: float = 0.02) -> None:
        """Run up to ``slots`` calls at once, each taking ``call_s``."""
        super().__init__(service, zone)
        self.slots = slots
        self.call_s = call_s
        self.fail_next = 0
        self.lose_next_answers = 0
        self.ends_on: set[str] = set()
        self.back_after_s = 0.4
        self.ends: list[PlainRun] = []
        self._ending: set[asyncio.Task[None]] = set()
        self.runs: list[PlainRun] = []
        self.runs_by_request: Counter[str] = Counter()
        self.tells_status = False
        self._ended: set[str] = set()
        self._busy = 0
        self._boot = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the calls and the load report."""
        self._boot += 1
        router.add_post("/v1/call/{method}", self._call)
        router.add_get("/v1/load", self._load_report)
        if self.tells_status:
            router.add_get("/v1/status", self._status)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers["x-request-id"]
        self.note_arrival(request_id)
        fault = self.take_fault()
        if fault == "drop":
            _abort(request)
            return web.Response()
        if fault == "refuse" or self.refuses():
            return web.json_response({"error": "refused"}, status=503)
        method = request.match_info["method"]
        prompt = str(body.get("prompt", ""))
        self.runs.append(PlainRun(request_id, method, prompt, time.monotonic()))
        self.runs_by_request[request_id] += 1
        if prompt in self.ends_on:
            self.ends.append(self.runs[-1])
            self._end()
            await asyncio.Event().wait()
        self._busy += 1
        try:
            await asyncio.sleep(self.call_s)
        finally:
            self._busy -= 1
        self._ended.add(request_id)
        if fault == "fail" or self.fail_next > 0:
            self.fail_next = max(0, self.fail_next - 1)
            return web.json_response({"error": "failed"}, status=500)
        if fault == "lose" or self.lose_next_answers > 0:
            self.lose_next_answers = max(0, self.lose_next_answers - 1)
            _abort(request)
        return await self._send(request, fault, self.answer(method, body))

    def _end(self) -> None:
        """End now with all that runs here, and come back as a new instance."""
        task = asyncio.ensure_future(self._end_and_return())
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end_and_return(self) -> None:
        await self.crash()
        await asyncio.sleep(self.back_after_s)
        await self.restart()

    async def _send(
        self, request: web.Request, fault: str, answer: dict[str, object]
    ) -> web.StreamResponse:
        if fault == "silent":
            await asyncio.Event().wait()
        if fault == "garble":
            return web.Response(text="}{", content_type="application/json")
        if fault == "truncate":
            response = web.StreamResponse(headers={"Content-Length": "1000"})
            await response.prepare(request)
            await response.write(b'{"method": ')
            _abort(request)
        return web.json_response(answer)

    async def _status(self, request: web.Request) -> web.StreamResponse:
        request_id = request.query["request_id"]
        state = "unknown"
        if self.runs_by_request[request_id]:
            state = "ended" if request_id in self._ended else "running"
        return web.json_response({"state": state, "progress": 0})

    def answer(self, method: str, body: object) -> dict[str, object]:
        """Return what a call answers."""
        return {"method": method, "echo": body}

    async def _load_report(self, _request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "instance": f"{self.service}-{id(self):x}-{self._boot}",
                "version": -1,
                "loading": False,
                "leaving": self.leaving,
                "running": self._busy,
                "waiting": 0,
                "slots": self.slots,
                "age_s": 0.0,
            }
        )


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()


class StandInScoring(StandInPlainService):
    """Scores a sample by a digest of its text, so that a check can repeat it."""

    def answer(self, method: str, body: object) -> dict[str, object]:
        """Return the score of ``body["text"]``."""
        text = str(body["text"]) if isinstance(body, dict) else ""
        return {"method": method, "score": score_text(text)}


def score_text(text: str) -> float:
    """Return the score that :class:`StandInScoring` gives a text, 0.0 to 1.0."""
    return hashlib.blake2b(text.encode(), digest_size=1).digest()[0] / 255.0
