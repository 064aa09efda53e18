"""A substitute for the rate-limited weight store."""

import asyncio
import time

from aiohttp import web

from ._server import StandInServer


class StandInWeightStore(StandInServer):
    """Reports the newest version of each service and limits concurrent loads.

    Loads above ``parallel_loads`` get 429 and are counted in ``refused_loads``.
    """

    def __init__(self, *, parallel_loads: int = 4, load_s: float = 0.3) -> None:
        """Serve at most ``parallel_loads`` concurrent loads, each taking ``load_s``."""
        super().__init__()
        self.parallel_loads = parallel_loads
        self.load_s = load_s
        self.down = False
        self.versions: dict[str, int] = {}
        self.published_at_s: dict[tuple[str, int], float] = {}
        self.refused_loads = 0
        self._active_loads = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the routes for the latest version, publication and loading."""
        router.add_get("/v1/services/{service}/latest", self._latest)
        router.add_put("/v1/services/{service}/versions/{version}", self._publish)
        router.add_get("/v1/services/{service}/versions/{version}", self._load)

    async def _latest(self, request: web.Request) -> web.StreamResponse:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        version = self.versions.get(request.match_info["service"], 0)
        return web.json_response({"version": version, "parallel_loads": self.parallel_loads})

    async def _publish(self, request: web.Request) -> web.StreamResponse:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        service = request.match_info["service"]
        version = int(request.match_info["version"])
        self.published_at_s.setdefault((service, version), time.monotonic())
        self.versions[service] = max(version, self.versions.get(service, 0))
        return web.json_response({"version": self.versions[service]})

    async def _load(self, _request: web.Request) -> web.StreamResponse:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        if self._active_loads >= self.parallel_loads:
            self.refused_loads += 1
            return web.json_response({"error": "rate"}, status=429)
        self._active_loads += 1
        try:
            await asyncio.sleep(self.load_s)
        finally:
            self._active_loads -= 1
        return web.json_response({"loaded": True})
