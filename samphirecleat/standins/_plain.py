"""Substitutes for plain and scoring services that record the calls they ran."""

import asyncio
import hashlib
import time
from collections import Counter
from typing import NamedTuple

from aiohttp import web

from ._server import StandInTarget


class PlainRun(NamedTuple):
    """One call that the service started to run."""

    request_id: str
    method: str
    prompt: str
    started_at_s: float


class StandInPlainService(StandInTarget):
    """Answers ``POST /v1/call/{method}`` and records each run in ``runs``.

    Faults: the next ``refuse_next`` calls get 503 before they run; the next
    ``lose_next_answers`` calls run and their connection is closed without a
    response; the next ``fail_next`` calls run and get 500; a call whose prompt is
    in ``ends_on`` crashes the service, which restarts ``back_after_s`` later and
    records the run in ``ends``. ``tells_status``, if set before the start, adds
    ``GET /v1/status``, which few plain services have.
    """

    def __init__(self, service: str, zone: str, *, slots: int = 16, call_s: float = 0.02) -> None:
        """Create a service that reports ``slots`` and takes ``call_s`` for each call."""
        super().__init__(service, zone)
        self.slots = slots
        self.call_s = call_s
        self.fail_next = 0
        self.lose_next_answers = 0
        self.ends_on: set[str] = set()
        self.back_after_s = 0.4
        self.ends: list[PlainRun] = []
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self.runs: list[PlainRun] = []
        self.runs_by_request: Counter[str] = Counter()
        self.tells_status = False
        self._ended_requests: set[str] = set()
        self._running_calls = 0
        self._boot_count = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the call, load report and optional status routes."""
        self._boot_count += 1
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
            self._schedule_crash()
            await asyncio.Event().wait()
        self._running_calls += 1
        try:
            await asyncio.sleep(self.call_s)
        finally:
            self._running_calls -= 1
        self._ended_requests.add(request_id)
        if fault == "fail" or self.fail_next > 0:
            self.fail_next = max(0, self.fail_next - 1)
            return web.json_response({"error": "failed"}, status=500)
        if fault == "lose" or self.lose_next_answers > 0:
            self.lose_next_answers = max(0, self.lose_next_answers - 1)
            _abort(request)
        return await self._respond(request, fault, self.answer(method, body))

    def _schedule_crash(self) -> None:
        """Start a task that crashes the service and restarts it as a new instance."""
        task = asyncio.ensure_future(self._crash_and_restart())
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _crash_and_restart(self) -> None:
        await self.crash()
        await asyncio.sleep(self.back_after_s)
        await self.restart()

    async def _respond(
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
            state = "ended" if request_id in self._ended_requests else "running"
        return web.json_response({"state": state, "progress": 0})

    def answer(self, method: str, body: object) -> dict[str, object]:
        """Return the response body of a call."""
        return {"method": method, "echo": body}

    async def _load_report(self, _request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "instance": f"{self.service}-{id(self):x}-{self._boot_count}",
                "version": -1,
                "loading": False,
                "leaving": self.leaving,
                "running": self._running_calls,
                "waiting": 0,
                "slots": self.slots,
                "age_s": 0.0,
            }
        )


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()


class StandInScoring(StandInPlainService):
    """Scores a sample by a digest of its text, which checks can recompute."""

    def answer(self, method: str, body: object) -> dict[str, object]:
        """Return the score of ``body["text"]``."""
        text = str(body["text"]) if isinstance(body, dict) else ""
        return {"method": method, "score": score_text(text)}


def score_text(text: str) -> float:
    """Return the score of :class:`StandInScoring` for a text, from 0.0 to 1.0."""
    return hashlib.blake2b(text.encode(), digest_size=1).digest()[0] / 255.0
