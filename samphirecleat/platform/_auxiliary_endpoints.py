"""HTTP endpoints beside the callers': directory, readiness, metrics and control between nodes."""

from collections.abc import Callable, Mapping, Sequence
from typing import Final

import msgspec
from aiohttp import web

from .._decoding import MalformedError, parse_whole_number
from ..blackboard import Member
from ..observe import Observer
from ..serving import advertised_members
from ._metadata_store import MetadataStore
from ._peer_texts import PATH_TEXTS, encode_texts_reply
from ._store_routes import RELAY_PREFIX
from ._wire_names import PATH_READY, PATH_RESOLVE

# Upper bound of the TTL of directory answers. Some callers cache an answer for three times as long,
# and a draining node keeps serving for that time. A short TTL keeps the drain short and costs each
# caller one small request per second.
MAX_ENTRY_TTL_S: Final = 1.0
MAX_ADDRESSES: Final = 64


class AuxiliaryEndpoints:
    """Request handlers of the directory, readiness, control and metrics addresses."""

    def __init__(
        self,
        store: MetadataStore,
        observer: Observer,
        ready_members: Callable[[], Sequence[Member]],
        is_ready: Callable[[], bool],
        entry_ttl_s: float,
        cached_texts: Callable[[Sequence[str]], Mapping[str, bytes]],
    ) -> None:
        """Advertise ``ready_members`` to callers, with a TTL of at most ``entry_ttl_s``."""
        self._store = store
        self._observer = observer
        self._ready_members = ready_members
        self._is_ready = is_ready
        self._cached_texts = cached_texts
        self._entry_ttl_s = min(MAX_ENTRY_TTL_S, entry_ttl_s)

    async def directory(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the addresses that callers should use, those in the caller's zone first.

        Responds with 503 while there is no ready member.
        """
        if not request.raw_path.startswith(PATH_RESOLVE):
            return web.Response(status=404)
        zone = request.query.get("zone", "")
        advertised = advertised_members(self._ready_members())
        members = sorted(advertised, key=lambda m: (m.zone != zone, m.node_id))
        if not members:
            return web.Response(status=503)
        addresses = [member.http_address for member in members[:MAX_ADDRESSES]]
        body = msgspec.json.encode({"addresses": addresses, "ttlS": self._entry_ttl_s})
        return web.Response(body=body, content_type="application/json")

    async def ready(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with 200 if this node is ready for callers, otherwise with 503."""
        if not request.raw_path.startswith(PATH_READY):
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def control(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relay a peer's call to the store, or return cached texts or the metrics."""
        if request.raw_path.startswith(RELAY_PREFIX):
            return await self._relay(request)
        if request.raw_path == PATH_TEXTS:
            return await self._texts(request)
        if request.raw_path == "/metrics":
            return web.Response(text=self.metrics_text())
        return web.Response(status=404)

    async def _texts(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return those of the requested texts that are cached in memory."""
        try:
            return web.Response(body=encode_texts_reply(await request.read(), self._cached_texts))
        except MalformedError as error:
            return web.Response(status=400, text=str(error))

    async def metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return counters and percentiles as text."""
        del request
        return web.Response(text=self.metrics_text())

    def metrics_text(self) -> str:
        """Return one ``name value`` line for each counter and percentile."""
        return "\n".join(self._observer.metric_lines()) + "\n"

    async def _relay(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self._store.reachable:
            return web.Response(status=503)
        body = await request.read()
        path = request.raw_path.removeprefix(RELAY_PREFIX)
        wait_s = (parse_whole_number(request.query.get("waitMs", "0")) or 0) / 1000.0
        try:
            reply = await self._store.relay(request.method, path, body, wait_s)
        except ConnectionRefusedError:
            return web.Response(status=503)
        if reply is None:
            return web.Response(status=504)
        return web.Response(status=reply.status, body=reply.body)
