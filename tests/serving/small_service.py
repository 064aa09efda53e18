"""A small service of targets that crash, before several nodes that report crashes to each other."""

import asyncio
import random

from samphirecleat.crashes import CrashGossip, CrashLedger, UrgentReports
from samphirecleat.errors import Ran, RequestError
from samphirecleat.peers import Message
from samphirecleat.serving import (
    Call,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    TableServiceView,
    Target,
    TargetAnswer,
    TargetFault,
    TargetTable,
    WeightedService,
    registration_state,
    sibling_targets,
)

from ..crashes.guards import make_guard
from ..crashes.test_crash_gossip import EMPTY

OK = TargetAnswer(200, (), b"whole", "sig")
ROUTE = Route(
    "r", "h", "/", CallKind.IDEMPOTENT, [WeightedService("svc", 1.0)], 5.0, 0.15, max_attempts=2
)
# Delay of a report between two nodes.
LINK_S = 0.004
RUN_S = 0.02


class Node:
    """A node with its view of the targets; also sends its reports to all other nodes."""

    def __init__(self, service: "SmallService", node_id: str, *, knows_sizes: bool) -> None:
        self._service = service
        self.ledger = CrashLedger()
        self.table = TargetTable("z", node_id)
        self.gossip = CrashGossip(self.ledger, lambda: 2)
        urgent = UrgentReports(self.gossip)
        urgent.sender = self
        self.guard = make_guard(
            self.ledger,
            service.listens,
            lambda start: registration_state(self.table, start),
            lambda start: sibling_targets(self.table, start),
            gossip=self.gossip,
            services=TableServiceView(self.table) if knows_sizes else None,
            urgent=urgent,
            node_id=node_id,
        )
        self.forwarder = Forwarder(
            RouteTable(), self.table, service, random.Random(1), guard=self.guard
        )

    def bare_message(self) -> Message:
        return EMPTY

    def send_to_some(self, message: Message, count: int) -> None:
        assert count > 0
        loop = asyncio.get_running_loop()
        for node in self._service.nodes:
            if node is not self:
                loop.call_later(LINK_S, lambda n=node: n.gossip.apply_updates(message, loop.time()))

    async def send(self, path: str, *, deadline_s: float = 1.0) -> str:
        """Forward a call; return "ok" or the kind of its error."""
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", path, "h", (), b"", now_s, now_s + deadline_s)
        try:
            await self.forwarder.forward(call, ROUTE)
        except RequestError as error:
            return error.kind.value
        return "ok"


class SmallService:
    """Targets that crash ``run_s`` after they start a call to ``/crash...``, and restart later."""

    def __init__(
        self, count: int, *, restart_s: float, nodes: int = 2, knows_sizes: bool = True
    ) -> None:
        self.run_s = RUN_S
        self.look_s = 0.0
        self.restart_s = restart_s
        self.starts = dict.fromkeys((f"t{number}" for number in range(count)), 1)
        self.down: set[str] = set()
        self.least_up = count
        self.crashes = 0
        self.asked: list[tuple[str, str]] = []
        self.most_at_once = 0
        self._running: dict[str, set[asyncio.Future[None]]] = {name: set() for name in self.starts}
        self.nodes = [Node(self, f"n{n}", knows_sizes=knows_sizes) for n in range(nodes)]
        self.register()

    def register(self) -> None:
        """Let all nodes read the registrations; a crashed target stays registered."""
        for node in self.nodes:
            node.table.replace(
                {
                    f"{name}-{n}": Target(f"{name}-{n}", "svc", name, "z", 6, False, ())
                    for name, n in self.starts.items()
                }
            )

    async def listens(self, address: str) -> bool:
        await asyncio.sleep(self.look_s)
        return address not in self.down

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del budget_s
        name = target.address
        if name in self.down:
            raise TargetFault("connection refused", Ran.NO)
        self.asked.append((call.raw_path, name))
        cut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._running[name].add(cut)
        self.most_at_once = max(self.most_at_once, sum(map(len, self._running.values())))
        try:
            async with asyncio.timeout(self.run_s):
                await cut
        except TimeoutError:
            if not call.raw_path.startswith("/crash"):
                return OK
            self.crash(name)
        finally:
            self._running[name].discard(cut)
        raise TargetFault("reset", Ran.UNKNOWN, connection_closed=True)

    def crash(self, name: str) -> None:
        """Crash a target with all its calls, and restart it later."""
        if name in self.down:
            return
        self.crashes += 1
        self.down.add(name)
        self.least_up = min(self.least_up, len(self.starts) - len(self.down))
        for cut in self._running[name]:
            if not cut.done():
                cut.set_result(None)
        asyncio.get_running_loop().call_later(self.restart_s, self._restart, name)

    def _restart(self, name: str) -> None:
        self.down.discard(name)
        self.starts[name] += 1
        self.register()
