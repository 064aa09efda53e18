"""Nodes that dispatch to their targets, in one process, behind paths that can fail."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from samphirecleat.blackboard import Identity, Member
from samphirecleat.connections import make_shared_limits
from samphirecleat.dispatch import (
    CallGateway,
    GatewayNode,
    GrantedChannel,
    OwnershipView,
    count_usage_in_scope,
)
from samphirecleat.observe import Observer
from samphirecleat.platform._call_bytes import CallBytes
from samphirecleat.platform._call_exchange import CallExchange
from samphirecleat.platform._owner_channel import NodeCallClient
from samphirecleat.platform._owner_endpoint import NodeCallHandler
from samphirecleat.platform._target_sessions import TargetSessions
from samphirecleat.serving import (
    Call,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    ServiceSpec,
    Target,
    TargetAnswer,
    TargetTable,
    WeightedService,
)
from samphirecleat.standins import StandInServer

from ..fleets import TcpProxy, until

OBJECTIVE_S = 0.2


class PlainTarget(StandInServer):
    """A target that answers after ``pause_s``; records runs, time limits and ended connections.

    The next ``reset_next`` calls run, and their connection is reset.
    """

    def __init__(self, instance: str) -> None:
        super().__init__()
        self.instance = instance
        self.pause_s = 0.0
        self.reset_next = 0
        self.runs: Counter[str] = Counter()
        self.latest_end_s: dict[str, float] = {}
        self.cancelled_at_s = 0.0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_route("*", "/{path:.*}", self._call)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        now_s, request_id = time.monotonic(), request.headers["X-Request-Id"]
        limit_s = int(request.headers["X-Deadline-Ms"]) / 1000.0
        self.latest_end_s[request_id] = now_s + limit_s
        self.runs[request_id] += 1
        transport = request.transport
        assert transport is not None
        if self.reset_next:
            self.reset_next -= 1
            transport.abort()
        end_s = now_s + self.pause_s
        while time.monotonic() < end_s and not self.cancelled_at_s:
            if transport.is_closing():
                self.cancelled_at_s = time.monotonic()
            await asyncio.sleep(0.005)
        return web.Response(
            body=b"answer", headers={"X-Request-Id": request_id, "X-Server-Stamp": "s"}
        )


class OwnerNode:
    """The parts of a node that dispatch calls; other nodes reach it by ``path``."""

    def __init__(self, number: int, targets: list[Target]) -> None:
        self.node_id = f"n{number}"
        self.observer = Observer(self.node_id)
        self.table = TargetTable("z")
        self.table.replace({target.instance: target for target in targets})
        self.ownership = OwnershipView(self.node_id, max_nodes_without_owners=1)
        self.metered: list[str] = []
        self.sessions = TargetSessions(self.observer)
        self.client = NodeCallClient(self.observer)
        self.forwarder = Forwarder(
            RouteTable(),
            self.table,
            GrantedChannel(CallExchange(self.sessions)),
            random.Random(1),
            count_usage_in_scope(lambda workspace, _began_at_s: self.metered.append(workspace)),
        )

    async def start(self) -> None:
        """Listen for calls of other nodes."""
        self.endpoint = NodeCallHandler(
            self.forwarder.forward,
            lambda _service: 0.0,
            lambda number: self.gateway.grant_attempt(number),
            self.client.ask_attempt,
            CallBytes(1 << 24, self.observer),
            self.observer,
        )
        self.server = self.endpoint.server(make_shared_limits(1000, 1 << 24, self.observer))
        self.runner = web.ServerRunner(self.server, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.path = TcpProxy("{}:{}".format(*self.runner.addresses[0]))
        await self.path.start()
        self.gateway = CallGateway(
            self.forwarder,
            self.ownership,
            self.client,
            GatewayNode(
                Identity(self.node_id, self.node_id, "z", "a:1", self.path.address),
                lambda _service: 0.0,
                lambda _workspace, route: route.priority,
            ),
            self.observer,
            random.Random(1),
        )

    def row(self, *, leaving: bool) -> Member:
        """Return the node's row in the membership."""
        names = (self.node_id, self.node_id, 0, "z", "a:1", self.path.address)
        return Member(*names, 1, leaving, True, 1, 0, 0)

    async def forward(
        self, request_id: str, kind: CallKind = CallKind.IDEMPOTENT, *, left_s: float = 2.0
    ) -> TargetAnswer:
        """Forward a call that arrived at this node; at most two targets may run it."""
        part = [WeightedService("plain", 1.0)]
        route = Route("r", "h", "/", kind, part, 5.0, OBJECTIVE_S, 2)
        now_s = asyncio.get_running_loop().time()
        call = Call(request_id, "POST", "/x", "h", (), b"body", now_s, now_s + left_s, "workspace")
        return await self.gateway.forward(call, route)

    async def stop(self) -> None:
        """Close all connections."""
        await self.path.stop()
        await self.runner.cleanup()
        await self.client.close()
        await self.sessions.close()


class OwnerFleet:
    """Four nodes over one plain service: two ``owners``, and two ``others`` that own nothing."""

    def __init__(self, nodes: list[OwnerNode], targets: list[PlainTarget]) -> None:
        self.nodes = nodes
        self.targets = targets
        self.update()
        owner_ids = {owner.node_id for owner in nodes[0].ownership.owners("plain")}
        self.owners = [node for node in nodes if node.node_id in owner_ids]
        self.others = [node for node in nodes if node.node_id not in owner_ids]
        self.sender = self.others[0]

    def update(self, leaving: OwnerNode | None = None) -> None:
        """Give all nodes the same membership."""
        rows = [node.row(leaving=node is leaving) for node in self.nodes]
        for node in self.nodes:
            services = {"plain": ServiceSpec("plain", "/health", 99)}
            node.ownership.update(rows, node.table.targets, services)

    def runs(self, request_id: str) -> int:
        """Return how many targets have begun to run a call."""
        return sum(target.runs[request_id] for target in self.targets)

    def metered(self) -> int:
        """Return how often calls were counted for their workspace."""
        return sum(len(node.metered) for node in self.nodes)

    def prefer(self, owner: OwnerNode) -> None:
        """Make the sender send its next calls to ``owner``."""
        now_s = asyncio.get_running_loop().time()
        for row in self.sender.ownership.owners("plain"):
            wait_s = 0.0 if row.node_id == owner.node_id else 9.0
            self.sender.gateway.states.record_wait(row, "plain", wait_s, now_s)

    async def hold_call(self, pause_s: float, kind: CallKind) -> "asyncio.Task[TargetAnswer]":
        """Send a call that runs for ``pause_s`` through the first owner; return once it runs."""
        self.prefer(self.owners[0])
        for target in self.targets:
            target.pause_s = pause_s
        task = asyncio.ensure_future(self.sender.forward("held", kind))
        await until(lambda: self.runs("held") > 0)
        for target in self.targets:
            target.pause_s = 0.0
        return task


@asynccontextmanager
async def owner_fleet() -> AsyncIterator[OwnerFleet]:
    """Run four nodes over six targets."""
    targets = [PlainTarget(f"p-{number}") for number in range(6)]
    for target in targets:
        await target.start()
    rows = [Target(t.instance, "plain", t.address, "z", 6, False) for t in targets]
    nodes = [OwnerNode(number, rows) for number in range(4)]
    for node in nodes:
        await node.start()
    try:
        yield OwnerFleet(nodes, targets)
    finally:
        for server in (*nodes, *targets):
            await server.stop()
