"""Who the members are: heartbeats merged by incarnation, silence taken for death."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, cast

from ..blackboard import Blackboard, Member, MemberView
from ..observe import Observer
from ..peers import HeartbeatCodec, HeartbeatError

FORGET_AFTER_S: Final = 60.0


def merge_row(known: MemberView | None, row: Member, now_s: float) -> MemberView:
    """Return the view of a member after a row of it arrived.

    A later start wins over an earlier one: a host that was replaced at its old
    address is another process, whatever old rows still go around. Of one
    incarnation the higher sequence wins.
    """
    if known is None:
        return MemberView(row, now_s, alive=True)
    old = known.member
    if row.incarnation != old.incarnation:
        newer = (row.started_at_ms, row.incarnation) > (old.started_at_ms, old.incarnation)
        return MemberView(row, now_s, alive=True) if newer else known
    if row.sequence <= old.sequence:
        return known
    return MemberView(row, now_s, alive=True)


def find_silent(
    members: Iterable[MemberView], own_node_id: str, suspect_after_s: float, now_s: float
) -> Sequence[MemberView]:
    """Return the live members that have been silent for too long."""
    return [
        view
        for view in members
        if view.alive
        and view.member.node_id != own_node_id
        and now_s - view.heard_at_s >= suspect_after_s
    ]


class Membership(asyncio.DatagramProtocol):
    """Sends and takes heartbeats, and keeps the member section."""

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
    ) -> None:
        """Ask ``own_row`` for this node's row at each heartbeat."""
        self._board = board
        self._codec = codec
        self._observer = observer
        self._own_row = own_row
        self._seeds = seeds
        self._heartbeat_s = heartbeat_s
        self._suspect_after_s = suspect_after_s
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transport is none of asyncio's classes, so no isinstance here.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:  # noqa: ARG002
        """Merge the rows of a heartbeat; a datagram without the key is counted."""
        try:
            rows = self._codec.unpack(data)
        except HeartbeatError:
            self._observer.counters["heartbeats_rejected"] += 1
            return
        now_s = asyncio.get_running_loop().time()
        for row in rows:
            if row.node_id != self._board.identity.node_id:
                known = self._board.members.get(row.node_id)
                self._board.members[row.node_id] = merge_row(known, row, now_s)

    async def drive(self) -> None:
        """Send heartbeats and look for silent members for as long as the node lives."""
        while True:
            self.beat()
            await asyncio.sleep(self._heartbeat_s)

    def beat(self) -> None:
        """Send one heartbeat to everyone known."""
        now_s = asyncio.get_running_loop().time()
        row = self._own_row()
        self._board.members[row.node_id] = MemberView(row, now_s, alive=True)
        for view in find_silent(
            self._board.members.values(), row.node_id, self._suspect_after_s, now_s
        ):
            self._board.members[view.member.node_id] = view._replace(alive=False)
            self._observer.log("members").info("Node %s is silent.", view.member.node_id)
        self._forget_dead(now_s)
        datagram = self._codec.pack([row])
        for address in self._peer_addresses(row):
            self._send(datagram, address)

    def _peer_addresses(self, own: Member) -> Iterable[str]:
        addresses = {view.member.peer_address for view in self._board.members.values()}
        addresses.update(self._seeds)
        addresses.update(self._board.listed_nodes)
        addresses.discard(own.peer_address)
        return addresses

    def _send(self, datagram: bytes, address: str) -> None:
        host, port = address.rsplit(":", 1)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (host, int(port)))

    def _forget_dead(self, now_s: float) -> None:
        for node_id, view in list(self._board.members.items()):
            if not view.alive and now_s - view.heard_at_s > FORGET_AFTER_S:
                del self._board.members[node_id]
