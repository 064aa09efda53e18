"""What operators meet: the fleet report, traces and metrics."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

from aiohttp import web

from ..blackboard import Blackboard, Member
from ..errors import ErrorKind, RequestError
from ..observe import Metrics, MetricsFormatError, Observer, merge_metrics, read_metrics, summarize
from ..peers import PeerClient, PeerUnavailableError

REPORT_TIMEOUT_S: Final = 2.0
ASKED_AT_ONCE: Final = 32


class OperatorHandlers:
    """Answers operators from this node and, for the fleet, from all others.

    Nodes are asked at the moment of the question and nothing is sent around
    beforehand, so that the report costs nothing while nobody reads it.
    """

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
        nodes = await self._ask_all()
        return web.json_response({"asked": self._board.identity.node_id, "nodes": nodes})

    async def traces(self, request: web.Request) -> web.Response:
        """Return this node's newest spans, of one trace with ``?trace=ID``."""
        return web.json_response({"spans": self._observer.spans(request.query.get("trace", ""))})

    async def metrics(self, request: web.Request) -> web.Response:
        """Return this node's metrics, or those of all nodes with ``?scope=fleet``."""
        match request.query.get("scope", "node"):
            case "node":
                return web.json_response(_metrics_body(self._observer.metrics()))
            case "fleet":
                return web.json_response(await self._fleet_metrics())
        raise RequestError(ErrorKind.MALFORMED, 'scope is "node" or "fleet"')

    async def _fleet_metrics(self) -> Mapping[str, Any]:
        """Merge what each node answers; nodes that gave nothing usable are named."""
        parts: list[Metrics] = []
        missing: list[str] = []
        for node_id, report in (await self._ask_all()).items():
            try:
                part = read_metrics(report.get("metrics", {}))
                summarize(part)
            except MetricsFormatError:
                missing.append(node_id)
            else:
                parts.append(part)
        merged = _metrics_body(merge_metrics(parts))
        return {**merged, "merged_from": len(parts), "missing": missing}

    async def _ask_all(self) -> Mapping[str, Mapping[str, Any]]:
        own_id = self._board.identity.node_id
        others = [m for m in self._board.live_members() if m.node_id != own_id]
        # All at once, the answers of a large fleet would come in one burst.
        turns = asyncio.Semaphore(ASKED_AT_ONCE)
        reports = await asyncio.gather(*(self._ask(member, turns) for member in others))
        nodes = {own_id: self._own_report()}
        nodes.update({member.node_id: r for member, r in zip(others, reports, strict=True)})
        return nodes

    async def _ask(self, member: Member, turns: asyncio.Semaphore) -> Mapping[str, Any]:
        async with turns:
            try:
                return await self._peers.fetch_report(member, REPORT_TIMEOUT_S)
            except PeerUnavailableError as error:
                return {"unavailable": str(error)}


def _metrics_body(metrics: Metrics) -> Mapping[str, Any]:
    return {**metrics._asdict(), "summary": summarize(metrics)}
