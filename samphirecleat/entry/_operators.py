"""HTTP handlers for operators: the fleet report, traces and metrics."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Final

from aiohttp import web

from ..blackboard import Blackboard, Member
from ..errors import ErrorKind, RequestError
from ..observe import Metrics, MetricsFormatError, Observer, merge_metrics, read_metrics, summarize
from ..peers import PeerClient, PeerUnavailableError

REPORT_TIMEOUT_S: Final = 2.0
MAX_CONCURRENT_FETCHES: Final = 32


class OperatorHandlers:
    """Serves the data of this node and, for the whole fleet, of all other live nodes.

    The other nodes' reports are fetched on each request; none are distributed in
    advance, so the report costs nothing while nobody reads it.
    """

    def __init__(
        self,
        board: Blackboard,
        peers: PeerClient,
        observer: Observer,
        own_report: Callable[[], Mapping[str, Any]],
    ) -> None:
        """Call ``own_report`` for this node's own part of the report."""
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
        """Return the current report of every live node, or why a node is unavailable."""
        nodes = await self._fetch_reports()
        return web.json_response({"asked": self._board.identity.node_id, "nodes": nodes})

    async def traces(self, request: web.Request) -> web.Response:
        """Return this node's newest spans; with ``?trace=ID``, only those of one trace."""
        return web.json_response({"spans": self._observer.spans(request.query.get("trace", ""))})

    async def metrics(self, request: web.Request) -> web.Response:
        """Return this node's metrics, or those of all nodes with ``?scope=fleet``."""
        match request.query.get("scope", "node"):
            case "node":
                return web.json_response(_metrics_body(self._observer.metrics()))
            case "fleet":
                return web.json_response(await self._fleet_metrics())
        raise RequestError(ErrorKind.MALFORMED, 'scope must be "node" or "fleet"')

    async def _fleet_metrics(self) -> Mapping[str, Any]:
        """Merge the metrics of all nodes; ``missing`` lists nodes without usable metrics."""
        parts: list[Metrics] = []
        missing: list[str] = []
        for node_id, report in (await self._fetch_reports()).items():
            try:
                part = read_metrics(report.get("metrics", {}))
                summarize(part)
            except MetricsFormatError:
                missing.append(node_id)
            else:
                parts.append(part)
        merged = _metrics_body(merge_metrics(parts))
        return {**merged, "merged_from": len(parts), "missing": missing}

    async def _fetch_reports(self) -> Mapping[str, Mapping[str, Any]]:
        own_id = self._board.identity.node_id
        others = [m for m in self._board.live_members() if m.node_id != own_id]
        # Without a limit, the reports of a large fleet would arrive in one burst.
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        reports = await asyncio.gather(
            *(self._fetch_report(member, semaphore) for member in others)
        )
        nodes = {own_id: self._own_report()}
        nodes.update({member.node_id: r for member, r in zip(others, reports, strict=True)})
        return nodes

    async def _fetch_report(
        self, member: Member, semaphore: asyncio.Semaphore
    ) -> Mapping[str, Any]:
        async with semaphore:
            try:
                return await self._peers.fetch_report(member, REPORT_TIMEOUT_S)
            except PeerUnavailableError as error:
                return {"unavailable": str(error)}


def _metrics_body(metrics: Metrics) -> Mapping[str, Any]:
    return {**metrics._asdict(), "summary": summarize(metrics)}
