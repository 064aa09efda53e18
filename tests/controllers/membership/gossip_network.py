"""A simulated network of gossip nodes with faults; simulated time, no sockets, no loop."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from samphirecleat.blackboard import Member
from samphirecleat.controllers.membership._gossip import Gossip
from samphirecleat.controllers.membership._member_table import Liveness
from samphirecleat.peers import Outgoing

HEARTBEAT_S = 0.5
SUSPECT_AFTER_S = 2.0
LIST_LAG_S = 2.0


def make_member(node_id: str, incarnation: str, started_at_ms: int = 1000) -> Member:
    """Return a ready member whose peer address is its node id."""
    return Member(node_id, incarnation, started_at_ms, "z", "h:1", node_id, 0, False, True, 1, 0, 0)


@dataclass
class SimulatedNode:
    """One process; until ``paused_until_s`` it neither sends nor receives."""

    gossip: Gossip
    own: Member
    running: bool = True
    paused_until_s: float = 0.0


@dataclass
class Network:
    """Delivers datagrams with configurable loss, delay, duplication and partitions."""

    rng: random.Random
    loss: float = 0.0
    duplicated: float = 0.0
    max_delay_s: float = 0.01
    now_s: float = 100.0
    is_cut: Callable[[str, str], bool] = lambda _a, _b: False
    nodes: dict[str, SimulatedNode] = field(default_factory=dict)
    delivered: int = 0
    listed_from_s: dict[str, float] = field(default_factory=dict)
    sent_by_kind: dict[str, int] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def start(self, address: str, incarnation: str, started_at_ms: int = 1000) -> SimulatedNode:
        """Start a process at an address, replacing any process that ran there."""
        own = make_member(address, incarnation, started_at_ms)
        gossip = Gossip(
            own,
            random.Random(self.rng.random()),
            heartbeat_s=HEARTBEAT_S,
            suspect_after_s=SUSPECT_AFTER_S,
        )
        node = SimulatedNode(gossip, own)
        self.nodes[address] = node
        # The simulated host list shows a host late and never removes one.
        self.listed_from_s.setdefault(address, self.now_s + LIST_LAG_S)
        self._at(self.now_s + self.rng.random() * HEARTBEAT_S, lambda: self._tick(node))
        return node

    def stop(self, address: str) -> None:
        """Kill a process without notice to the others."""
        self.nodes.pop(address).running = False

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        until_s = self.now_s + seconds
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _number, event = heapq.heappop(self._events)
            event()
        self.now_s = until_s

    def views_agree(self) -> bool:
        """Whether every live process considers exactly the live processes alive."""
        live = {node.own.incarnation for node in self.nodes.values()}
        return all(self.alive_at(address) == live for address in self.nodes)

    def alive_at(self, address: str) -> set[str]:
        """Return the incarnations that a node considers alive."""
        known = self.nodes[address].gossip.table.records.values()
        return {k.member.incarnation for k in known if k.liveness is Liveness.ALIVE}

    def send(self, sender: str, outgoing: Sequence[Outgoing]) -> None:
        """Schedule the delivery of messages."""
        for address, message in outgoing:
            kind = message.kind.name
            self.sent_by_kind[kind] = self.sent_by_kind.get(kind, 0) + 1
            copies = 2 if self.rng.random() < self.duplicated else 1
            for _copy in range(copies):
                if self.rng.random() < self.loss or self.is_cut(sender, address):
                    continue
                delay_s = self.rng.random() * self.max_delay_s
                self._at(self.now_s + delay_s, lambda a=address, m=message: self._deliver(a, m))

    def _deliver(self, address: str, message: object) -> None:
        node = self.nodes.get(address)
        if node is None:
            return
        if self.now_s < node.paused_until_s:
            # The datagram stays in the socket's buffer until the process resumes.
            self._at(node.paused_until_s + 0.001, lambda: self._deliver(address, message))
            return
        self.delivered += 1
        self.send(address, node.gossip.receive(message, self.now_s))

    def _tick(self, node: SimulatedNode) -> None:
        if not node.running:
            return
        if self.now_s < node.paused_until_s:
            self._at(node.paused_until_s, lambda: self._tick(node))
            return
        listed = [address for address, at_s in self.listed_from_s.items() if at_s <= self.now_s]
        self.send(node.own.node_id, node.gossip.tick(node.own, listed, self.now_s))
        jitter = 0.9 + 0.2 * self.rng.random()
        self._at(self.now_s + HEARTBEAT_S * jitter, lambda: self._tick(node))

    def _at(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), event))
