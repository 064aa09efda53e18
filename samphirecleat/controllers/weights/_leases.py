"""Holds the leases that this node should hold, by claims and renewals in the log.

A lease only saves work. Its epoch, the offset of the claim that won it, is the
fencing number of the holder's orders; targets that check the number need no
more. For those that ignore it, the holder stops issuing orders well before its
lease ends on its own clock, and the next holder waits until the lease has ended
and the longest order with it.
"""

import asyncio
import random
import secrets
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...blackboard import Blackboard, LeaseView, Member
from ...config import LogRecord, ServiceKind
from ...observe import Observer
from ...peers import rank_members
from ...platform import AppendOutcome, Log, LogUnavailableError, ReadPatience
from ._lease_fold import NO_EPOCH, Claim, LeaseTable, claim_payload, fold_claims, read_claim

CONTROL_STREAM: Final = "control"
RENEW_FRACTION: Final = 0.4
STOP_FRACTION: Final = 0.7
AGAIN_FRACTION: Final = 0.1
CANDIDATES: Final = 3
RETRY_S: Final = 0.5
IDLE_S: Final = 0.5
LONG_AGO_S: Final = -1e9


@dataclass(frozen=True)
class AppendClaim:
    """Append this claim to the log."""

    claim: Claim


@dataclass(frozen=True)
class WaitLease:
    """Nothing is to be done now."""


LeaseAction = AppendClaim | WaitLease


class LeaseClock(NamedTuple):
    """What one node's own clock knows of a lease.

    ``observed_at_s`` is when this node saw the newest record that counts or
    might count; ``sent_at_s`` is when it sent the record of its own that counted
    last, and ``tried_at_s`` when it last sent any.
    """

    observed_at_s: float
    sent_at_s: float = LONG_AGO_S
    tried_at_s: float = LONG_AGO_S


class LeaseTimes(NamedTuple):
    """How long a lease lasts, and how long the longest order under it."""

    lease_s: float
    longest_order_s: float


def decide_lease(
    name: str,
    holder: str,
    table: LeaseTable,
    clock: LeaseClock,
    times: LeaseTimes,
    now_s: float,
) -> LeaseAction:
    """Decide whether to claim, renew, or wait.

    A lease that this node does not hold for certain is claimed only after it
    went unrenewed for its length and the longest order, counted from when this
    node saw its last record. Whether the log was down meanwhile plays no part: a
    renewal that this node could not see makes its claim lose.
    """
    lease_s = times.lease_s
    if now_s - clock.tried_at_s < lease_s * AGAIN_FRACTION:
        return WaitLease()
    claim = Claim(name, holder, secrets.token_hex(8), table.base_for(name), NO_EPOCH)
    lease = table.leases.get(name)
    never_claimed = lease is None and table.unread_below == 0
    if never_claimed:
        return AppendClaim(claim)
    is_own = lease is not None and lease.settled and lease.holder == holder
    held_for_s = now_s - clock.sent_at_s
    if lease is not None and is_own and held_for_s < lease_s:
        if held_for_s >= lease_s * RENEW_FRACTION:
            return AppendClaim(claim._replace(epoch=lease.epoch))
        return WaitLease()
    # A lease of its own that lapsed, as in a long pause, is waited out as well: an
    # order of the old epoch may still be under way and would follow one of the new.
    if now_s - clock.observed_at_s >= lease_s + times.longest_order_s:
        return AppendClaim(claim)
    return WaitLease()


def clock_after(
    clock: LeaseClock,
    lease: LeaseView,
    claim: Claim,
    offset: int,
    sent_at_s: float | None,
    now_s: float,
) -> LeaseClock:
    """Return the clock of a lease after this node read one of its records.

    ``lease`` is as folded after the record or later ones; ``sent_at_s`` is when
    this node sent the record, None for another's.
    """
    clock = clock._replace(observed_at_s=now_s)
    counts = lease.holder == claim.holder and lease.epoch in (offset, claim.epoch)
    if not counts or sent_at_s is None:
        return clock
    # Counted from before the append: the lease may have begun then.
    return clock._replace(sent_at_s=max(clock.sent_at_s, sent_at_s))


def fencing_number(
    name: str, holder: str, table: LeaseTable, clock: LeaseClock, lease_s: float, now_s: float
) -> int | None:
    """Return the epoch under which ``holder`` may issue an order now, else None."""
    lease = table.leases.get(name)
    if lease is None or not lease.settled or lease.holder != holder:
        return None
    if now_s - clock.sent_at_s >= lease_s * STOP_FRACTION:
        return None
    return lease.epoch


def is_candidate(own_node_id: str, members: Sequence[Member], services: Collection[str]) -> bool:
    """Tell whether this node is among the first that would hold a service's lease.

    Only these read the control stream: the renewals of every service, read by
    every node of a large fleet, would be more reads than the log should serve.
    """
    return any(
        member.node_id == own_node_id
        for service in services
        for member in rank_members(members, service)[:CANDIDATES]
    )


class LeaseManager:
    """Reads the control stream and claims the leases that this node should hold."""

    def __init__(
        self,
        board: Blackboard,
        log: Log,
        observer: Observer,
        rng: random.Random,
        *,
        lease_s: float,
        grace_s: float,
        log_wait_s: float,
    ) -> None:
        """Hold leases for ``lease_s``; wait ``grace_s`` more for another's to end."""
        self._board = board
        self._log = log
        self._observer = observer
        self._rng = rng
        self._times = LeaseTimes(lease_s, grace_s)
        self._log_wait_s = log_wait_s
        self._patience = ReadPatience()
        self._table = LeaseTable()
        self._clocks: dict[str, LeaseClock] = {}
        self._sent_at_s: dict[str, float] = {}
        self._gap_seen_at_s = LONG_AGO_S
        self._is_reading = False

    @property
    def holder(self) -> str:
        """The name under which this process holds leases."""
        identity = self._board.identity
        return f"{identity.node_id}.{identity.incarnation}"

    def may_order(self, name: str, now_s: float) -> int | None:
        """Return the fencing number while this node may issue orders, else None."""
        clock = self._clock(name)
        return fencing_number(name, self.holder, self._table, clock, self._times.lease_s, now_s)

    async def drive_reading(self) -> None:
        """Fold the control stream for as long as the node lives."""
        while True:
            if not self._should_read():
                self._is_reading = False
                await asyncio.sleep(IDLE_S * (0.5 + self._rng.random()))
                continue
            try:
                await self._read_once()
            except LogUnavailableError:
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    async def keep(self, name: str) -> None:
        """Claim or renew one lease if it is time to."""
        if not self._is_reading:
            return
        now_s = asyncio.get_running_loop().time()
        action = decide_lease(name, self.holder, self._table, self._clock(name), self._times, now_s)
        match action:
            case AppendClaim(claim=claim):
                await self._append(claim, now_s)
            case WaitLease():
                return

    def _clock(self, name: str) -> LeaseClock:
        return self._clocks.get(name, LeaseClock(self._gap_seen_at_s))

    def _should_read(self) -> bool:
        own_id = self._board.identity.node_id
        services = self._board.config.services.services.values()
        engines = [service.name for service in services if service.kind is ServiceKind.ENGINE]
        holds_one = any(lease.holder == self.holder for lease in self._table.leases.values())
        return holds_one or is_candidate(own_id, self._board.live_members(), engines)

    async def _read_once(self) -> None:
        from_offset = self._table.next_offset
        batch = await self._patience.read(
            self._log, CONTROL_STREAM, from_offset, self._log_wait_s if self._is_reading else 0.0
        )
        now_s = asyncio.get_running_loop().time()
        if batch.next_offset < from_offset:
            # The stream was set up anew. Its lower offsets would be lower fencing
            # numbers, which targets refuse; and no claim on a later base counts.
            self._observer.log("lease").error(
                "The log ends at offset %d, before %d.", batch.next_offset, from_offset
            )
            self._is_reading = False
            await asyncio.sleep(RETRY_S)
            return
        before = self._table
        self._table = fold_claims(before, batch.records, batch.first_kept_offset)
        if self._table.unread_below != before.unread_below:
            self._gap_seen_at_s = now_s
            for name, clock in self._clocks.items():
                self._clocks[name] = clock._replace(observed_at_s=now_s)
        for record in batch.records:
            self._note_record(record, now_s)
        self._board.leases = dict(self._table.leases)
        # Only an empty answer says that nothing newer was in the stream.
        self._is_reading = self._is_reading or not batch.records

    def _note_record(self, record: LogRecord, now_s: float) -> None:
        claim = read_claim(record.payload)
        lease = self._table.leases.get(claim.lease) if claim is not None else None
        if claim is not None and lease is not None:
            sent_at_s = self._sent_at_s.get(claim.claim_id)
            clock = self._clock(claim.lease)
            self._clocks[claim.lease] = clock_after(
                clock, lease, claim, record.offset, sent_at_s, now_s
            )

    async def _append(self, claim: Claim, now_s: float) -> None:
        self._clocks[claim.lease] = self._clock(claim.lease)._replace(tried_at_s=now_s)
        self._forget_old(now_s)
        self._sent_at_s[claim.claim_id] = now_s
        appended = await self._log.append(CONTROL_STREAM, claim_payload(claim))
        if appended.outcome is not AppendOutcome.APPENDED:
            self._observer.log("lease").warning("Claim of %s: %s.", claim.lease, appended.detail)

    def _forget_old(self, now_s: float) -> None:
        """Forget records sent so long ago that a lease from them has lapsed anyway."""
        for claim_id, sent_at_s in list(self._sent_at_s.items()):
            if now_s - sent_at_s >= self._times.lease_s:
                del self._sent_at_s[claim_id]
