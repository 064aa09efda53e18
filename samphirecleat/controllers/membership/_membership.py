"""Who the members are: the thin UDP driver around the pure gossip decisions."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any, Final, Protocol, cast

from ...blackboard import Blackboard, Member
from ...observe import Observer
from ...peers import HeartbeatCodec, HeartbeatError, Message, Outgoing
from ._gossip import Gossip

START_JITTER: Final = 0.2


class PiggybackSource(Protocol):
    """Another part whose news rides on the datagrams."""

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with this part's news put in."""
        ...

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Take this part's news out of a message that arrived."""
        ...


class Membership(asyncio.DatagramProtocol):
    """Sends and takes datagrams, and keeps the member section.

    ``contacts`` of a node are its seeds and what the host list shows. The list is
    only a hint of where to knock: it neither makes a member nor ends one.
    """

    def __init__(
        self,
        board: Blackboard,
        codec: HeartbeatCodec,
        observer: Observer,
        own_row: Callable[[], Member],
        *,
        seeds: Sequence[str],
        heartbeat_s: float,
        suspect_after_s: float,
        rng: random.Random | None = None,
        piggyback_sources: Sequence[PiggybackSource] = (),
    ) -> None:
        """Ask ``own_row`` for this node's row at each heartbeat."""
        self._board = board
        self._codec = codec
        self._observer = observer
        self._own_row = own_row
        self._seeds = seeds
        self._heartbeat_s = heartbeat_s
        self._rng = rng or random.Random()
        self._piggyback_sources = piggyback_sources
        self._transport: asyncio.DatagramTransport | None = None
        self._told_revision = board.config.revision
        self.gossip = Gossip(
            own_row(),
            self._rng,
            heartbeat_s=heartbeat_s,
            suspect_after_s=suspect_after_s,
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transport is none of asyncio's classes, so no isinstance here.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:  # noqa: ARG002
        """Take in a datagram; one without the key is counted and changes nothing."""
        counters = self._observer.counters
        counters["member_bytes_received"] += len(data)
        try:
            message = self._codec.unpack(data)
        except HeartbeatError:
            counters["heartbeats_rejected"] += 1
            return
        now_s = asyncio.get_running_loop().time()
        outgoing = self.gossip.receive(message, now_s)
        if not self.gossip.is_deaf(now_s):
            for source in self._piggyback_sources:
                source.apply_updates(message, now_s)
        self._write_members()
        self._send(outgoing, now_s)

    async def drive(self) -> None:
        """Send heartbeats for as long as the node lives."""
        while True:
            self.beat()
            # Jitter: nodes that started together would else send together for good.
            jitter = 1.0 + START_JITTER * (self._rng.random() - 0.5)
            await asyncio.sleep(self._heartbeat_s * jitter)

    def beat(self) -> None:
        """Probe the next members."""
        now_s = asyncio.get_running_loop().time()
        contacts = [*self._seeds, *self._board.listed_nodes]
        outgoing = self.gossip.tick(self._own_row(), contacts, now_s)
        self._write_members()
        self._send(outgoing, now_s)

    def announce(self) -> None:
        """Tell several members at once that this node changed, as when it leaves."""
        now_s = asyncio.get_running_loop().time()
        outgoing = self.gossip.announce(self._own_row(), now_s)
        self._write_members()
        self._send(outgoing, now_s)

    def announce_exit(self) -> None:
        """Tell several members that this process ends now."""
        now_s = asyncio.get_running_loop().time()
        self._send(self.gossip.announce_exit(now_s), now_s)

    def _write_members(self) -> None:
        table = self.gossip.table
        came: list[str] = []
        went: list[str] = []
        for node_id in table.changed_node_ids:
            own = node_id == self._board.identity.node_id
            view = table.shown_own(self.gossip.own) if own else table.shown(node_id)
            before = self._board.members.get(node_id)
            if view is None:
                self._board.members.pop(node_id, None)
                continue
            self._board.members[node_id] = view
            if before is None or before.alive != view.alive:
                (came if view.alive else went).append(node_id)
        table.changed_node_ids.clear()
        if came or went:
            # One line for all: after a loss of all power every node hears of every other.
            self._observer.log("members").info(
                "alive=%s gone=%s known=%d", ",".join(came), ",".join(went), len(table.known)
            )

    def _send(self, outgoing: Sequence[Outgoing], now_s: float) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        for address, message in outgoing:
            for source in self._piggyback_sources:
                message = source.add_updates(message, now_s)
            datagram = self._codec.pack(message)
            self._observer.counters["member_bytes_sent"] += len(datagram)
            self._observer.counters["member_datagrams_sent"] += 1
            host, port = address.rsplit(":", 1)
            transport.sendto(datagram, (host.strip("[]"), int(port)))
