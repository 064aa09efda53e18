"""Leases: one holder at a time, whatever is lost, late, paused, or trimmed."""

from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.blackboard import LeaseView
from samphirecleat.config import LogRecord
from samphirecleat.controllers.weights._lease_fold import (
    NO_EPOCH,
    Claim,
    LeaseTable,
    claim_payload,
    fold_claims,
    read_claim,
)
from samphirecleat.controllers.weights._leases import (
    AppendClaim,
    LeaseClock,
    LeaseTimes,
    WaitLease,
    clock_after,
    decide_lease,
    fencing_number,
)

NODES = 2
LEASE = "weights/asesor"
TIMES = LeaseTimes(lease_s=6.0, longest_order_s=4.0)


class Tick(NamedTuple):
    """Time passes, for all clocks alike; each node's clock starts elsewhere."""

    seconds: float


class Read(NamedTuple):
    """A node reads the control stream to its end."""

    node: int


class Keep(NamedTuple):
    """A node claims or renews if it should; what happens to the append is given."""

    node: int
    fate: str


class Turn(NamedTuple):
    """A node reads, claims or renews, reads that, and orders."""

    node: int


class Arrive(NamedTuple):
    """A delayed append takes effect."""

    message: int


class Order(NamedTuple):
    """A node asks whether it may order, and issues an order if so."""

    node: int


class Effect(NamedTuple):
    """An order takes effect at the target."""

    order: int


class Trim(NamedTuple):
    """The log drops its oldest records."""

    count: int


class Restart(NamedTuple):
    """A node's process is replaced."""

    node: int


Step = Tick | Read | Keep | Turn | Arrive | Order | Effect | Trim | Restart
_node = st.integers(0, NODES - 1)
_any = st.integers(0, 20)
steps = st.one_of(
    st.builds(Tick, st.sampled_from([0.5, 1.0, 2.5])),
    st.builds(Tick, st.sampled_from([0.5, 1.0, 2.5, 4.5, 8.0])),
    st.builds(Read, _node),
    st.builds(Keep, _node, st.sampled_from(["whole", "whole", "lost", "late", "twice"])),
    st.builds(Turn, _node),
    st.builds(Turn, _node),
    st.builds(Arrive, _any),
    st.builds(Order, _node),
    st.builds(Effect, _any),
    st.builds(Trim, st.integers(1, 3)),
    st.builds(Restart, _node),
)


class Issued(NamedTuple):
    """An order under way."""

    holder: str
    epoch: int
    at_s: float


class Holder:
    """One process: its table, and its own clock."""

    def __init__(self, name: str, clock_offset_s: float) -> None:
        self.name = name
        self.clock_offset_s = clock_offset_s
        self.table = LeaseTable()
        self.clock = LeaseClock(-1e9)
        self.sent_at_s: dict[str, float] = {}
        self.has_read = False

    def read(self, records: list[LogRecord], first_kept: int, now_s: float) -> None:
        """Fold the stream to its end."""
        own_s = now_s + self.clock_offset_s
        before = self.table
        unread = [record for record in records[first_kept:] if record.offset >= before.next_offset]
        self.table = fold_claims(before, unread, first_kept)
        if self.table.unread_below != before.unread_below:
            self.clock = self.clock._replace(observed_at_s=own_s)
        lease = self.table.leases.get(LEASE)
        for record in unread:
            claim = read_claim(record.payload)
            assert claim is not None
            assert lease is not None
            sent_at_s = self.sent_at_s.get(claim.claim_id)
            self.clock = clock_after(self.clock, lease, claim, record.offset, sent_at_s, own_s)
        self.has_read = True

    def keep(self, now_s: float) -> Claim | None:
        """Return what is to be appended, if anything."""
        own_s = now_s + self.clock_offset_s
        if not self.has_read:
            return None
        match decide_lease(LEASE, self.name, self.table, self.clock, TIMES, own_s):
            case AppendClaim(claim=claim):
                self.sent_at_s[claim.claim_id] = own_s
                self.clock = self.clock._replace(tried_at_s=own_s)
                return claim
        return None

    def may_order(self, now_s: float) -> int | None:
        """Return the number for an order now, if one may be issued."""
        own_s = now_s + self.clock_offset_s
        return fencing_number(LEASE, self.name, self.table, self.clock, TIMES.lease_s, own_s)


class World:
    """The log, the processes, and the orders under way."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.records: list[LogRecord] = []
        self.first_kept = 0
        self.truth = LeaseTable()
        self.late: list[Claim] = []
        self.started = 0
        self.holders = [self._start() for _ in range(NODES)]
        self.holder_of: dict[int, str] = {}
        self.under_way: list[Issued] = []
        self.highest_effect = -1

    def take(self, step: Step) -> None:
        """Carry out one step and check the promises after it."""
        match step:
            case Tick(seconds=seconds):
                self.now_s += seconds
            case Read(node=node):
                self._read(self.holders[node])
            case Keep(node=node, fate=fate):
                self._keep(self.holders[node], fate)
            case Turn(node=node):
                self._read(self.holders[node])
                self._keep(self.holders[node], "whole")
                self._read(self.holders[node])
                self._order(self.holders[node])
            case Arrive(message=message) if self.late:
                self._append(self.late.pop(message % len(self.late)))
            case Order(node=node):
                self._order(self.holders[node])
            case Effect(order=order) if self.under_way:
                self._take_effect(self.under_way.pop(order % len(self.under_way)))
            case Trim(count=count):
                self.first_kept = min(len(self.records), self.first_kept + count)
            case Restart(node=node):
                self.holders[node] = self._start()

    def _start(self) -> Holder:
        self.started += 1
        return Holder(f"n.{self.started}", clock_offset_s=1000.0 * self.started)

    def _keep(self, holder: Holder, fate: str) -> None:
        claim = holder.keep(self.now_s)
        if claim is None or fate == "lost":
            return
        if fate == "late":
            self.late.append(claim)
            return
        self._append(claim)
        if fate == "twice":
            self._append(claim)

    def _append(self, claim: Claim) -> None:
        record = LogRecord(len(self.records), claim_payload(claim))
        self.records.append(record)
        self.truth = fold_claims(self.truth, [record], 0)

    def _read(self, holder: Holder) -> None:
        holder.read(self.records, self.first_kept, self.now_s)
        lease = holder.table.leases.get(LEASE)
        if lease is not None and lease.settled:
            assert lease == self.truth.leases[LEASE]

    def _order(self, holder: Holder) -> None:
        epoch = holder.may_order(self.now_s)
        if epoch is None:
            return
        # A target that checks the number relies on this alone.
        assert self.holder_of.setdefault(epoch, holder.name) == holder.name
        # A target that ignores it relies on nobody else's order being under way.
        for order in self._still_possible():
            assert order.epoch == epoch
        self.under_way.append(Issued(holder.name, epoch, self.now_s))

    def _still_possible(self) -> list[Issued]:
        since_s = self.now_s - TIMES.longest_order_s
        return [order for order in self.under_way if order.at_s > since_s]

    def _take_effect(self, order: Issued) -> None:
        if order.at_s <= self.now_s - TIMES.longest_order_s:
            return  # It would have been longer under way than the longest order.
        assert order.epoch >= self.highest_effect
        self.highest_effect = order.epoch


@settings(max_examples=700)
@given(st.lists(steps, min_size=40, max_size=80))
def test_orders_of_two_holders_never_overlap(interleavings: Counter[str], plan: list[Step]) -> None:
    """Claims race, appends are lost, late or doubled; processes pause and are replaced.

    Two coordinators at once would load an older version after a newer one, and a
    trainer would receive samples of weights that it had left behind.
    """
    interleavings["lease claims and orders"] += 1
    world = World()
    for step in plan:
        world.take(step)


def claim_at(offset: int, holder: str, base: int, epoch: int = NO_EPOCH) -> LogRecord:
    claim = Claim(LEASE, holder, f"c{offset}", base, epoch)
    return LogRecord(offset, claim_payload(claim))


FOLD_CASES = {
    "the first of two claims on one base wins": (
        [claim_at(0, "a", -1), claim_at(1, "b", -1)],
        LeaseView(LEASE, "a", 0, 0),
    ),
    "a renewal moves the base, so a claim made before it loses": (
        [claim_at(0, "a", -1), claim_at(1, "a", 0, 0), claim_at(2, "b", 0)],
        LeaseView(LEASE, "a", 0, 1),
    ),
    "a renewal of an older epoch does not count": (
        [claim_at(0, "a", -1), claim_at(1, "b", 0), claim_at(2, "a", 0, 0)],
        LeaseView(LEASE, "b", 1, 1),
    ),
    "another's renewal does not count": (
        [claim_at(0, "a", -1), claim_at(1, "b", 0, 0)],
        LeaseView(LEASE, "a", 0, 0),
    ),
    "a base that lies ahead does not count": (
        [claim_at(0, "a", -1), claim_at(1, "b", 9)],
        LeaseView(LEASE, "a", 0, 0),
    ),
}


@pytest.mark.parametrize("name", FOLD_CASES)
def test_which_record_counts(name: str) -> None:
    """Two coordinators claim at nearly the same moment; every reader must agree who won."""
    records, expected = FOLD_CASES[name]
    assert fold_claims(LeaseTable(), records, 0).leases[LEASE] == expected


HELD = LeaseTable({LEASE: LeaseView(LEASE, "n", 3, 4)}, 5)
OTHERS = LeaseTable({LEASE: LeaseView(LEASE, "o", 3, 4)}, 5)
DECISIONS = {
    "its own lease is renewed in good time": (HELD, LeaseClock(100.0, 100.0), 103.0, 3),
    "its own lease is left alone while young": (HELD, LeaseClock(100.0, 100.0), 101.0, None),
    "a pause past its end: no renewal": (HELD, LeaseClock(100.0, 94.0), 101.0, None),
    "a pause past its end: waited out": (HELD, LeaseClock(100.0, 94.0), 110.0, NO_EPOCH),
    "another's lease is waited out": (OTHERS, LeaseClock(100.0), 109.9, None),
    "another's lease that fell silent": (OTHERS, LeaseClock(100.0), 110.0, NO_EPOCH),
    "a claim under way is awaited": (LeaseTable(), LeaseClock(0.0, 0.0, 100.0), 100.5, None),
    "a lease that nobody had": (LeaseTable(), LeaseClock(0.0), 100.0, NO_EPOCH),
}


@pytest.mark.parametrize("name", DECISIONS)
def test_when_a_node_claims_or_renews(name: str) -> None:
    """A holder is paused past its lease, or the log is out while a lease lapses."""
    table, clock, now_s, epoch = DECISIONS[name]
    action = decide_lease(LEASE, "n", table, clock, TIMES, now_s)
    assert (action.claim.epoch if isinstance(action, AppendClaim) else None) == epoch


def test_a_lease_counts_from_when_its_record_was_sent() -> None:
    """A process is paused after it sent a renewal and reads it long after it counted.

    Counted from the reading, the lease would outlast what the others wait for.
    """
    renewal = Claim(LEASE, "n", "c4", 3, 3)
    lease = HELD.leases[LEASE]
    clock = clock_after(LeaseClock(90.0, 90.0), lease, renewal, 4, 92.0, 97.0)
    assert clock == LeaseClock(97.0, 92.0)
    assert fencing_number(LEASE, "n", HELD, clock, TIMES.lease_s, 96.1) == 3
    assert fencing_number(LEASE, "n", HELD, clock, TIMES.lease_s, 97.0) is None


def test_a_reader_that_missed_records_settles_by_a_claim_on_what_it_saw() -> None:
    """The stream was trimmed to offset 5; the renewals that remain may be of a past epoch.

    Taking the renewer for the holder could take an old holder for the new one.
    """
    table = fold_claims(LeaseTable(), [claim_at(5, "a", 4, 0)], 5)
    assert not table.leases[LEASE].settled
    assert table.base_for(LEASE) == 5
    table = fold_claims(table, [claim_at(6, "b", 4)], 5)
    assert not table.leases[LEASE].settled
    table = fold_claims(table, [claim_at(7, "c", 6)], 5)
    assert table.leases[LEASE] == LeaseView(LEASE, "c", 7, 7)


def test_a_lease_whose_every_record_was_trimmed_can_be_claimed_again() -> None:
    """All hosts were replaced while the log was out for longer than its retention.

    Nobody knows the last holder; without a rule for it, no node could claim again
    and new weights would never be loaded.
    """
    table = fold_claims(LeaseTable(), [], 9)
    waiting = decide_lease(LEASE, "n", table, LeaseClock(100.0), TIMES, 109.0)
    assert isinstance(waiting, WaitLease)
    action = decide_lease(LEASE, "n", table, LeaseClock(100.0), TIMES, 110.0)
    assert isinstance(action, AppendClaim)
    assert action.claim.base == 8
    record = LogRecord(9, claim_payload(action.claim))
    assert fold_claims(table, [record], 9).leases[LEASE] == LeaseView(LEASE, "n", 9, 9)
