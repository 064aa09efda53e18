"""A SWIM-style gossip protocol: probes a few members and piggybacks updates on them.

Each period a node probes :data:`PROBES_PER_TICK` members, taken in turn from a
shuffled list, so that its cost does not grow with the fleet. Updates (joins, leaving,
deaths) are piggybacked on probes and their answers a bounded number of times, and
every datagram carries a few more rows in turn, so that lost updates arrive
eventually. A reported death is never accepted without verification: every node that
receives the report probes the process itself.

Performs no I/O; the clock and the random generator are passed in.
"""

import math
import random
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from ...blackboard import Member
from ...peers import Death, MemberRow, Message, MessageKind, Outgoing
from ._member_table import Liveness, MemberRecord, MemberTable, RowChange

PROBES_PER_TICK: Final = 3
INDIRECT_PROBERS: Final = 2
INDIRECT_PROBES_PER_TICK: Final = 6
UPDATE_ROWS_PER_MESSAGE: Final = 6
REFRESH_ROWS_PER_MESSAGE: Final = 2
REPORTED_DEATH_TIMEOUT_FRACTION: Final = 0.35
DEATHS_PER_MESSAGE: Final = 16
ANNOUNCE_FAN_OUT: Final = 12
CONTACT_EVERY_TICKS: Final = 4
JOIN_CONTACTS: Final = 3
DATAGRAMS_PER_SYNC: Final = 10
ROWS_PER_SYNC_DATAGRAM: Final = 6
SYNCS_PER_TICK: Final = 3
DISCARD_AFTER_PAUSE_S: Final = 0.25
EXPIRE_EVERY_TICKS: Final = 50
MAX_INDIRECT_REQUESTS: Final = 64


class _Probe(NamedTuple):
    incarnation: str
    address: str
    nonce: int
    first_sent_at_s: float
    sent_at_s: float
    silent_since_s: float
    verifies_report: bool


class Gossip:
    """The protocol state of one node.

    ``heartbeat_s`` is the period of :meth:`tick` and the time after which a probe is
    repeated; ``suspect_after_s`` is how long a member may leave probes unanswered before
    it is considered dead.
    """

    def __init__(
        self, own: Member, rng: random.Random, *, heartbeat_s: float, suspect_after_s: float
    ) -> None:
        """Start with this process as the only member."""
        self.table = MemberTable()
        self.own = own
        self.catching_up = False
        self._rng = rng
        self._heartbeat_s = heartbeat_s
        self._suspect_after_s = suspect_after_s
        self._probes: dict[str, _Probe] = {}
        self._indirect_requests: dict[int, str] = {}
        self._probe_queue: list[str] = []
        self._refresh_queue: list[str] = []
        self._updates: dict[str, int] = {}
        self._synced_at_s: dict[str, float] = {}
        self._syncs_left = SYNCS_PER_TICK
        self._ticks = 0
        self._last_tick_s: float | None = None
        self._discard_until_s = -math.inf
        self._catch_up_until_s = -math.inf

    def tick(self, own: Member, contacts: Sequence[str], now_s: float) -> Sequence[Outgoing]:
        """Return what to send this period; ``contacts`` are addresses to join through."""
        self._detect_own_pause(now_s)
        self._refresh_own(own, now_s)
        self._ticks += 1
        self._syncs_left = SYNCS_PER_TICK
        if self._ticks % EXPIRE_EVERY_TICKS == 0:
            self.table.remove_expired(now_s)
        outgoing = list(self._check_open_probes(now_s))
        outgoing.extend(self._probe_next(PROBES_PER_TICK, now_s))
        outgoing.extend(self._ping_contacts(contacts, now_s))
        return outgoing

    def announce(self, own: Member, now_s: float) -> Sequence[Outgoing]:
        """Return what to send at once after a change of this node's own row."""
        self._refresh_own(own, now_s)
        self._queue_update(own.incarnation)
        return self._probe_next(ANNOUNCE_FAN_OUT, now_s)

    def bare_update(self) -> Message:
        """Return a message that carries this node's own row only."""
        return Message(MessageKind.UPDATE, 0, "", self.table.alive_count, [MemberRow(self.own, 0)])

    def address_to_some(self, message: Message, count: int) -> Sequence[Outgoing]:
        """Address a message to ``count`` live members, drawn at random."""
        return [Outgoing(k.member.peer_address, message) for k in self._random_alive(count)]

    def announce_exit(self, now_s: float) -> Sequence[Outgoing]:
        """Return the messages that tell members of this process's exit."""
        peers = self._random_alive(ANNOUNCE_FAN_OUT)
        return [
            Outgoing(record.member.peer_address, self._compose(MessageKind.EXIT, 0, now_s))
            for record in peers
        ]

    def receive(self, message: Message, now_s: float) -> Sequence[Outgoing]:
        """Process a message and return what to send in answer."""
        sender = message.rows[0].member
        if self.discards_messages(now_s) or sender.incarnation == self.own.incarnation:
            return ()
        for row in message.rows:
            self._apply_row(row, now_s)
        outgoing = [out for death in message.deaths for out in self._apply_death(death, now_s)]
        match message.kind:
            case MessageKind.PING:
                ack = self._compose(MessageKind.ACK, message.nonce, now_s)
                outgoing.append(Outgoing(sender.peer_address, ack))
            case MessageKind.ACK:
                outgoing.extend(self._handle_ack(message.nonce, sender, now_s))
            case MessageKind.PING_REQ:
                outgoing.extend(self._probe_indirectly(sender, message, now_s))
            case MessageKind.EXIT:
                self._mark_ended(sender.incarnation, Liveness.GONE, now_s)
            case MessageKind.UPDATE:
                pass
        outgoing.extend(self._sync(sender, message.known_member_count, now_s))
        return outgoing

    def discards_messages(self, now_s: float) -> bool:
        """Whether received messages are discarded, as they may be from before a pause."""
        late = self._last_tick_s is not None and now_s - self._last_tick_s >= self._suspect_after_s
        return late or now_s < self._discard_until_s

    def _detect_own_pause(self, now_s: float) -> None:
        """Reset the protocol state after this process was paused.

        Datagrams queued in the socket during the pause look recent but are not, and probes
        whose answers were missed say nothing about the other members. Until a new probe is
        answered, this node reports itself as not ready.
        """
        last_tick_s, self._last_tick_s = self._last_tick_s, now_s
        if last_tick_s is not None and now_s - last_tick_s >= self._suspect_after_s:
            self._discard_until_s = now_s + DISCARD_AFTER_PAUSE_S
            self._probes.clear()
            self.catching_up = True
            self._catch_up_until_s = now_s + self._suspect_after_s + DISCARD_AFTER_PAUSE_S
        if self.catching_up and now_s >= self._catch_up_until_s:
            self.catching_up = False

    def _refresh_own(self, own: Member, now_s: float) -> None:
        """Increment the sequence, so that every period's row shows that this process is alive."""
        ready = own.ready and not self.catching_up
        self.own = own._replace(sequence=self.own.sequence + 1, ready=ready)
        if self.table.merge(self.own, 0.0, now_s) is RowChange.UPDATED:
            self._queue_update(self.own.incarnation)

    def _apply_row(self, row: MemberRow, now_s: float) -> None:
        if row.member.incarnation == self.own.incarnation:
            return
        if self.table.merge(row.member, row.age_ms / 1000.0, now_s) is not RowChange.UPDATED:
            return
        if row.member.peer_address == self.own.peer_address:
            # This process has bound the address, so the other process has ended.
            self._mark_ended(row.member.incarnation, Liveness.DEAD, now_s)
        self._queue_update(row.member.incarnation)

    def _apply_death(self, death: Death, now_s: float) -> Sequence[Outgoing]:
        if death.incarnation == self.own.incarnation:
            self._queue_update(death.incarnation)
            return ()
        record = self.table.records.get(death.incarnation)
        if record is None or record.liveness is not Liveness.ALIVE:
            return ()
        silent_since_s = now_s - death.silent_for_ms / 1000.0
        if death.self_reported:
            self._mark_ended(death.incarnation, Liveness.GONE, silent_since_s)
            return ()
        if record.made_at_s > silent_since_s or death.incarnation in self._probes:
            return ()
        # Disseminated before it is verified here; otherwise each hop would be delayed by
        # a whole probe.
        probe = self._probe(record, now_s, silent_since_s=silent_since_s)
        self._queue_update(death.incarnation)
        return [probe]

    def _handle_ack(self, nonce: int, sender: Member, now_s: float) -> Sequence[Outgoing]:
        self.catching_up = False
        requester = self._indirect_requests.pop(nonce, None)
        for probe in [p for p in self._probes.values() if p.nonce == nonce]:
            del self._probes[probe.incarnation]
            if probe.incarnation != sender.incarnation:
                # Another process answers at this address, so the probed one has ended.
                # Only an answer to the nonce of this probe proves that.
                self._mark_ended(probe.incarnation, Liveness.DEAD, now_s)
        if requester is None:
            return ()
        return [Outgoing(requester, self._compose(MessageKind.UPDATE, 0, now_s, first=sender))]

    def _probe_indirectly(
        self, requester: Member, message: Message, now_s: float
    ) -> Sequence[Outgoing]:
        """Probe an address for another node, whose own path to it may be lossy."""
        if len(self._indirect_requests) >= MAX_INDIRECT_REQUESTS:
            self._indirect_requests.pop(next(iter(self._indirect_requests)))
        nonce = self._rng.getrandbits(32) | 1
        self._indirect_requests[nonce] = requester.peer_address
        return [Outgoing(message.probe_address, self._compose(MessageKind.PING, nonce, now_s))]

    def _check_open_probes(self, now_s: float) -> Iterable[Outgoing]:
        """Resolve, time out or repeat the open probes."""
        indirect_probes_left = INDIRECT_PROBES_PER_TICK
        for probe in list(self._probes.values()):
            record = self.table.records.get(probe.incarnation)
            if record is None or record.liveness is not Liveness.ALIVE:
                del self._probes[probe.incarnation]
                continue
            if record.made_at_s > probe.first_sent_at_s:
                del self._probes[probe.incarnation]
                continue
            timeout_s = self._suspect_after_s * (
                REPORTED_DEATH_TIMEOUT_FRACTION if probe.verifies_report else 1.0
            )
            if now_s - probe.first_sent_at_s >= timeout_s:
                del self._probes[probe.incarnation]
                self._mark_ended(probe.incarnation, Liveness.DEAD, probe.first_sent_at_s)
                continue
            if now_s - probe.sent_at_s < self._heartbeat_s * 0.9:
                continue
            self._probes[probe.incarnation] = probe._replace(sent_at_s=now_s)
            ping = self._compose(MessageKind.PING, probe.nonce, now_s)
            yield Outgoing(probe.address, ping)
            if probe.verifies_report or indirect_probes_left < INDIRECT_PROBERS:
                continue
            indirect_probes_left -= INDIRECT_PROBERS
            for prober in self._random_alive(INDIRECT_PROBERS, other_than=probe.incarnation):
                ask = self._compose(MessageKind.PING_REQ, 0, now_s)._replace(
                    probe_address=probe.address
                )
                yield Outgoing(prober.member.peer_address, ask)

    def _probe_next(self, count: int, now_s: float) -> Sequence[Outgoing]:
        outgoing: list[Outgoing] = []
        refilled = False
        while len(outgoing) < count:
            if not self._probe_queue:
                if refilled:
                    break
                refilled = True
                self._probe_queue = [k.member.incarnation for k in self._others()]
                self._rng.shuffle(self._probe_queue)
                continue
            incarnation = self._probe_queue.pop()
            record = self.table.records.get(incarnation)
            if (
                record is None
                or record.liveness is not Liveness.ALIVE
                or incarnation in self._probes
            ):
                continue
            outgoing.append(self._probe(record, now_s))
        return outgoing

    def _probe(
        self, record: MemberRecord, now_s: float, *, silent_since_s: float | None = None
    ) -> Outgoing:
        """Start a probe; ``silent_since_s`` is set if it verifies a reported death."""
        member = record.member
        nonce = self._rng.getrandbits(32) | 1
        self._probes[member.incarnation] = _Probe(
            incarnation=member.incarnation,
            address=member.peer_address,
            nonce=nonce,
            first_sent_at_s=now_s,
            sent_at_s=now_s,
            silent_since_s=now_s if silent_since_s is None else silent_since_s,
            verifies_report=silent_since_s is not None,
        )
        return Outgoing(member.peer_address, self._compose(MessageKind.PING, nonce, now_s))

    def _ping_contacts(self, contacts: Sequence[str], now_s: float) -> Sequence[Outgoing]:
        """Ping contacts and dead members that are not among the known live members.

        Without this, the two sides of a network partition that consider each other dead
        would never rejoin after the partition heals.
        """
        others = self._others()
        if others and self._ticks % CONTACT_EVERY_TICKS:
            return ()
        known_addresses = {record.member.peer_address for record in others} | {
            self.own.peer_address
        }
        candidates = sorted({*contacts, *self.table.dead_addresses()} - known_addresses)
        count = min(len(candidates), 1 if others else JOIN_CONTACTS)
        ping = self._compose(MessageKind.PING, 0, now_s)
        return [Outgoing(address, ping) for address in self._rng.sample(candidates, count)]

    def _sync(self, sender: Member, known_count: int, now_s: float) -> Sequence[Outgoing]:
        """Send many rows at once to a new member that knows few members.

        When a whole fleet starts, all new members contact the same few seeds; the number of
        syncs per period is bounded, so that a seed is not fully occupied by them.
        """
        last_s = self._synced_at_s.get(sender.incarnation, -math.inf)
        if known_count * 4 > self.table.alive_count * 3 or now_s - last_s < self._heartbeat_s:
            return ()
        if not self._syncs_left:
            return ()
        self._syncs_left -= 1
        others = self._others()
        self._synced_at_s = {
            inc: at_s for inc, at_s in self._synced_at_s.items() if now_s - at_s < 10.0
        }
        self._synced_at_s[sender.incarnation] = now_s
        picked = self._rng.sample(
            others, min(len(others), DATAGRAMS_PER_SYNC * ROWS_PER_SYNC_DATAGRAM)
        )
        update = self._compose(MessageKind.UPDATE, 0, now_s)
        return [
            Outgoing(
                sender.peer_address,
                update._replace(
                    rows=[
                        update.rows[0],
                        *(_to_row(k, now_s) for k in picked[at : at + ROWS_PER_SYNC_DATAGRAM]),
                    ]
                ),
            )
            for at in range(0, len(picked), ROWS_PER_SYNC_DATAGRAM)
        ]

    def _mark_ended(self, incarnation: str, liveness: Liveness, silent_since_s: float) -> None:
        self._probes.pop(incarnation, None)
        if self.table.mark_ended(incarnation, liveness, silent_since_s):
            self._queue_update(incarnation)

    def _queue_update(self, incarnation: str) -> None:
        """Queue an update about a process for piggybacking on the next datagrams.

        If every node passes an update on c times to random members, it misses a fraction of
        e to the power of -c of the nodes; the regular row refresh reaches the rest.
        """
        self._updates[incarnation] = 4 + math.ceil(math.log2(len(self.table.records) + 2) / 2)

    def _compose(
        self, kind: MessageKind, nonce: int, now_s: float, first: Member | None = None
    ) -> Message:
        rows = [MemberRow(self.own, 0)]
        if first is not None:
            rows.append(MemberRow(first, 0))
        deaths: list[Death] = []
        for incarnation in self._updates_in_order():
            record = self.table.records.get(incarnation)
            if record is None:
                del self._updates[incarnation]
                continue
            probe = self._probes.get(incarnation)
            verifies_report = probe is not None and probe.verifies_report
            if record.liveness is not Liveness.ALIVE or verifies_report:
                if len(deaths) < DEATHS_PER_MESSAGE:
                    since_s = probe.silent_since_s if probe else record.silent_since_s
                    self_reported = record.liveness is Liveness.GONE
                    deaths.append(Death(incarnation, _to_ms(now_s - since_s), self_reported))
                    self._count_transmission(incarnation)
            elif len(rows) <= UPDATE_ROWS_PER_MESSAGE:
                if incarnation != self.own.incarnation:
                    rows.append(_to_row(record, now_s))
                self._count_transmission(incarnation)
        rows.extend(self._next_refresh_rows(now_s))
        return Message(kind, nonce, "", self.table.alive_count, rows, deaths)

    def _updates_in_order(self) -> Sequence[str]:
        """Return the incarnations with queued updates, those with most transmissions left first."""
        if not self._updates:
            return ()
        return sorted(self._updates, key=self._updates.__getitem__, reverse=True)

    def _count_transmission(self, incarnation: str) -> None:
        self._updates[incarnation] -= 1
        if not self._updates[incarnation]:
            del self._updates[incarnation]

    def _next_refresh_rows(self, now_s: float) -> Iterable[MemberRow]:
        """Return the next rows of a repeated pass over all live members."""
        if not self._refresh_queue:
            self._refresh_queue = [record.member.incarnation for record in self._others()]
            self._rng.shuffle(self._refresh_queue)
        taken = [
            self._refresh_queue.pop()
            for _row in range(min(REFRESH_ROWS_PER_MESSAGE, len(self._refresh_queue)))
        ]
        rows = (self.table.records.get(incarnation) for incarnation in taken)
        return [
            _to_row(record, now_s)
            for record in rows
            if record and record.liveness is Liveness.ALIVE
        ]

    def _others(self) -> Sequence[MemberRecord]:
        return [k for k in self.table.alive() if k.member.incarnation != self.own.incarnation]

    def _random_alive(self, count: int, other_than: str = "") -> Sequence[MemberRecord]:
        others = [k for k in self._others() if k.member.incarnation != other_than]
        return self._rng.sample(others, min(count, len(others)))


def _to_row(record: MemberRecord, now_s: float) -> MemberRow:
    return MemberRow(record.member, _to_ms(now_s - record.made_at_s))


def _to_ms(seconds: float) -> int:
    return max(0, int(seconds * 1000.0))
