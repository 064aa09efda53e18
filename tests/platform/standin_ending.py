"""Stand-in targets whose process ends when it begins to run a certain call."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

from aiohttp import web

from .standin_store import StoreStandIn
from .standin_targets import TargetStandIn

BACK_AFTER_S = 0.5


class EndingTarget(TargetStandIn):
    """A target that ends on calls whose path begins with ``ends_on``, and is back after a while.

    Each start is another instance at the same address, registered anew. ``ended_under`` holds the
    id of each call that ended it. A call to ``/plain/slow`` runs until ``resume`` is set.
    """

    def __init__(
        self, name: str, store: StoreStandIn, ends_on: str, *, service: str = "plain"
    ) -> None:
        super().__init__(f"{name}-1")
        self.name = name
        self.store = store
        self.ends_on = ends_on
        self.service = service
        self.starts = 1
        self.ended_under: list[str] = []
        self.slow_calls = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def register(self) -> None:
        """Start, and write the registration."""
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

    def end(self) -> None:
        """End now, with all that runs here, and start again later."""
        self._tasks.append(asyncio.ensure_future(self._end()))

    async def close(self) -> None:
        """End for good."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.stop()

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        ours = request.headers.get("X-Expect-Instance") == self.instance
        if ours and request.raw_path.startswith(self.ends_on):
            self.seen.append((request.method, request.raw_path, dict(request.headers), body))
            self.ended_under.append(request.headers.get("X-Request-Id", ""))
            self.end()
            await asyncio.Event().wait()
        if ours and request.raw_path.startswith("/plain/slow"):
            self.slow_calls += 1
            await self.resume.wait()
        return await super()._call(request)

    async def _end(self) -> None:
        await self.stop()
        await asyncio.sleep(BACK_AFTER_S)
        self.store.put("keyed.servers", self.instance, None)
        self.starts += 1
        self.instance = f"{self.name}-{self.starts}"
        await self.register()


@asynccontextmanager
async def ending_targets(
    store: StoreStandIn, count: int, ends_on: str, *, service: str = "plain"
) -> AsyncIterator[Sequence[EndingTarget]]:
    """Put targets that end on a call in place of those of a service."""
    targets = [
        EndingTarget(f"x{number}", store, ends_on, service=service) for number in range(count)
    ]
    store.put("keyed.servers", "p-1" if service == "plain" else "e-1", None)
    for target in targets:
        await target.register()
    try:
        yield targets
    finally:
        for target in targets:
            await target.close()
