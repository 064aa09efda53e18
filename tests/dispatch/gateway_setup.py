"""A gateway over scripted owners, and over a scripted target that its own node reaches."""

import asyncio
import random
from collections import defaultdict

from samphirecleat.blackboard import Identity
from samphirecleat.dispatch import (
    CallGateway,
    CallReply,
    CallRequest,
    GatewayNode,
    Owner,
    OwnershipView,
)
from samphirecleat.observe import Observer
from samphirecleat.serving import (
    Call,
    CallKind,
    Forwarder,
    Route,
    RouteTable,
    Target,
    TargetAnswer,
    TargetTable,
    WeightedService,
)

from .fleets import SERVICES, members, targets

ANSWER = TargetAnswer(200, (), b"whole", "sig")
OBJECTIVE_S = 0.1
Reply = CallReply | Exception | float


def reply(wait_s: float = 0.0, answer: TargetAnswer = ANSWER) -> CallReply:
    """Return the reply with an answer."""
    return CallReply.from_answer(answer, wait_s)


class ScriptedOwners:
    """Owners by node id with scripted replies; a number is a silence before the answer."""

    def __init__(self) -> None:
        self.replies: dict[str, list[Reply]] = defaultdict(list)
        self.sent: list[tuple[str, CallRequest]] = []
        self.cancelled: list[str] = []
        self.answers_probes = False
        self.probes = 0

    @property
    def asked(self) -> list[str]:
        return [node_id for node_id, _ in self.sent]

    async def send(self, owner: Owner, request: CallRequest) -> CallReply:
        self.sent.append((owner.node_id, request))
        replies = self.replies[owner.node_id]
        result = replies.pop(0) if replies else reply()
        if isinstance(result, Exception):
            raise result
        if isinstance(result, float):
            try:
                await asyncio.sleep(result)
            except asyncio.CancelledError:
                self.cancelled.append(owner.node_id)
                raise
            return reply()
        return result

    async def probe(self, owner: Owner) -> bool:
        del owner
        self.probes += 1
        return self.answers_probes


class LocalTargets:
    """A channel to targets that answer at once; records their instances."""

    def __init__(self) -> None:
        self.instances: list[str] = []

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        del call, budget_s
        self.instances.append(target.instance)
        return ANSWER


class Stage:
    """The gateway of a node, by default of one that owns nothing, and the owners it calls."""

    def __init__(self, target_count: int = 12, *, own: bool = False, fleet: int = 6) -> None:
        nodes = members(fleet)
        of = targets(target_count)
        view = OwnershipView("", max_nodes_without_owners=5)
        view.update(nodes, of, SERVICES)
        self.owners = [owner.node_id for owner in view.owners("plain")]
        outsiders = [node.node_id for node in nodes if node.node_id not in self.owners]
        node_id = self.owners[-1] if own else outsiders[0]
        self.node = next(node for node in nodes if node.node_id == node_id)
        self.ownership = OwnershipView(node_id, max_nodes_without_owners=5)
        self.ownership.update(nodes, of, SERVICES)
        self.channel = ScriptedOwners()
        self.local = LocalTargets()
        self.own_wait_s = 0.0
        table = TargetTable("z")
        table.replace({target.instance: target for target in of})
        forwarder = Forwarder(RouteTable(), table, self.local, random.Random(1))
        identity = Identity(
            node_id, self.node.incarnation, self.node.zone, "a:1", self.node.peer_address
        )
        self.observer = Observer(node_id)
        self.gateway = CallGateway(
            forwarder,
            self.ownership,
            self.channel,
            GatewayNode(identity, lambda _service: self.own_wait_s),
            self.observer,
            random.Random(1),
        )

    async def forward(self, to: Route, left_s: float = 1.0) -> TargetAnswer:
        """Forward a call that has ``left_s`` left."""
        now_s = asyncio.get_running_loop().time()
        call = Call("id", "POST", "/x", "h", (("A", "b"),), b"body", now_s, now_s + left_s)
        return await self.gateway.forward(call, to)

    def granted(self) -> int:
        """Return how many attempts were granted with requests."""
        return sum(request.granted_attempts for _, request in self.channel.sent)


def route(kind: CallKind = CallKind.IDEMPOTENT, max_attempts: int = 2) -> Route:
    """Return a route to the plain service."""
    part = [WeightedService("plain", 1.0)]
    return Route("r", "h", "/", kind, part, 5.0, OBJECTIVE_S, max_attempts)
