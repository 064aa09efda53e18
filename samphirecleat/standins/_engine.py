"""A small stand-in for a model engine, with a ledger of what it truly ran."""

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

CACHE_EVENTS_KEPT = 200


@dataclass
class EngineRun:
    """One generation as the engine saw it; the ledger's row."""

    run_id: str
    request_id: str
    prompt_digest: str
    started_at_s: float
    spans: list[list[int]] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False

    @property
    def tokens(self) -> int:
        """How many tokens this run made."""
        return sum(count for _version, count in self.spans)


def digest_prompt(prompt: str) -> str:
    """Return a short digest, from which every token of the answer is made."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()


class StandInEngine(StandInTarget):
    """Batches continuously, streams tokens, takes orders, and reports with a lag.

    Faults: ``fail_next_loads`` loads fail partway and keep the old version;
    ``pretend_next_loads`` loads are reported as done and are not;
    ``order_delay_s`` holds an order back before it is looked at, as the network
    or a paused sender does;
    ``crash`` ends every run; ``restart`` comes back with ``boot_version``.
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
        """Run up to ``slots`` generations at once, a token each ``token_s``."""
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
        self._boots = itertools.count(1)
        self._instance = ""
        self._weight_store_url = weight_store_url
        self._highest_fencing = -1
        self._loading = False
        self._handling: dict[str, asyncio.Task[Any]] = {}
        self._latest_runs: dict[str, EngineRun] = {}
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._busy = 0
        self._arrivals = itertools.count()
        self._run_numbers = itertools.count(1)
        self._report: tuple[float, dict[str, Any]] = (-1e9, {})
        self._cache_events: list[dict[str, Any]] = []
        self._next_event = 0

    @property
    def loading(self) -> bool:
        """Whether it loads weights now."""
        return self._loading

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add generation, cancel, load report, orders and cache events."""
        self._instance = f"{self.service}-{id(self):x}-{next(self._boots)}"
        router.add_post("/v1/generate", self._generate)
        router.add_post("/v1/cancel", self._cancel)
        router.add_get("/v1/load", self._load_report)
        if self.tells_status:
            router.add_get("/v1/status", self._status)
        router.add_post("/v1/orders", self._order)
        router.add_get("/v1/cache-events", self._events)

    async def crash(self) -> None:
        """End every run and stop listening, as a killed process does."""
        await super().crash()
        self._busy = 0
        self._waiting.clear()

    async def restart(self, version: int | None = None) -> None:
        """Listen again at the same address, as a new instance with boot weights."""
        if self.listening:
            return
        self.version = self.boot_version if version is None else version
        self._loading = False
        self._highest_fencing = -1
        self._report = (-1e9, {})
        self.cached_prefixes.clear()
        self._latest_runs.clear()
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
        self._handling[request_id] = task
        try:
            await self._take_slot(int(body.get("priority", 0)))
            try:
                return await self._run(request, body, fault)
            finally:
                self._release_slot()
        finally:
            self._handling.pop(request_id, None)

    async def _run(
        self, request: web.Request, body: dict[str, Any], fault: str
    ) -> web.StreamResponse:
        prompt = str(body["prompt"])
        run = EngineRun(
            run_id=f"{self._instance}/{next(self._run_numbers)}",
            request_id=str(body["request_id"]),
            prompt_digest=digest_prompt(prompt),
            started_at_s=time.monotonic(),
        )
        self.runs.append(run)
        self._latest_runs[run.request_id] = run
        if fault == "fail":
            return web.json_response({"error": "failed"}, status=500)
        response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
        try:
            await response.prepare(request)
            await self._send(request, response, {"run_id": run.run_id, "instance": self._instance})
            await asyncio.sleep(self._prefill_time_s(prompt))
            await self._make_tokens(request, response, run, int(body["max_tokens"]), fault)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        except ConnectionError:
            # The connection is closed; an engine then stops the run.
            run.cancelled = True
        return response

    async def _make_tokens(
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
                await self._bring_about(request, response, fault)
            await self._emit(request, response, run, index)
        run.ended = True
        if fault == "lose":
            _abort(request)
        await self._send(request, response, {"end": "stop", "tokens": run.tokens})

    async def _bring_about(
        self, request: web.Request, response: web.StreamResponse, fault: str
    ) -> None:
        """Break the stream midway in the way that ``fault`` names."""
        if fault == "garble":
            await response.write(b"}{\n")
        elif fault == "truncate":
            await response.write_eof()
            raise ConnectionResetError
        elif fault == "silent" and request.transport is not None:
            self._silent.add(request.transport)

    async def _emit(
        self, request: web.Request, response: web.StreamResponse, run: EngineRun, index: int
    ) -> None:
        version = self.version
        if run.spans and run.spans[-1][0] == version:
            run.spans[-1][1] += 1
        else:
            run.spans.append([version, 1])
        token = f"{run.prompt_digest}.{index} "
        await self._send(request, response, {"text": token, "tokens": 1, "version": version})

    async def _send(
        self, request: web.Request, response: web.StreamResponse, line: dict[str, Any]
    ) -> None:
        if not self.is_silent(request):
            await response.write(json.dumps(line).encode() + b"\n")

    def _prefill_time_s(self, prompt: str) -> float:
        prefix = prompt[:32]
        hit = prefix in self.cached_prefixes
        self.prefix_hits += int(hit)
        self.prefix_misses += int(not hit)
        self.cached_prefixes[prefix] = None
        self.cached_prefixes.move_to_end(prefix)
        if not hit:
            self._note_event("stored", prefix)
        while len(self.cached_prefixes) > self.cache_size:
            evicted, _none = self.cached_prefixes.popitem(last=False)
            self._note_event("evicted", evicted)
        return self.prefill_s * (0.1 if hit else 1.0)

    def _note_event(self, operation: str, prefix: str) -> None:
        event = {"sequence": self._next_event, "operation": operation, "prefix": prefix}
        self._next_event += 1
        self._cache_events.append(event)
        del self._cache_events[:-CACHE_EVENTS_KEPT]

    async def _take_slot(self, priority: int) -> None:
        if self._busy < self.slots:
            self._busy += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        entry = (-priority, next(self._arrivals), turn)
        self._waiting.append(entry)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
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
        self._busy = max(0, self._busy - 1)

    async def _cancel(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        task = self._handling.get(str(body["request_id"]))
        if task is not None:
            task.cancel()
        return web.json_response({"cancelled": task is not None})

    async def _status(self, request: web.Request) -> web.StreamResponse:
        request_id = request.query["request_id"]
        run = self._latest_runs.get(request_id)
        if request_id in self._handling:
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
                    "running": self._busy,
                    "waiting": len(self._waiting),
                    "slots": self.slots,
                },
            )
        taken_at_s, report = self._report
        own_word = {
            "instance": self._instance,
            "version": self.version,
            "loading": self._loading,
            "leaving": self.leaving,
            "age_s": now_s - taken_at_s,
        }
        return web.json_response({**report, **own_word})

    async def _order(self, request: web.Request) -> web.StreamResponse:
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
            fetched = await self._fetch(version)
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

    async def _fetch(self, version: int) -> bool:
        url = f"{self._weight_store_url}/v1/services/{self.service}/versions/{version}"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _events(self, request: web.Request) -> web.StreamResponse:
        from_sequence = int(request.query.get("from", "0"))
        events = [e for e in self._cache_events if e["sequence"] >= from_sequence]
        return web.json_response({"events": events, "next": self._next_event})


def _abort(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()
