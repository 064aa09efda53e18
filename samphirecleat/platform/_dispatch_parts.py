"""Sets up the components that dispatch calls through the owners of their targets."""

import random
from collections.abc import Mapping, Sequence

from ..blackboard import Blackboard, Member
from ..crashes import CrashGuard
from ..dispatch import (
    CallGateway,
    GatewayNode,
    GrantedChannel,
    OwnershipView,
    SlotQueue,
    count_usage_in_scope,
)
from ..observe import Observer
from ..serving import (
    Call,
    Forwarder,
    Route,
    RouteTable,
    ServiceSpec,
    Target,
    TargetAnswer,
    TargetTable,
    UsageMeter,
)
from ._call_bytes import CallBytes
from ._call_exchange import CallExchange
from ._owner_channel import NodeCallClient
from ._owner_endpoint import NodeCallHandler
from ._target_sessions import TargetSessions


class DispatchParts:
    """The forwarder of a node, its gateway to owners, and its endpoint as an owner."""

    def __init__(
        self,
        board: Blackboard,
        routes: RouteTable,
        targets: TargetTable,
        ownership: OwnershipView,
        sessions: TargetSessions,
        call_bytes: CallBytes,
        meter: UsageMeter,
        guard: CrashGuard,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Connect the components; requires a running event loop. Nothing is sent yet."""
        self._ownership = ownership
        self._observer = observer
        self._logger = observer.log("node")
        self.client = NodeCallClient(observer)
        slots = SlotQueue(targets, ownership.owned, observer)
        self.forwarder = Forwarder(
            routes,
            targets,
            GrantedChannel(CallExchange(sessions)),
            rng,
            count_usage_in_scope(meter),
            guard,
            slots,
        )
        node = GatewayNode(board.identity, slots.projected_wait_s, routes.call_priority)
        self.gateway = CallGateway(self.forwarder, ownership, self.client, node, observer, rng)
        self.endpoint = NodeCallHandler(
            self._forward_for_node,
            slots.projected_wait_s,
            self.gateway.grant_attempt,
            self.client.ask_attempt,
            call_bytes,
            observer,
        )

    def refresh(
        self,
        members: Sequence[Member],
        targets: Mapping[str, Target],
        services: Mapping[str, ServiceSpec],
    ) -> None:
        """Compute the owners of targets from the current membership and registrations."""
        self.gateway.forget_owners([member.incarnation for member in members])
        if not self._ownership.update(members, targets, services):
            return
        owned = self._ownership.owned_by_service()
        self._observer.counters["owned_targets"] = sum(len(names) for names in owned.values())
        self._logger.info(
            "owned targets changed: %s",
            " ".join(f"{name}={','.join(sorted(owned[name]))}" for name in sorted(owned)) or "none",
        )

    async def _forward_for_node(self, call: Call, route: Route) -> TargetAnswer:
        """Forward a call of another node, whose route holds its priority."""
        return await self.forwarder.forward(call, route, priority=route.priority)
