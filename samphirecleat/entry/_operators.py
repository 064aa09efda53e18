"""What operators meet: the fleet report, traces and metrics."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

from aiohttp import web

from ..blackboard import Blackboard, Member
from ..observe import Observer
from ..peers import PeerClient, PeerUnavailableError

REPORT_TIMEOUT_S: Final = 2.0


class OperatorEntry:
    """Answers operators from this node and, for the report, from all others."""

    def __init__(
        self,
        board: Blackboard,
        peers: PeerClient,
        observer: Observer,
        own_report: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Take this node's own part of the report from ``own_report``."""
        self._board = board
        self._peers = peers
        self._observer = observer
        self._own_report = own_report

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the operators' routes."""
        router.add_get("/v1/report", self.report)
        router.add_get("/v1/traces", self.traces)
        router.add_get("/v1/metrics", self.metrics)

    async def report(self, _request: web.Request) -> web.Response:
        """Return every node's report, asked for now; a silent node is named as such."""
        own_id = self._board.identity.node_id
        others = [m for m in self._board.live_members() if m.node_id != own_id]
        reports = await asyncio.gather(*(self._ask(member) for member in others))
        nodes = {own_id: self._own_report()}
        nodes.update({member.node_id: r for member, r in zip(others, reports, strict=True)})
        return web.json_response({"asked": own_id, "nodes": nodes})

    async def traces(self, _request: web.Request) -> web.Response:
        """Return this node's newest spans."""
        return web.json_response({"spans": self._observer.spans()})

    async def metrics(self, _request: web.Request) -> web.Response:
        """Return this node's counters and encoded histograms."""
        return web.json_response(
            {
                "counters": dict(self._observer.counters),
                "histograms": dict(self._observer.histograms()),
            }
        )

    async def _ask(self, member: Member) -> Mapping[str, Any]:
        try:
            return await self._peers.fetch_report(member, REPORT_TIMEOUT_S)
        except PeerUnavailableError as error:
            return {"unavailable": str(error)}
