"""Cluster membership over UDP: a thin driver around :class:`._gossip.Gossip`."""

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
    """A component whose updates are sent along with membership datagrams."""

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with this component's updates added."""
        ...

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Apply this component's updates from a received message."""
        ...


class Membership(asyncio.DatagramProtocol):
    """Sends and receives datagrams, and writes the members to the blackboard.

    The contacts of a node are its seeds and the addresses on the host list. The host
    list is only a hint of whom to contact: it neither adds nor removes members.
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
        """Create the endpoint; ``own_row`` returns this node's row for each heartbeat."""
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
        """Store the transport."""
        # No isinstance check: uvloop's transport is not derived from asyncio's classes.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:  # noqa: ARG002
        """Process a datagram; one that fails authentication is counted and ignored."""
        counters = self._observer.counters
        counters["member_bytes_received"] += len(data)
        try:
            message = self._codec.unpack(data)
        except HeartbeatError:
            counters["heartbeats_rejected"] += 1
            return
        now_s = asyncio.get_running_loop().time()
        outgoing = self.gossip.receive(message, now_s)
        if not self.gossip.discards_messages(now_s):
            for source in self._piggyback_sources:
                source.apply_updates(message, now_s)
        self._write_members()
        self._send(outgoing, now_s)

    async def drive(self) -> None:
        """Send heartbeats periodically until cancelled."""
        while True:
            self.send_heartbeats()
            # Jitter, so that nodes started together do not keep sending at the same time.
            jitter = 1.0 + START_JITTER * (self._rng.random() - 0.5)
            await asyncio.sleep(self._heartbeat_s * jitter)

    def send_heartbeats(self) -> None:
        """Probe the next members."""
        now_s = asyncio.get_running_loop().time()
        contacts = [*self._seeds, *self._board.listed_nodes]
        outgoing = self.gossip.tick(self._own_row(), contacts, now_s)
        self._write_members()
        self._send(outgoing, now_s)

    def announce(self) -> None:
        """Tell several members at once that this node's row changed, for example its leaving."""
        now_s = asyncio.get_running_loop().time()
        outgoing = self.gossip.announce(self._own_row(), now_s)
        self._write_members()
        self._send(outgoing, now_s)

    def announce_exit(self) -> None:
        """Tell several members that this process is about to end."""
        now_s = asyncio.get_running_loop().time()
        self._send(self.gossip.announce_exit(now_s), now_s)

    def bare_message(self) -> Message:
        """Return a message to which updates can be added for :meth:`send_to_some`."""
        return self.gossip.bare_update()

    def send_to_some(self, message: Message, count: int) -> None:
        """Send a message as it is to ``count`` live members, without waiting for a heartbeat."""
        for address, copy in self.gossip.address_to_some(message, count):
            self._send_datagram(address, copy)

    def _write_members(self) -> None:
        table = self.gossip.table
        joined: list[str] = []
        left: list[str] = []
        for node_id in table.changed_node_ids:
            own = node_id == self._board.identity.node_id
            view = table.own_view(self.gossip.own) if own else table.current_view(node_id)
            before = self._board.members.get(node_id)
            if view is None:
                self._board.members.pop(node_id, None)
                continue
            self._board.members[node_id] = view
            if before is None or before.alive != view.alive:
                (joined if view.alive else left).append(node_id)
        table.changed_node_ids.clear()
        if joined or left:
            # One line for all members: after a full outage all nodes rejoin at once.
            self._observer.log("members").info(
                "alive=%s gone=%s known=%d", ",".join(joined), ",".join(left), len(table.records)
            )

    def _send(self, outgoing: Sequence[Outgoing], now_s: float) -> None:
        if self._is_closed():
            return
        for address, message in outgoing:
            for source in self._piggyback_sources:
                message = source.add_updates(message, now_s)
            self._send_datagram(address, message)

    def _is_closed(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _send_datagram(self, address: str, message: Message) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        datagram = self._codec.pack(message)
        self._observer.counters["member_bytes_sent"] += len(datagram)
        self._observer.counters["member_datagrams_sent"] += 1
        host, port = address.rsplit(":", 1)
        transport.sendto(datagram, (host.strip("[]"), int(port)))
