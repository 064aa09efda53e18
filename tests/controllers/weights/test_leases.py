"""Tests that a lease has one holder at a time despite losses, delays, pauses and trimming."""

from collections import Counter
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.blackboard import LeaseView
from samphirecleat.config import LogRecord
from samphirecleat.controllers.weights._lease_fold import (
    NO_EPOCH,
    LeaseClaim,
    LeaseTable,
    claim_payload,
    fold_claims,
    parse_claim,
)
from samphirecleat.controllers.weights._leases import (
    AppendClaim,
    LeaseDurations,
    LeaseTimestamps,
    NoLeaseAction,
    decide_lease_action,
    fencing_number,
    timestamps_after_record,
)

NODES = 2
LEASE = "weights/asesor"
DURATIONS = LeaseDurations(lease_s=6.0, longest_order_s=4.0)


class AdvanceTime(NamedTuple):
    """Advance all clocks by the same time; each process's clock has a different origin."""

    seconds: float


class Read(NamedTuple):
    """A node reads the control stream to its end."""

    node: int


class ClaimOrRenew(NamedTuple):
    """A node claims or renews if due; ``delivery`` is what happens to the append."""

    node: int
    delivery: str


class FullCycle(NamedTuple):
    """A node reads, claims or renews, reads again, and issues an order."""

    node: int


class DeliverDelayed(NamedTuple):
    """A delayed append reaches the log."""

    message: int


class IssueOrder(NamedTuple):
    """A node issues an order if it may."""

    node: int


class ApplyOrder(NamedTuple):
    """A pending order takes effect at the target."""

    order: int


class Trim(NamedTuple):
    """The log trims its oldest records."""

    count: int


class Restart(NamedTuple):
    """A node's process is replaced."""

    node: int


Action = (
    AdvanceTime
    | Read
    | ClaimOrRenew
    | FullCycle
    | DeliverDelayed
    | IssueOrder
    | ApplyOrder
    | Trim
    | Restart
)
_node = st.integers(0, NODES - 1)
_any = st.integers(0, 20)
actions = st.one_of(
    st.builds(AdvanceTime, st.sampled_from([0.5, 1.0, 2.5])),
    st.builds(AdvanceTime, st.sampled_from([0.5, 1.0, 2.5, 4.5, 8.0])),
    st.builds(Read, _node),
    st.builds(
        ClaimOrRenew, _node, st.sampled_from(["normal", "normal", "lost", "delayed", "duplicated"])
    ),
    st.builds(FullCycle, _node),
    st.builds(FullCycle, _node),
    st.builds(DeliverDelayed, _any),
    st.builds(IssueOrder, _node),
    st.builds(ApplyOrder, _any),
    st.builds(Trim, st.integers(1, 3)),
    st.builds(Restart, _node),
)


class PendingOrder(NamedTuple):
    """An order that was issued and has not taken effect."""

    holder: str
    epoch: int
    at_s: float


class LeaseProcess:
    """One process with its lease table and its own clock."""

    def __init__(self, name: str, clock_offset_s: float) -> None:
        self.name = name
        self.clock_offset_s = clock_offset_s
        self.table = LeaseTable()
        self.timestamps = LeaseTimestamps(-1e9)
        self.sent_at_s: dict[str, float] = {}
        self.has_read = False

    def read(self, records: list[LogRecord], first_kept: int, now_s: float) -> None:
        """Fold the stream up to its end."""
        own_s = now_s + self.clock_offset_s
        before = self.table
        unread = [record for record in records[first_kept:] if record.offset >= before.next_offset]
        self.table = fold_claims(before, unread, first_kept)
        if self.table.unread_below != before.unread_below:
            self.timestamps = self.timestamps._replace(observed_at_s=own_s)
        lease = self.table.leases.get(LEASE)
        for record in unread:
            claim = parse_claim(record.payload)
            assert claim is not None
            assert lease is not None
            sent_at_s = self.sent_at_s.get(claim.claim_id)
            self.timestamps = timestamps_after_record(
                self.timestamps, lease, claim, record.offset, sent_at_s, own_s
            )
        self.has_read = True

    def claim_or_renew(self, now_s: float) -> LeaseClaim | None:
        """Return the claim or renewal to append, if one is due."""
        own_s = now_s + self.clock_offset_s
        if not self.has_read:
            return None
        match decide_lease_action(LEASE, self.name, self.table, self.timestamps, DURATIONS, own_s):
            case AppendClaim(claim=claim):
                self.sent_at_s[claim.claim_id] = own_s
                self.timestamps = self.timestamps._replace(attempted_at_s=own_s)
                return claim
        return None

    def order_fencing_number(self, now_s: float) -> int | None:
        """Return the fencing number for an order now, or None if none may be issued."""
        own_s = now_s + self.clock_offset_s
        return fencing_number(
            LEASE, self.name, self.table, self.timestamps, DURATIONS.lease_s, own_s
        )


class Simulation:
    """The log, the processes and the pending orders."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.records: list[LogRecord] = []
        self.first_kept = 0
        self.full_table = LeaseTable()
        self.delayed: list[LeaseClaim] = []
        self.started_count = 0
        self.processes = [self._start() for _ in range(NODES)]
        self.holder_of: dict[int, str] = {}
        self.pending_orders: list[PendingOrder] = []
        self.highest_applied_epoch = -1

    def apply(self, action: Action) -> None:
        """Apply one action and check the guarantees."""
        match action:
            case AdvanceTime(seconds=seconds):
                self.now_s += seconds
            case Read(node=node):
                self._read(self.processes[node])
            case ClaimOrRenew(node=node, delivery=delivery):
                self._claim_or_renew(self.processes[node], delivery)
            case FullCycle(node=node):
                self._read(self.processes[node])
                self._claim_or_renew(self.processes[node], "normal")
                self._read(self.processes[node])
                self._order(self.processes[node])
            case DeliverDelayed(message=message) if self.delayed:
                self._append(self.delayed.pop(message % len(self.delayed)))
            case IssueOrder(node=node):
                self._order(self.processes[node])
            case ApplyOrder(order=order) if self.pending_orders:
                self._apply_order(self.pending_orders.pop(order % len(self.pending_orders)))
            case Trim(count=count):
                self.first_kept = min(len(self.records), self.first_kept + count)
            case Restart(node=node):
                self.processes[node] = self._start()

    def _start(self) -> LeaseProcess:
        self.started_count += 1
        return LeaseProcess(f"n.{self.started_count}", clock_offset_s=1000.0 * self.started_count)

    def _claim_or_renew(self, holder: LeaseProcess, delivery: str) -> None:
        claim = holder.claim_or_renew(self.now_s)
        if claim is None or delivery == "lost":
            return
        if delivery == "delayed":
            self.delayed.append(claim)
            return
        self._append(claim)
        if delivery == "duplicated":
            self._append(claim)

    def _append(self, claim: LeaseClaim) -> None:
        record = LogRecord(len(self.records), claim_payload(claim))
        self.records.append(record)
        self.full_table = fold_claims(self.full_table, [record], 0)

    def _read(self, holder: LeaseProcess) -> None:
        holder.read(self.records, self.first_kept, self.now_s)
        lease = holder.table.leases.get(LEASE)
        if lease is not None and lease.settled:
            assert lease == self.full_table.leases[LEASE]

    def _order(self, holder: LeaseProcess) -> None:
        epoch = holder.order_fencing_number(self.now_s)
        if epoch is None:
            return
        # Targets that check the fencing number rely on each epoch having a single holder.
        assert self.holder_of.setdefault(epoch, holder.name) == holder.name
        # Other targets rely on no order of another epoch being pending.
        for order in self._orders_that_may_apply():
            assert order.epoch == epoch
        self.pending_orders.append(PendingOrder(holder.name, epoch, self.now_s))

    def _orders_that_may_apply(self) -> list[PendingOrder]:
        since_s = self.now_s - DURATIONS.longest_order_s
        return [order for order in self.pending_orders if order.at_s > since_s]

    def _apply_order(self, order: PendingOrder) -> None:
        if order.at_s <= self.now_s - DURATIONS.longest_order_s:
            return  # No order stays pending for longer than the longest order.
        assert order.epoch >= self.highest_applied_epoch
        self.highest_applied_epoch = order.epoch


@settings(max_examples=700)
@given(st.lists(actions, min_size=40, max_size=80))
def test_orders_of_two_holders_never_overlap(
    interleavings: Counter[str], plan: list[Action]
) -> None:
    """Guards against two coordinators that issue orders at the same time.

    Claims race, appends are lost, delayed or duplicated, and processes pause or are
    replaced. An older version could be loaded after a newer one, and a trainer would
    receive samples of outdated weights.
    """
    interleavings["lease claims and orders"] += 1
    simulation = Simulation()
    for action in plan:
        simulation.apply(action)


def claim_record(offset: int, holder: str, base: int, epoch: int = NO_EPOCH) -> LogRecord:
    claim = LeaseClaim(LEASE, holder, f"c{offset}", base, epoch)
    return LogRecord(offset, claim_payload(claim))


FOLD_CASES = {
    "first of two claims with the same base wins": (
        [claim_record(0, "a", -1), claim_record(1, "b", -1)],
        LeaseView(LEASE, "a", 0, 0),
    ),
    "renewal invalidates a claim with an earlier base": (
        [claim_record(0, "a", -1), claim_record(1, "a", 0, 0), claim_record(2, "b", 0)],
        LeaseView(LEASE, "a", 0, 1),
    ),
    "renewal of an older epoch is invalid": (
        [claim_record(0, "a", -1), claim_record(1, "b", 0), claim_record(2, "a", 0, 0)],
        LeaseView(LEASE, "b", 1, 1),
    ),
    "renewal by another holder is invalid": (
        [claim_record(0, "a", -1), claim_record(1, "b", 0, 0)],
        LeaseView(LEASE, "a", 0, 0),
    ),
    "base after the record's own offset is invalid": (
        [claim_record(0, "a", -1), claim_record(1, "b", 9)],
        LeaseView(LEASE, "a", 0, 0),
    ),
}


@pytest.mark.parametrize("name", FOLD_CASES)
def test_which_records_are_valid(name: str) -> None:
    """Guards against readers that disagree on the winner of nearly simultaneous claims."""
    records, expected = FOLD_CASES[name]
    assert fold_claims(LeaseTable(), records, 0).leases[LEASE] == expected


OWN_LEASE = LeaseTable({LEASE: LeaseView(LEASE, "n", 3, 4)}, 5)
OTHER_LEASE = LeaseTable({LEASE: LeaseView(LEASE, "o", 3, 4)}, 5)
DECISIONS = {
    "own lease is renewed before expiry": (OWN_LEASE, LeaseTimestamps(100.0, 100.0), 103.0, 3),
    "own lease is not renewed early": (
        OWN_LEASE,
        LeaseTimestamps(100.0, 100.0),
        101.0,
        None,
    ),
    "own lease expired in a pause: not renewed": (
        OWN_LEASE,
        LeaseTimestamps(100.0, 94.0),
        101.0,
        None,
    ),
    "own lease expired in a pause: claimed after the wait": (
        OWN_LEASE,
        LeaseTimestamps(100.0, 94.0),
        110.0,
        NO_EPOCH,
    ),
    "other lease: waited out": (OTHER_LEASE, LeaseTimestamps(100.0), 109.9, None),
    "other lease without renewals: claimed after the wait": (
        OTHER_LEASE,
        LeaseTimestamps(100.0),
        110.0,
        NO_EPOCH,
    ),
    "recent append: not repeated yet": (
        LeaseTable(),
        LeaseTimestamps(0.0, 0.0, 100.0),
        100.5,
        None,
    ),
    "lease never held: claimed at once": (LeaseTable(), LeaseTimestamps(0.0), 100.0, NO_EPOCH),
}


@pytest.mark.parametrize("name", DECISIONS)
def test_lease_action(name: str) -> None:
    """Guards against wrong claims after a pause or an expiry during a log outage."""
    table, timestamps, now_s, epoch = DECISIONS[name]
    action = decide_lease_action(LEASE, "n", table, timestamps, DURATIONS, now_s)
    assert (action.claim.epoch if isinstance(action, AppendClaim) else None) == epoch


def test_lease_duration_starts_when_record_is_sent() -> None:
    """Guards against a lease that outlasts the wait of the other nodes.

    A process is paused after it sends a renewal and reads that renewal long after it became
    valid. Counted from the read, the lease would end too late.
    """
    renewal = LeaseClaim(LEASE, "n", "c4", 3, 3)
    lease = OWN_LEASE.leases[LEASE]
    timestamps = timestamps_after_record(LeaseTimestamps(90.0, 90.0), lease, renewal, 4, 92.0, 97.0)
    assert timestamps == LeaseTimestamps(97.0, 92.0)
    assert fencing_number(LEASE, "n", OWN_LEASE, timestamps, DURATIONS.lease_s, 96.1) == 3
    assert fencing_number(LEASE, "n", OWN_LEASE, timestamps, DURATIONS.lease_s, 97.0) is None


def test_claim_on_last_read_record_settles_lease_after_missed_records() -> None:
    """Guards against taking a former holder for the current one.

    The stream was trimmed to offset 5, and the remaining renewals may belong to an old
    epoch.
    """
    table = fold_claims(LeaseTable(), [claim_record(5, "a", 4, 0)], 5)
    assert not table.leases[LEASE].settled
    assert table.claim_base(LEASE) == 5
    table = fold_claims(table, [claim_record(6, "b", 4)], 5)
    assert not table.leases[LEASE].settled
    table = fold_claims(table, [claim_record(7, "c", 6)], 5)
    assert table.leases[LEASE] == LeaseView(LEASE, "c", 7, 7)


def test_lease_can_be_claimed_after_all_its_records_were_trimmed() -> None:
    """Guards against a lease that can never be claimed again.

    All hosts were replaced during a log outage longer than the retention, so no node knows
    the last holder. New weights would never be loaded.
    """
    table = fold_claims(LeaseTable(), [], 9)
    waiting = decide_lease_action(LEASE, "n", table, LeaseTimestamps(100.0), DURATIONS, 109.0)
    assert isinstance(waiting, NoLeaseAction)
    action = decide_lease_action(LEASE, "n", table, LeaseTimestamps(100.0), DURATIONS, 110.0)
    assert isinstance(action, AppendClaim)
    assert action.claim.base == 8
    record = LogRecord(9, claim_payload(action.claim))
    assert fold_claims(table, [record], 9).leases[LEASE] == LeaseView(LEASE, "n", 9, 9)
