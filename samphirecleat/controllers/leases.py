"""Leases kept in the log: claims are folded in offset order, first claim wins.

A lease only saves work. Its epoch, the offset of the claim that won it, is the
fencing number of the holder's orders; targets that check the number need no
more. For those that ignore it, the holder stops issuing orders well before its
lease ends on its own clock, and the next holder waits that out.
"""

import asyncio
import random
import secrets
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final, NamedTuple

from ..blackboard import Blackboard, LeaseView
from ..config import LogRecord
from ..observe import Observer
from ..platform import AppendOutcome, Log, LogUnavailableError, ReadPatience

CONTROL_STREAM: Final = "control"
RENEW_FRACTION: Final = 0.4
STOP_FRACTION: Final = 0.7
RETRY_S: Final = 0.5
NO_EPOCH: Final = -1


class Claim(NamedTuple):
    """A claim, or (``epoch`` is set) a renewal, based on the last record seen.

    ``base`` is the offset of the last accepted record of the lease, -1 for none.
    """

    lease: str
    holder: str
    claim_id: str
    base: int
    epoch: int


def fold_claim(lease: LeaseView | None, record: LogRecord) -> LeaseView | None:
    """Return the lease after a record of the control stream.

    A record counts only if its base is the last one that counted, so that of
    two claims on the same base the first in offset order wins at every node.
    """
    claim = read_claim(record.payload)
    if claim is None:
        return lease
    last_offset = lease.last_offset if lease is not None else NO_EPOCH
    if claim.base != last_offset:
        return lease
    if claim.epoch != NO_EPOCH:
        if lease is None or (lease.holder, lease.epoch) != (claim.holder, claim.epoch):
            return lease
        return lease._replace(last_offset=record.offset)
    return LeaseView(claim.lease, claim.holder, record.offset, record.offset)


def read_claim(payload: Mapping[str, Any]) -> Claim | None:
    """Return the typed claim of a record, or None for any other record."""
    if payload.get("type") != "claim":
        return None
    try:
        return Claim(
            str(payload["lease"]),
            str(payload["holder"]),
            str(payload["id"]),
            int(payload["base"]),
            int(payload["epoch"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


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

    ``observed_at_s`` is when this node saw the last accepted record;
    ``sent_at_s`` is when it sent the record of its own that was accepted last.
    """

    observed_at_s: float
    sent_at_s: float


def decide_lease(
    name: str,
    holder: str,
    lease: LeaseView | None,
    clock: LeaseClock,
    *,
    lease_s: float,
    grace_s: float,
    now_s: float,
) -> LeaseAction:
    """Decide whether to claim, renew, or wait.

    A lease of another is claimed only after it went unrenewed for ``lease_s``
    plus ``grace_s``, the longest order, counted from when this node saw it.
    """
    claim_id = secrets.token_hex(8)
    if lease is None:
        return AppendClaim(Claim(name, holder, claim_id, NO_EPOCH, NO_EPOCH))
    if lease.holder == holder:
        if now_s - clock.sent_at_s >= lease_s:
            # Lapsed by this node's own clock, as after a long pause: only a new
            # epoch may order again, since others may have claimed meanwhile.
            return AppendClaim(Claim(name, holder, claim_id, lease.last_offset, NO_EPOCH))
        if now_s - clock.sent_at_s >= lease_s * RENEW_FRACTION:
            return AppendClaim(Claim(name, holder, claim_id, lease.last_offset, lease.epoch))
        return WaitLease()
    if now_s - clock.observed_at_s >= lease_s + grace_s:
        return AppendClaim(Claim(name, holder, claim_id, lease.last_offset, NO_EPOCH))
    return WaitLease()


class LeaseKeeper:
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
        self._lease_s = lease_s
        self._grace_s = grace_s
        self._log_wait_s = log_wait_s
        self._next_offset = 0
        self._patience = ReadPatience()
        self._clocks: dict[str, LeaseClock] = {}
        self._sent_at_s: dict[str, float] = {}
        self.paused = False

    @property
    def holder(self) -> str:
        """The name under which this process holds leases."""
        identity = self._board.identity
        return f"{identity.node_id}.{identity.incarnation}"

    def may_order(self, name: str, now_s: float) -> int | None:
        """Return the fencing number while this node may issue orders, else None."""
        lease = self._board.leases.get(name)
        clock = self._clocks.get(name)
        if lease is None or clock is None or lease.holder != self.holder:
            return None
        if now_s - clock.sent_at_s >= self._lease_s * STOP_FRACTION:
            return None
        return lease.epoch

    async def drive_reading(self) -> None:
        """Fold the control stream for as long as the node lives."""
        while True:
            try:
                batch = await self._patience.read(
                    self._log, CONTROL_STREAM, self._next_offset, self._log_wait_s
                )
            except LogUnavailableError:
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))
                continue
            now_s = asyncio.get_running_loop().time()
            for record in batch.records:
                self._fold(record, now_s)
            self._next_offset = max(self._next_offset, batch.next_offset)

    async def keep(self, name: str) -> None:
        """Claim or renew one lease if it is time to."""
        now_s = asyncio.get_running_loop().time()
        action = decide_lease(
            name,
            self.holder,
            self._board.leases.get(name),
            self._clocks.get(name, LeaseClock(now_s, -1e9)),
            lease_s=self._lease_s,
            grace_s=self._grace_s,
            now_s=now_s,
        )
        match action:
            case AppendClaim(claim=claim):
                await self._append(claim, now_s)
            case WaitLease():
                return

    async def _append(self, claim: Claim, now_s: float) -> None:
        self._sent_at_s[claim.claim_id] = now_s
        appended = await self._log.append(
            CONTROL_STREAM,
            {
                "type": "claim",
                "lease": claim.lease,
                "holder": claim.holder,
                "id": claim.claim_id,
                "base": claim.base,
                "epoch": claim.epoch,
            },
        )
        if appended.outcome is not AppendOutcome.APPENDED:
            self._observer.log("lease").warning("Claim of %s: %s.", claim.lease, appended.detail)

    def _fold(self, record: LogRecord, now_s: float) -> None:
        claim = read_claim(record.payload)
        if claim is None:
            return
        known = self._board.leases.get(claim.lease)
        lease = fold_claim(known, record)
        if lease is None or lease == known:
            return
        self._board.leases[claim.lease] = lease
        self._clocks[claim.lease] = LeaseClock(
            observed_at_s=now_s,
            # Counted from before the append: the lease may have begun then.
            sent_at_s=self._sent_at_s.pop(claim.claim_id, -1e9),
        )
