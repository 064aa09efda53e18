"""Sends each call to the owner of its service that can start it first.

Load: calls of a service arrive at dozens of nodes, and a surge lasts a few seconds. Every reply of
an owner carries the wait of a new call there, so that nodes learn of a full owner within
milliseconds and without further messages.
"""

import asyncio
import math
import random
import secrets
from collections.abc import Callable, Collection
from typing import Final, NamedTuple, Protocol

from ..blackboard import Identity
from ..observe import Observer
from ..serving import Call, CallKind, Forwarder, Route, TargetAnswer, WeightedService
from ._dispatched_call import DispatchedCall, Hop
from ._messages import CallReply, CallRequest
from ._owner_states import OwnerStates
from ._ownership import Owner, OwnershipView

# Waits that differ by less than this share of the objective count as equal. A caller does not
# notice the difference, and the nearest owner is preferred then.
EQUAL_WAIT_SHARE: Final = 0.02
_DISPATCHED_KINDS: Final = frozenset({CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT})


class OwnerChannel(Protocol):
    """Sends calls to owners."""

    async def send(self, owner: Owner, request: CallRequest) -> CallReply:
        """Return the owner's reply.

        :raises HopError: when there is none; it tells whether the owner may have got the call.
        """
        ...

    async def probe(self, owner: Owner) -> bool:
        """Return whether the owner replied to a message that does nothing."""
        ...


class GatewayNode(NamedTuple):
    """This node as its gateway needs it.

    ``projected_wait_s`` returns how long a new call of a service would wait in this node's queue,
    in seconds, infinite if the node has no target for it. ``call_priority`` returns the priority of
    a call, from its workspace and its route.
    """

    identity: Identity
    projected_wait_s: Callable[[str], float]
    call_priority: Callable[[str, Route], int]


class CallGateway:
    """Forwards calls through the owners of their service; there is one per process.

    Calls of services without owners, and of kinds that are not dispatched, go to the forwarder of
    this node unchanged.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        ownership: OwnershipView,
        channel: OwnerChannel,
        node: GatewayNode,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Send calls through ``channel``, and those that this node dispatches to ``forwarder``."""
        self.forwarder = forwarder
        self.channel = channel
        self.identity = node.identity
        self.observer = observer
        self._logger = observer.log("gateway")
        self.states = OwnerStates()
        self._ownership = ownership
        self._projected_wait_s = node.projected_wait_s
        self._call_priority = node.call_priority
        self._rng = rng
        # A random start keeps a restarted process from granting attempts of its predecessor.
        self._last_hop_number = secrets.randbits(48)
        self._open_hops: dict[int, tuple[DispatchedCall, Hop]] = {}
        self._probes: set[asyncio.Task[None]] = set()

    async def forward(self, call: Call, route: Route) -> TargetAnswer:
        """Return the target's answer, whatever its status.

        :raises RequestError: when there is no answer to return; ``ran`` is NO only if no target can
            have run the call.
        """
        if route.kind not in _DISPATCHED_KINDS:
            return await self.forwarder.forward(call, route)
        services = self.forwarder.select_services(route)
        if not services or self._ownership.owned(services[0]) is None:
            return await self.forwarder.forward(call, route)
        service = services[0]
        priority = self._call_priority(call.workspace, route)
        if len(route.services) > 1 or priority != route.priority:
            route = route._replace(services=(WeightedService(service, 1.0),), priority=priority)
        owner = self.choose(service, route, (), asyncio.get_running_loop().time())
        if owner is None and self._ownership.owners(service):
            self.count_taken_over()
        if owner is None or self.is_own(owner):
            return await self.forwarder.forward(call, route)
        return await DispatchedCall(self, call, route, service).result(owner)

    def grant_attempt(self, hop_number: int) -> bool:
        """Return whether the owner that serves a hop may start another attempt."""
        entry = self._open_hops.get(hop_number)
        if entry is None:
            return False
        dispatched, hop = entry
        return dispatched.grant_attempt(hop)

    def choose(
        self, service: str, route: Route, asked: Collection[str], now_s: float
    ) -> Owner | None:
        """Return the owner with the smallest wait, None if none is left to ask.

        ``asked`` are the incarnations of owners that are not considered. Avoided owners are not
        considered either. Equal owners are chosen at random by their slots.
        """
        unit_s = max(0.001, route.objective_s * EQUAL_WAIT_SHARE)

        def rank(owner: Owner) -> tuple[float, bool, bool, float]:
            wait_s = self.wait_s(owner, service, now_s)
            return (
                round(wait_s / unit_s) if wait_s < math.inf else math.inf,
                not self.is_own(owner),
                owner.zone != self.identity.zone,
                self._rng.expovariate(max(1, owner.slots)),
            )

        candidates = [
            owner
            for owner in self._ownership.owners(service)
            if owner.incarnation not in asked and not self.states.is_avoided(owner, now_s)
        ]
        if len(candidates) <= 1:
            return candidates[0] if candidates else None
        return min(candidates, key=rank)

    def wait_s(self, owner: Owner, service: str, now_s: float) -> float:
        """Return how long a call would wait at an owner, as far as this node knows."""
        if self.is_own(owner):
            return self._projected_wait_s(service)
        return self.states.wait_s(owner, service, now_s)

    def avoid(self, owner: Owner, duration_s: float, service: str, reason: str) -> None:
        """Send no calls to an owner for a time, and log that once in that time."""
        now_s = asyncio.get_running_loop().time()
        if not self.states.is_avoided(owner, now_s):
            self._logger.warning(
                "owner=%s avoided for %.1f s service=%s: %s",
                owner.node_id,
                duration_s,
                service,
                reason,
            )
        self.states.avoid(owner, now_s + duration_s)

    def count_taken_over(self) -> None:
        """Count a call that this node forwards because none of its owners can be asked."""
        self.observer.counters["owner_calls_taken_over"] += 1

    def is_own(self, owner: Owner) -> bool:
        """Whether an owner is this process."""
        return owner.incarnation == self.identity.incarnation

    def forget_owners(self, live_incarnations: Collection[str]) -> None:
        """Drop the observations of processes that are no longer alive."""
        self.states.keep_only(set(live_incarnations))

    def open_hop(self, dispatched: DispatchedCall, hop: Hop) -> int:
        """Register a hop whose owner may ask for attempts, and return its number."""
        self._last_hop_number += 1
        self._open_hops[self._last_hop_number] = (dispatched, hop)
        return self._last_hop_number

    def close_hop(self, number: int) -> None:
        """Grant no further attempts to a hop."""
        self._open_hops.pop(number, None)

    def start_probe(self, owner: Owner) -> None:
        """Ask an owner for any reply, in the background."""
        task = asyncio.ensure_future(self._probe(owner))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, owner: Owner) -> None:
        if await self.channel.probe(owner):
            self.states.record_reply(owner, asyncio.get_running_loop().time())
