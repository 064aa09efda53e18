"""Decides who gets which datagram: probes of a few members, with news riding along.

Each period a node probes :data:`FAN_OUT` members, the next of a shuffled ring, so
that its cost does not grow with the fleet. News (joins, leaving, deaths) rides on
probes and their answers a bounded number of times, and every datagram carries a
few more rows in turn, so that what was lost arrives in the end. A death is never
believed on hearsay: whoever hears of one probes the process itself.

Pure: no I/O, no clock and no randomness of its own.
"""

import math
import random
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from ...blackboard import Member
from ...peers import Death, MemberRow, Message, MessageKind, Outgoing
from ._member_table import Change, Known, Life, MemberTable

FAN_OUT: Final = 3
HELPERS: Final = 2
ASKS_PER_TICK: Final = 6
NEWS_ROWS: Final = 6
WALK_ROWS: Final = 2
RUMOUR_PATIENCE: Final = 0.35
DEATHS_PER_MESSAGE: Final = 16
LEAVE_FAN_OUT: Final = 12
CONTACT_EVERY_TICKS: Final = 4
JOIN_CONTACTS: Final = 3
SYNC_DATAGRAMS: Final = 10
SYNC_ROWS: Final = 6
SYNCS_PER_TICK: Final = 3
DEAF_S: Final = 0.25
FORGET_EVERY_TICKS: Final = 50
ASKS_REMEMBERED: Final = 64


class _Probe(NamedTuple):
    incarnation: str
    address: str
    nonce: int
    first_sent_at_s: float
    sent_at_s: float
    silent_since_s: float
    rumoured: bool


class Gossip:
    """One node's side of the protocol.

    ``heartbeat_s`` is the period of :meth:`tick` and the time after which a probe
    is repeated; ``suspect_after_s`` is how long a member may leave probes
    unanswered before it is taken for dead.
    """

    def __init__(
        self, own: Member, rng: random.Random, *, heartbeat_s: float, suspect_after_s: float
    ) -> None:
        """Begin with a fleet of one."""
        self.table = MemberTable()
        self.own = own
        self.catching_up = False
        self._rng = rng
        self._heartbeat_s = heartbeat_s
        self._suspect_after_s = suspect_after_s
        self._probes: dict[str, _Probe] = {}
        self._asked: dict[int, str] = {}
        self._ring: list[str] = []
        self._walk: list[str] = []
        self._news: dict[str, int] = {}
        self._synced_at_s: dict[str, float] = {}
        self._syncs_left = SYNCS_PER_TICK
        self._ticks = 0
        self._last_tick_s: float | None = None
        self._deaf_until_s = -math.inf
        self._caught_up_by_s = -math.inf

    def tick(self, own: Member, contacts: Sequence[str], now_s: float) -> Sequence[Outgoing]:
        """Return what to send this period; ``contacts`` are addresses to join through."""
        self._notice_own_pause(now_s)
        self._refresh_own(own, now_s)
        self._ticks += 1
        self._syncs_left = SYNCS_PER_TICK
        if self._ticks % FORGET_EVERY_TICKS == 0:
            self.table.forget_old(now_s)
        outgoing = list(self._follow_up(now_s))
        outgoing.extend(self._probe_next(FAN_OUT, now_s))
        outgoing.extend(self._try_contacts(contacts, now_s))
        return outgoing

    def announce(self, own: Member, now_s: float) -> Sequence[Outgoing]:
        """Return what to send at once after a change that others should know soon."""
        self._refresh_own(own, now_s)
        self._tell(own.incarnation)
        return self._probe_next(LEAVE_FAN_OUT, now_s)

    def announce_exit(self, now_s: float) -> Sequence[Outgoing]:
        """Return the last words of a process that ends."""
        peers = self._random_alive(LEAVE_FAN_OUT)
        return [
            Outgoing(known.member.peer_address, self._compose(MessageKind.GONE, 0, now_s))
            for known in peers
        ]

    def receive(self, message: Message, now_s: float) -> Sequence[Outgoing]:
        """Take in a message and return what to send in answer."""
        sender = message.rows[0].member
        if self.is_deaf(now_s) or sender.incarnation == self.own.incarnation:
            return ()
        for row in message.rows:
            self._hear_row(row, now_s)
        outgoing = [out for death in message.deaths for out in self._hear_of_death(death, now_s)]
        match message.kind:
            case MessageKind.PING:
                ack = self._compose(MessageKind.ACK, message.nonce, now_s)
                outgoing.append(Outgoing(sender.peer_address, ack))
            case MessageKind.ACK:
                outgoing.extend(self._hear_ack(message.nonce, sender, now_s))
            case MessageKind.ASK:
                outgoing.extend(self._probe_for(sender, message, now_s))
            case MessageKind.GONE:
                self._note_death(sender.incarnation, Life.GONE, now_s)
            case MessageKind.NEWS:
                pass
        outgoing.extend(self._sync(sender, message.known, now_s))
        return outgoing

    def is_deaf(self, now_s: float) -> bool:
        """Whether what arrives now may have waited while this process was frozen."""
        late = self._last_tick_s is not None and now_s - self._last_tick_s >= self._suspect_after_s
        return late or now_s < self._deaf_until_s

    def _notice_own_pause(self, now_s: float) -> None:
        """Start over carefully after this process was frozen.

        What waited in the socket meanwhile looks fresh and is not, and probes that
        it could not see answered say nothing of the others. Until somebody answers
        a new probe, this node does not offer itself to callers.
        """
        last_tick_s, self._last_tick_s = self._last_tick_s, now_s
        if last_tick_s is not None and now_s - last_tick_s >= self._suspect_after_s:
            self._deaf_until_s = now_s + DEAF_S
            self._probes.clear()
            self.catching_up = True
            self._caught_up_by_s = now_s + self._suspect_after_s + DEAF_S
        if self.catching_up and now_s >= self._caught_up_by_s:
            self.catching_up = False

    def _refresh_own(self, own: Member, now_s: float) -> None:
        """Raise the sequence: each period's row is a new sign of life."""
        ready = own.ready and not self.catching_up
        self.own = own._replace(sequence=self.own.sequence + 1, ready=ready)
        if self.table.merge(self.own, 0.0, now_s) is Change.NEWS:
            self._tell(self.own.incarnation)

    def _hear_row(self, row: MemberRow, now_s: float) -> None:
        if row.member.incarnation == self.own.incarnation:
            return
        if self.table.merge(row.member, row.age_ms / 1000.0, now_s) is not Change.NEWS:
            return
        if row.member.peer_address == self.own.peer_address:
            # This process holds the address now, so the other one is gone.
            self._note_death(row.member.incarnation, Life.DEAD, now_s)
        self._tell(row.member.incarnation)

    def _hear_of_death(self, death: Death, now_s: float) -> Sequence[Outgoing]:
        if death.incarnation == self.own.incarnation:
            self._tell(death.incarnation)
            return ()
        known = self.table.known.get(death.incarnation)
        if known is None or known.life is not Life.ALIVE:
            return ()
        silent_since_s = now_s - death.silent_for_ms / 1000.0
        if death.own_word:
            self._note_death(death.incarnation, Life.GONE, silent_since_s)
            return ()
        if known.made_at_s > silent_since_s or death.incarnation in self._probes:
            return ()
        # Passed on before it is settled here, or each hop would cost a whole probe.
        probe = self._probe(known, now_s, silent_since_s=silent_since_s)
        self._tell(death.incarnation)
        return [probe]

    def _hear_ack(self, nonce: int, sender: Member, now_s: float) -> Sequence[Outgoing]:
        self.catching_up = False
        requester = self._asked.pop(nonce, None)
        for probe in [p for p in self._probes.values() if p.nonce == nonce]:
            del self._probes[probe.incarnation]
            if probe.incarnation != sender.incarnation:
                # Another process answers at this address, so the one that was
                # probed is gone. Only an answer to a fresh nonce proves that.
                self._note_death(probe.incarnation, Life.DEAD, now_s)
        if requester is None:
            return ()
        return [Outgoing(requester, self._compose(MessageKind.NEWS, 0, now_s, first=sender))]

    def _probe_for(self, requester: Member, message: Message, now_s: float) -> Sequence[Outgoing]:
        """Probe an address for another node, whose own path to it may be lossy."""
        if len(self._asked) >= ASKS_REMEMBERED:
            self._asked.pop(next(iter(self._asked)))
        nonce = self._rng.getrandbits(32) | 1
        self._asked[nonce] = requester.peer_address
        return [Outgoing(message.target, self._compose(MessageKind.PING, nonce, now_s))]

    def _follow_up(self, now_s: float) -> Iterable[Outgoing]:
        """Settle or repeat the probes that are still open."""
        asks_left = ASKS_PER_TICK
        for probe in list(self._probes.values()):
            known = self.table.known.get(probe.incarnation)
            if known is None or known.life is not Life.ALIVE:
                del self._probes[probe.incarnation]
                continue
            if known.made_at_s > probe.first_sent_at_s:
                del self._probes[probe.incarnation]
                continue
            patience_s = self._suspect_after_s * (RUMOUR_PATIENCE if probe.rumoured else 1.0)
            if now_s - probe.first_sent_at_s >= patience_s:
                del self._probes[probe.incarnation]
                self._note_death(probe.incarnation, Life.DEAD, probe.first_sent_at_s)
                continue
            if now_s - probe.sent_at_s < self._heartbeat_s * 0.9:
                continue
            self._probes[probe.incarnation] = probe._replace(sent_at_s=now_s)
            ping = self._compose(MessageKind.PING, probe.nonce, now_s)
            yield Outgoing(probe.address, ping)
            if probe.rumoured or asks_left < HELPERS:
                continue
            asks_left -= HELPERS
            for helper in self._random_alive(HELPERS, other_than=probe.incarnation):
                ask = self._compose(MessageKind.ASK, 0, now_s)._replace(target=probe.address)
                yield Outgoing(helper.member.peer_address, ask)

    def _probe_next(self, count: int, now_s: float) -> Sequence[Outgoing]:
        outgoing: list[Outgoing] = []
        refilled = False
        while len(outgoing) < count:
            if not self._ring:
                if refilled:
                    break
                refilled = True
                self._ring = [k.member.incarnation for k in self._others()]
                self._rng.shuffle(self._ring)
                continue
            incarnation = self._ring.pop()
            known = self.table.known.get(incarnation)
            if known is None or known.life is not Life.ALIVE or incarnation in self._probes:
                continue
            outgoing.append(self._probe(known, now_s))
        return outgoing

    def _probe(
        self, known: Known, now_s: float, *, silent_since_s: float | None = None
    ) -> Outgoing:
        """Start a probe; ``silent_since_s`` is set when it checks a rumour."""
        member = known.member
        nonce = self._rng.getrandbits(32) | 1
        self._probes[member.incarnation] = _Probe(
            incarnation=member.incarnation,
            address=member.peer_address,
            nonce=nonce,
            first_sent_at_s=now_s,
            sent_at_s=now_s,
            silent_since_s=now_s if silent_since_s is None else silent_since_s,
            rumoured=silent_since_s is not None,
        )
        return Outgoing(member.peer_address, self._compose(MessageKind.PING, nonce, now_s))

    def _try_contacts(self, contacts: Sequence[str], now_s: float) -> Sequence[Outgoing]:
        """Knock where somebody may be whom this node does not know or has lost.

        Without this, two halves that took each other for dead would never meet
        again after the network between them came back.
        """
        others = self._others()
        if others and self._ticks % CONTACT_EVERY_TICKS:
            return ()
        met = {known.member.peer_address for known in others} | {self.own.peer_address}
        candidates = sorted({*contacts, *self.table.dead_addresses()} - met)
        count = min(len(candidates), 1 if others else JOIN_CONTACTS)
        knock = self._compose(MessageKind.PING, 0, now_s)
        return [Outgoing(address, knock) for address in self._rng.sample(candidates, count)]

    def _sync(self, sender: Member, known: int, now_s: float) -> Sequence[Outgoing]:
        """Tell a newcomer, who knows few members, of many at once.

        When a whole fleet starts, all newcomers turn to the same few seeds; without
        a bound on how many a seed serves at a time it would do nothing else.
        """
        last_s = self._synced_at_s.get(sender.incarnation, -math.inf)
        if known * 4 > self.table.alive_count * 3 or now_s - last_s < self._heartbeat_s:
            return ()
        if not self._syncs_left:
            return ()
        self._syncs_left -= 1
        others = self._others()
        self._synced_at_s = {
            inc: at_s for inc, at_s in self._synced_at_s.items() if now_s - at_s < 10.0
        }
        self._synced_at_s[sender.incarnation] = now_s
        picked = self._rng.sample(others, min(len(others), SYNC_DATAGRAMS * SYNC_ROWS))
        news = self._compose(MessageKind.NEWS, 0, now_s)
        return [
            Outgoing(
                sender.peer_address,
                news._replace(
                    rows=[news.rows[0], *(_row(k, now_s) for k in picked[at : at + SYNC_ROWS])]
                ),
            )
            for at in range(0, len(picked), SYNC_ROWS)
        ]

    def _note_death(self, incarnation: str, life: Life, silent_since_s: float) -> None:
        self._probes.pop(incarnation, None)
        if self.table.bury(incarnation, life, silent_since_s):
            self._tell(incarnation)

    def _tell(self, incarnation: str) -> None:
        """Let news of a process ride on the next datagrams.

        Told c times to random others by each, news misses one node in e to the c;
        the walk through all rows reaches the rest.
        """
        self._news[incarnation] = 4 + math.ceil(math.log2(len(self.table.known) + 2) / 2)

    def _compose(
        self, kind: MessageKind, nonce: int, now_s: float, first: Member | None = None
    ) -> Message:
        rows = [MemberRow(self.own, 0)]
        if first is not None:
            rows.append(MemberRow(first, 0))
        deaths: list[Death] = []
        for incarnation in self._news_in_order():
            known = self.table.known.get(incarnation)
            if known is None:
                del self._news[incarnation]
                continue
            probe = self._probes.get(incarnation)
            rumoured = probe is not None and probe.rumoured
            if known.life is not Life.ALIVE or rumoured:
                if len(deaths) < DEATHS_PER_MESSAGE:
                    since_s = probe.silent_since_s if probe else known.silent_since_s
                    own_word = known.life is Life.GONE
                    deaths.append(Death(incarnation, _ms(now_s - since_s), own_word))
                    self._spend(incarnation)
            elif len(rows) <= NEWS_ROWS:
                if incarnation != self.own.incarnation:
                    rows.append(_row(known, now_s))
                self._spend(incarnation)
        rows.extend(self._walk_on(now_s))
        return Message(kind, nonce, "", self.table.alive_count, rows, deaths)

    def _news_in_order(self) -> Sequence[str]:
        """Return whom to tell of, what was told least often first."""
        if not self._news:
            return ()
        return sorted(self._news, key=self._news.__getitem__, reverse=True)

    def _spend(self, incarnation: str) -> None:
        self._news[incarnation] -= 1
        if not self._news[incarnation]:
            del self._news[incarnation]

    def _walk_on(self, now_s: float) -> Iterable[MemberRow]:
        """Return the next rows of a walk through all live members, over and over."""
        if not self._walk:
            self._walk = [known.member.incarnation for known in self._others()]
            self._rng.shuffle(self._walk)
        taken = [self._walk.pop() for _row in range(min(WALK_ROWS, len(self._walk)))]
        rows = (self.table.known.get(incarnation) for incarnation in taken)
        return [_row(known, now_s) for known in rows if known and known.life is Life.ALIVE]

    def _others(self) -> Sequence[Known]:
        return [k for k in self.table.alive() if k.member.incarnation != self.own.incarnation]

    def _random_alive(self, count: int, other_than: str = "") -> Sequence[Known]:
        others = [k for k in self._others() if k.member.incarnation != other_than]
        return self._rng.sample(others, min(count, len(others)))


def _row(known: Known, now_s: float) -> MemberRow:
    return MemberRow(known.member, _ms(now_s - known.made_at_s))


def _ms(seconds: float) -> int:
    return max(0, int(seconds * 1000.0))
