"""A substitute for a model engine that records every generation it runs."""

import asyncio
import hashlib
import itertools
import json
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from aiohttp import web

from ._server import StandInTarget

MAX_CACHE_EVENTS = 200


@dataclass
class EngineRun:
    """One generation that the engine started.

    ``spans`` holds ``[weight version, token count]`` pairs in output order.
    """

    run_id: str
    request_id: str
    prompt_digest: str
    started_at_s: float
    spans: list[list[int]] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far."""
        return sum(count for _version, count in self.spans)


def digest_prompt(prompt: str) -> str:
    """Return a short digest that every generated token of the prompt starts with."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


class StandInEngine(StandInTarget):
    """Simulates an engine with continuous batching and delayed load reports.

    Faults: the next ``fail_next_loads`` weight loads fail and keep the old version;
    the next ``pretend_next_loads`` loads finish without changing the version;
    ``order_delay_s`` delays each order before it is checked, as a slow network or
    a paused sender would; ``crash`` aborts every run; ``restart`` listens again
    with ``boot_version``.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        weight_store_url: str,
        *,
        slots: int = 8,
        token_s: float = 0.004,
        prefill_s: float = 0.02,
        checks_fencing: bool = True,
        boot_version: int = 0,
    ) -> None:
        """Create an engine that runs up to ``slots`` generations concurrently.

        Each generation emits one token every ``token_s`` after ``prefill_s``.
        """
        super().__init__(service, zone)
        self.slots = slots
        self.token_s = token_s
        self.prefill_s = prefill_s
        self.checks_fencing = checks_fencing
        self.boot_version = boot_version
        self.version = boot_version
        self.fail_next_loads = 0
        self.pretend_next_loads = 0
        self.order_delay_s = 0.0
        self.report_lag_s = 0.2
        self.tells_status = True
        self.runs: list[EngineRun] = []
        self.orders: list[dict[str, Any]] = []
        self.refused_orders = 0
        self.lose_next_order_answers = 0
        self.cached_prefixes: OrderedDict[str, None] = OrderedDict()
        self.cache_size = 64
        self.prefix_hits = 0
        self.prefix_misses = 0
        self._boot_counter = itertools.count(1)
        self._instance = ""
        self._weight_store_url = weight_store_url
        self._highest_fencing = -1
        self._loading = False
        self._request_tasks: dict[str, asyncio.Task[Any]] = {}
        self._latest_run_by_request: dict[str, EngineRun] = {}
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._occupied_slots = 0
        self._arrival_counter = itertools.count()
        self._run_counter = itertools.count(1)
        self._report: tuple[float, dict[str, Any]] = (-1e9, {})
        self._cache_events: list[dict[str, Any]] = []
        self._next_event_sequence = 0

    @property
    def loading(self) -> bool:
        """Whether a weight load is in progress."""
        return self._loading

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register generation, cancellation, load report, order and cache event routes."""
        self._instance = f"{self.service}-{id(self):x}-{next(self._boot_counter)}"
        router.add_post("/v1/generate", self._generate)
        router.add_post("/v1/cancel", self._cancel)
        router.add_get("/v1/load", self._load_report)
        if self.tells_status:
            router.add_get("/v1/status", self._status)
        router.add_post("/v1/orders", self._handle_order)
        router.add_get("/v1/cache-events", self._list_cache_events)

    async def crash(self) -> None:
        """Abort every run and stop listening, as a killed process does."""
        await super().crash()
        self._occupied_slots = 0
        self._waiting.clear()

    async def restart(self, version: int | None = None) -> None:
        """Listen again at the same address as a new instance.

        Serves ``version``, or ``boot_version`` if it is None. Does nothing while the
        engine is listening.
        """
        if self.listening:
            return
        self.version = self.boot_version if version is None else version
        self._loading = False
        self._highest_fencing = -1
        self._report = (-1e9, {})
        self.cached_prefixes.clear()
        self._latest_run_by_request.clear()
        await super().restart()

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = str(body["request_id"])
        self.note_arrival(request_id)
        fault = self.take_fault()
        if fault == "drop":
            _abort(request)
            return web.Response()
        if fault == "refuse" or self.refuses():
            return web.json_response({"error": "refused"}, status=503)
        task = asyncio.current_task()
        assert task is not None
        self._request_tasks[request_id] = task
        try:
            await self._acquire_slot(int(body.get("priority", 0)))
            try:
                return await self._run(request, body, fault)
            finally:
                self._release_slot()
        finally:
            self._request_tasks.pop(request_id, None)

    async def _run(
        self, request: web.Request, body: dict[str, Any], fault: str
    ) -> web.StreamResponse:
        prompt = str(body["prompt"])
        run = EngineRun(
            run_id=f"{self._instance}/{next(self._run_counter)}",
            request_id=str(body["request_id"]),
            prompt_digest=digest_prompt(prompt),
            started_at_s=time.monotonic(),
        )
        self.runs.append(run)
        self._latest_run_by_request[run.request_id] = run
        if fault == "fail":
            return web.json_response({"error": "failed"}, status=500)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        try:
            await response.prepare(request)
            await self._send_line(
                request, response, {"run_id": run.run_id, "instance": self._instance}
            )
            await asyncio.sleep(self._next_prefill_s(prompt))
            await self._generate_tokens(request, response, run, int(body["max_tokens"]), fault)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        except ConnectionError:
            # Engines stop a run when the client disconnects.
            run.cancelled = True
        return response

    async def _generate_tokens(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: EngineRun,
        max_tokens: int,
        fault: str,
    ) -> None:
        for index in range(max_tokens):
            await asyncio.sleep(self.token_s)
            if index == max_tokens // 2:
                await self._break_stream(request, response, fault)
            await self._emit_token(request, response, run, index)
        run.ended = True
        if fault == "lose":
            _abort(request)
        await self._send_line(request, response, {"end": "stop", "tokens": run.tokens})

    async def _break_stream(
        self, request: web.Request, response: web.StreamResponse, fault: str
    ) -> None:
        """Break the stream midway as ``fault`` specifies.

        :raises ConnectionResetError: for the fault ``truncate``.
        """
        if fault == "garble":
            await response.write(b"}{\n")
        elif fault == "truncate":
            await response.write_eof()
            raise ConnectionResetError
        elif fault == "silent" and request.transport is not None:
            self._silent_transports.add(request.transport)

    async def _emit_token(
        self, request: web.Request, response: web.StreamResponse, run: EngineRun, index: int
    ) -> None:
        version = self.version
        if run.spans and run.spans[-1][0] == version:
            run.spans[-1][1] += 1
        else:
            run.spans.append([version, 1])
        token = f"{run.prompt_digest}.{index} "
        await self._send_line(request, response, {"text": token, "tokens": 1, "version": version})

    async def _send_line(
        self, request: web.Request, response: web.StreamResponse, line: dict[str, Any]
    ) -> None:
        if not self.is_silent(request):
            await response.write(json.dumps(line).encode() + b"\n")

    def _next_prefill_s(self, prompt: str) -> float:
        prefix = prompt[:32]
        hit = prefix in self.cached_prefixes
        self.prefix_hits += int(hit)
        self.prefix_misses += int(not hit)
        self.cached_prefixes[prefix] = None
        self.cached_prefixes.move_to_end(prefix)
        if not hit:
            self._record_cache_event("stored", prefix)
        while len(self.cached_prefixes) > self.cache_size:
            evicted, _value = self.cached_prefixes.popitem(last=False)
            self._record_cache_event("evicted", evicted)
        return self.prefill_s * (0.1 if hit else 1.0)

    def _record_cache_event(self, operation: str, prefix: str) -> None:
        event = {"sequence": self._next_event_sequence, "operation": operation, "prefix": prefix}
        self._next_event_sequence += 1
        self._cache_events.append(event)
        del self._cache_events[:-MAX_CACHE_EVENTS]

    async def _acquire_slot(self, priority: int) -> None:
        if self._occupied_slots < self.slots:
            self._occupied_slots += 1
            return
        slot_granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._arrival_counter), slot_granted)
        self._waiting.append(entry)
        try:
            await slot_granted
        except asyncio.CancelledError:
            if slot_granted.done() and not slot_granted.cancelled():
                self._release_slot()
            elif entry in self._waiting:
                self._waiting.remove(entry)
            raise

    def _release_slot(self) -> None:
        while self._waiting:
            entry = min(self._waiting, key=lambda waiting: waiting[:2])
            self._waiting.remove(entry)
            if not entry[2].done():
                entry[2].set_result(None)
                return
        self._occupied_slots = max(0, self._occupied_slots - 1)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        task = self._request_tasks.get(str(body["request_id"]))
        if task is not None:
            task.cancel()
        return web.json_response({"cancelled": task is not None})

    async def _status(self, request: web.Request) -> web.StreamResponse:
        request_id = request.query["request_id"]
        run = self._latest_run_by_request.get(request_id)
        if request_id in self._request_tasks:
            state = "running" if run is not None else "waiting"
        else:
            state = "ended" if run is not None else "unknown"
        progress = run.tokens if run is not None else 0
        return web.json_response({"state": state, "progress": progress})

    async def _load_report(self, _request: web.Request) -> web.StreamResponse:
        now_s = time.monotonic()
        if now_s - self._report[0] >= self.report_lag_s:
            self._report = (
                now_s,
                {
                    "running": self._occupied_slots,
                    "waiting": len(self._waiting),
                    "slots": self.slots,
                },
            )
        sampled_at_s, report = self._report
        instance_state = {
            "instance": self._instance,
            "version": self.version,
            "loading": self._loading,
            "leaving": self.leaving,
            "age_s": now_s - sampled_at_s,
        }
        return web.json_response({**report, **instance_state})

    async def _handle_order(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.order_delay_s:
            await asyncio.sleep(self.order_delay_s)
        self.orders.append({**body, "at_s": time.monotonic()})
        fencing = int(body["fencing"])
        if self.checks_fencing and fencing < self._highest_fencing:
            self.refused_orders += 1
            return web.json_response({"highest_fencing": self._highest_fencing}, status=409)
        self._highest_fencing = max(self._highest_fencing, fencing)
        if self._loading:
            return web.json_response({"error": "busy"}, status=429)
        self._loading = True
        asyncio.get_running_loop().create_task(self._load_version(int(body["version"])))
        if self.lose_next_order_answers > 0 and request.transport is not None:
            self.lose_next_order_answers -= 1
            request.transport.abort()
        return web.json_response({"accepted": True, "instance": self._instance})

    async def _load_version(self, version: int) -> None:
        instance = self._instance
        try:
            fetched = await self._fetch_weights(version)
        finally:
            if instance == self._instance:
                self._loading = False
        if not fetched or instance != self._instance:
            return
        if self.fail_next_loads > 0:
            self.fail_next_loads -= 1
        elif self.pretend_next_loads > 0:
            self.pretend_next_loads -= 1
        else:
            self.version = version

    async def _fetch_weights(self, version: int) -> bool:
        url = f"{self._weight_store_url}/v1/services/{self.service}/versions/{version}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _list_cache_events(self, request: web.Request) -> web.StreamResponse:
        from_sequence = int(request.query.get("from", "0"))
        events = [e for e in self._cache_events if e["sequence"] >= from_sequence]
        return web.json_response({"events": events, "next": self._next_event_sequence})


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()
