"""Stand-in targets whose process crashes when it starts to run a certain call."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from aiohttp import web

from .standin_store import StoreStandIn
from .standin_targets import TargetStandIn

RESTART_DELAY_S = 0.5


class CrashingTarget(TargetStandIn):
    """A target that crashes on calls whose path starts with ``crash_path``, and restarts later.

    Each start registers a new instance at the same address. ``crash_request_ids`` holds the id of
    each call that crashed it. A call to ``/plain/slow`` runs until ``resume`` is set.
    ``least_up`` is the smallest number of targets of ``service_targets`` that a crash of this one
    left.
    """

    def __init__(
        self, name: str, store: StoreStandIn, crash_path: str, *, service: str = "plain"
    ) -> None:
        super().__init__(f"{name}-1")
        self.name = name
        self.store = store
        self.crash_path = crash_path
        self.service = service
        self.starts = 1
        self.crash_request_ids: list[str] = []
        self.slow_calls = 0
        self.is_up = True
        self.service_targets: Sequence[CrashingTarget] = ()
        self.least_up = 1
        self._tasks: list[asyncio.Task[None]] = []

    async def register(self) -> None:
        """Start and write the registration."""
        await self.start(int(self.address.rpartition(":")[2] or 0))
        self.store.put("keyed.servers", self.instance, self.entry())

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the registration of this start."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 12,
            "state": state,
            "models": [{"name": "m", "version": 1}] if self.service == "engine" else [],
            "born": self.starts,
        }

    def crash(self) -> None:
        """Crash now, with all running calls, and restart later."""
        self._tasks.append(asyncio.ensure_future(self._restart_later()))

    async def close(self) -> None:
        """Stop without restarting."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.stop()

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        addressed = request.headers.get("X-Expect-Instance") == self.instance
        if addressed and request.raw_path.startswith(self.crash_path):
            self.seen.append((request.method, request.raw_path, dict(request.headers), body))
            self.crash_request_ids.append(request.headers.get("X-Request-Id", ""))
            self.crash()
            await asyncio.Event().wait()
        if addressed and request.raw_path.startswith("/plain/slow"):
            self.slow_calls += 1
            await self.resume.wait()
        return await super()._call(request)

    async def _restart_later(self) -> None:
        self.is_up = False
        left = sum(target.is_up for target in self.service_targets)
        self.least_up = min(self.least_up, left)
        await self.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        self.store.put("keyed.servers", self.instance, None)
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        await self.register()
        self.is_up = True


@asynccontextmanager
async def crashing_targets(
    store: StoreStandIn, count: int, crash_path: str, *, service: str = "plain"
) -> AsyncIterator[Sequence[CrashingTarget]]:
    """Replace the targets of a service by ones that crash on a call."""
    targets = [
        CrashingTarget(f"x{number}", store, crash_path, service=service) for number in range(count)
    ]
    store.put("keyed.servers", "p-1" if service == "plain" else "e-1", None)
    for target in targets:
        target.service_targets, target.least_up = targets, count
        await target.register()
    try:
        yield targets
    finally:
        for target in targets:
            await target.close()
