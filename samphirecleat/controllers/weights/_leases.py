"""Claims and renews, through the log, the leases that this node should hold.

A lease only avoids duplicate work. Its epoch, the offset of the claim that won it, is the
fencing number of the holder's orders, and that number alone protects targets that check it.
For targets that do not check it, the holder stops issuing orders well before the lease
expires on its own clock, and the next holder waits until both the lease and the longest
order have ended.
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
from ...platform import AdaptiveReadTimeout, AppendOutcome, Log, LogUnavailableError
from ._lease_fold import NO_EPOCH, LeaseClaim, LeaseTable, claim_payload, fold_claims, parse_claim

CONTROL_STREAM: Final = "control"
RENEW_AFTER_FRACTION: Final = 0.4
STOP_ORDERS_FRACTION: Final = 0.7
RETRY_APPEND_FRACTION: Final = 0.1
CANDIDATES_PER_SERVICE: Final = 3
READ_RETRY_S: Final = 0.5
CANDIDACY_CHECK_S: Final = 0.5
NEVER_S: Final = -1e9


@dataclass(frozen=True)
class AppendClaim:
    """Append this claim or renewal to the log."""

    claim: LeaseClaim


@dataclass(frozen=True)
class NoLeaseAction:
    """Append nothing now."""


LeaseAction = AppendClaim | NoLeaseAction


class LeaseTimestamps(NamedTuple):
    """Times of one lease's records, on this node's clock.

    ``observed_at_s`` is when this node read the newest record that is or might be valid,
    ``sent_at_s`` is when it sent its own latest valid record, and ``attempted_at_s`` is
    when it last sent any record.
    """

    observed_at_s: float
    sent_at_s: float = NEVER_S
    attempted_at_s: float = NEVER_S


class LeaseDurations(NamedTuple):
    """The duration of a lease and of the longest order that is issued under it."""

    lease_s: float
    longest_order_s: float


def decide_lease_action(
    name: str,
    holder: str,
    table: LeaseTable,
    timestamps: LeaseTimestamps,
    durations: LeaseDurations,
    now_s: float,
) -> LeaseAction:
    """Decide whether to claim the lease, renew it, or do nothing.

    A lease that this node does not certainly hold is claimed only after it has gone
    unrenewed for its duration plus that of the longest order, counted from when this node
    read its last record. A log outage in that time does not matter: if this node missed a
    renewal, the base of its claim is outdated and the claim is invalid.
    """
    lease_s = durations.lease_s
    if now_s - timestamps.attempted_at_s < lease_s * RETRY_APPEND_FRACTION:
        return NoLeaseAction()
    claim = LeaseClaim(name, holder, secrets.token_hex(8), table.claim_base(name), NO_EPOCH)
    lease = table.leases.get(name)
    never_claimed = lease is None and table.unread_below == 0
    if never_claimed:
        return AppendClaim(claim)
    is_own = lease is not None and lease.settled and lease.holder == holder
    held_for_s = now_s - timestamps.sent_at_s
    if lease is not None and is_own and held_for_s < lease_s:
        if held_for_s >= lease_s * RENEW_AFTER_FRACTION:
            return AppendClaim(claim._replace(epoch=lease.epoch))
        return NoLeaseAction()
    # Also wait out an expired lease of this node's own, as after a long process pause: an
    # order of the old epoch may still be in flight and could take effect after an order of
    # the new epoch.
    if now_s - timestamps.observed_at_s >= lease_s + durations.longest_order_s:
        return AppendClaim(claim)
    return NoLeaseAction()


def timestamps_after_record(
    timestamps: LeaseTimestamps,
    lease: LeaseView,
    claim: LeaseClaim,
    offset: int,
    sent_at_s: float | None,
    now_s: float,
) -> LeaseTimestamps:
    """Return the timestamps of a lease after this node read one of its records.

    ``lease`` is the lease folded up to the record or beyond it. ``sent_at_s`` is when this
    node sent the record, None for a record of another node.
    """
    timestamps = timestamps._replace(observed_at_s=now_s)
    is_valid = lease.holder == claim.holder and lease.epoch in (offset, claim.epoch)
    if not is_valid or sent_at_s is None:
        return timestamps
    # The time before the append is used, since the lease may have begun as early as that.
    return timestamps._replace(sent_at_s=max(timestamps.sent_at_s, sent_at_s))


def fencing_number(
    name: str,
    holder: str,
    table: LeaseTable,
    timestamps: LeaseTimestamps,
    lease_s: float,
    now_s: float,
) -> int | None:
    """Return the epoch with which ``holder`` may issue an order now, or None."""
    lease = table.leases.get(name)
    if lease is None or not lease.settled or lease.holder != holder:
        return None
    if now_s - timestamps.sent_at_s >= lease_s * STOP_ORDERS_FRACTION:
        return None
    return lease.epoch


def is_candidate(own_node_id: str, members: Sequence[Member], services: Collection[str]) -> bool:
    """Return whether this node ranks among the first candidates for any service's lease.

    Only candidates read the control stream. If every node of a large fleet read the
    renewals of every service, the reads would exceed what the log should serve.
    """
    return any(
        member.node_id == own_node_id
        for service in services
        for member in rank_members(members, service)[:CANDIDATES_PER_SERVICE]
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
        """Manage leases that last ``lease_s``.

        After a lease expires, this node waits ``grace_s`` more for orders in flight before
        it claims the lease.
        """
        self._board = board
        self._log = log
        self._observer = observer
        self._rng = rng
        self._durations = LeaseDurations(lease_s, grace_s)
        self._log_wait_s = log_wait_s
        self._read_timeout = AdaptiveReadTimeout()
        self._table = LeaseTable()
        self._timestamps: dict[str, LeaseTimestamps] = {}
        self._sent_at_s: dict[str, float] = {}
        self._gap_seen_at_s = NEVER_S
        self._is_caught_up = False

    @property
    def holder(self) -> str:
        """The name under which this process holds leases."""
        identity = self._board.identity
        return f"{identity.node_id}.{identity.incarnation}"

    def order_fencing_number(self, name: str, now_s: float) -> int | None:
        """Return the fencing number while this node may issue orders, else None."""
        timestamps = self._timestamps_of(name)
        return fencing_number(
            name, self.holder, self._table, timestamps, self._durations.lease_s, now_s
        )

    async def drive_reading(self) -> None:
        """Read and fold the control stream until cancelled, while this node is a candidate."""
        while True:
            if not self._should_read():
                self._is_caught_up = False
                await asyncio.sleep(CANDIDACY_CHECK_S * (0.5 + self._rng.random()))
                continue
            try:
                await self._read_once()
            except LogUnavailableError:
                await asyncio.sleep(READ_RETRY_S * (0.5 + self._rng.random()))

    async def claim_or_renew(self, name: str) -> None:
        """Append a claim or a renewal of one lease if it is due."""
        if not self._is_caught_up:
            return
        now_s = asyncio.get_running_loop().time()
        action = decide_lease_action(
            name, self.holder, self._table, self._timestamps_of(name), self._durations, now_s
        )
        match action:
            case AppendClaim(claim=claim):
                await self._append(claim, now_s)
            case NoLeaseAction():
                return

    def _timestamps_of(self, name: str) -> LeaseTimestamps:
        return self._timestamps.get(name, LeaseTimestamps(self._gap_seen_at_s))

    def _should_read(self) -> bool:
        own_id = self._board.identity.node_id
        services = self._board.config.services.services.values()
        engines = [service.name for service in services if service.kind is ServiceKind.ENGINE]
        holds_lease = any(lease.holder == self.holder for lease in self._table.leases.values())
        return holds_lease or is_candidate(own_id, self._board.live_members(), engines)

    async def _read_once(self) -> None:
        from_offset = self._table.next_offset
        batch = await self._read_timeout.read(
            self._log, CONTROL_STREAM, from_offset, self._log_wait_s if self._is_caught_up else 0.0
        )
        now_s = asyncio.get_running_loop().time()
        if batch.next_offset < from_offset:
            # The stream was recreated. Claims at its lower offsets would have lower fencing
            # numbers, which targets refuse, and a claim with a later base would be invalid.
            self._observer.log("lease").error(
                "control stream ends at offset %d, before the next offset to read, %d",
                batch.next_offset,
                from_offset,
            )
            self._is_caught_up = False
            await asyncio.sleep(READ_RETRY_S)
            return
        before = self._table
        self._table = fold_claims(before, batch.records, batch.first_kept_offset)
        if self._table.unread_below != before.unread_below:
            self._gap_seen_at_s = now_s
            for name, timestamps in self._timestamps.items():
                self._timestamps[name] = timestamps._replace(observed_at_s=now_s)
        for record in batch.records:
            self._update_timestamps(record, now_s)
        self._board.leases = dict(self._table.leases)
        # Only an empty batch shows that the end of the stream was reached.
        self._is_caught_up = self._is_caught_up or not batch.records

    def _update_timestamps(self, record: LogRecord, now_s: float) -> None:
        claim = parse_claim(record.payload)
        lease = self._table.leases.get(claim.lease) if claim is not None else None
        if claim is not None and lease is not None:
            sent_at_s = self._sent_at_s.get(claim.claim_id)
            timestamps = self._timestamps_of(claim.lease)
            self._timestamps[claim.lease] = timestamps_after_record(
                timestamps, lease, claim, record.offset, sent_at_s, now_s
            )

    async def _append(self, claim: LeaseClaim, now_s: float) -> None:
        self._timestamps[claim.lease] = self._timestamps_of(claim.lease)._replace(
            attempted_at_s=now_s
        )
        self._discard_expired(now_s)
        self._sent_at_s[claim.claim_id] = now_s
        appended = await self._log.append(CONTROL_STREAM, claim_payload(claim))
        if appended.outcome is not AppendOutcome.APPENDED:
            self._observer.log("lease").warning(
                "append to claim or renew lease %s was not confirmed: %s",
                claim.lease,
                appended.detail,
            )

    def _discard_expired(self, now_s: float) -> None:
        """Discard the send times of records whose lease would have expired by now."""
        for claim_id, sent_at_s in list(self._sent_at_s.items()):
            if now_s - sent_at_s >= self._durations.lease_s:
                del self._sent_at_s[claim_id]
