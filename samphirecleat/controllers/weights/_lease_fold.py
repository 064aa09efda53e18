"""Folds the claims in the control stream into the current leases, as a pure function.

Every reader folds the same records in offset order. A claim names its base, the offset of
the last record of the lease that its writer has read. The claim is valid if no valid record
of the lease follows the base, so of two claims with the same base the first in offset order
wins on every node. A renewal is valid while its epoch is the current one.

The control stream is trimmed like any other stream, and claims are not re-appended to
outlive the trimming. A reader that missed records holds a lease as unsettled: any record
that it reads might be valid, and ``last_offset`` is the latest such record. A claim whose
base is that offset or a later one is valid regardless of what was missed, and settles the
lease. A reader that missed records therefore recovers without other nodes: it waits until
the lease has gone unrenewed for long enough, and claims it with the last record that it
read as base.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from ..._decoding import MALFORMED_INPUT_ERRORS
from ...blackboard import LeaseView
from ...config import LogRecord

NO_EPOCH: Final = -1


class LeaseClaim(NamedTuple):
    """A claim of a lease, or a renewal if ``epoch`` is not ``NO_EPOCH``.

    ``base`` is the offset of the last record of the lease that the writer read, or the
    offset before the first one that it could read.
    """

    lease: str
    holder: str
    claim_id: str
    base: int
    epoch: int


class LeaseTable(NamedTuple):
    """The leases after all records before ``next_offset``.

    Some records before ``unread_below`` were trimmed before they were read; 0 means none.
    """

    leases: Mapping[str, LeaseView] = {}
    next_offset: int = 0
    unread_below: int = 0

    def claim_base(self, name: str) -> int:
        """Return the base offset for a claim of this lease that is made now."""
        lease = self.leases.get(name)
        return lease.last_offset if lease is not None else self.unread_below - 1


def fold_claims(
    table: LeaseTable, records: Sequence[LogRecord], first_kept_offset: int
) -> LeaseTable:
    """Return the table after ``records``; records that are already folded have no effect."""
    table = _skip_missed_records(table, first_kept_offset)
    for record in records:
        if record.offset >= table.next_offset:
            table = _fold_record(_skip_missed_records(table, record.offset), record)
    return table


def parse_claim(payload: Mapping[str, Any]) -> LeaseClaim | None:
    """Return the claim that a record's payload holds, or None for any other record."""
    try:
        if payload.get("type") != "claim":
            return None
        return LeaseClaim(
            str(payload["lease"]),
            str(payload["holder"]),
            str(payload["id"]),
            int(payload["base"]),
            int(payload["epoch"]),
        )
    except MALFORMED_INPUT_ERRORS:
        return None


def claim_payload(claim: LeaseClaim) -> Mapping[str, Any]:
    """Return the log payload of a claim; the inverse of :func:`parse_claim`."""
    return {
        "type": "claim",
        "lease": claim.lease,
        "holder": claim.holder,
        "id": claim.claim_id,
        "base": claim.base,
        "epoch": claim.epoch,
    }


def _skip_missed_records(table: LeaseTable, next_offset: int) -> LeaseTable:
    """Return the table after the records before ``next_offset`` were missed."""
    if next_offset <= table.next_offset:
        return table
    # The holder of any lease may have changed in the missed records.
    leases = {
        name: lease._replace(last_offset=next_offset - 1, settled=False)
        for name, lease in table.leases.items()
    }
    return LeaseTable(leases, next_offset, next_offset)


def _fold_record(table: LeaseTable, record: LogRecord) -> LeaseTable:
    table = table._replace(next_offset=record.offset + 1)
    claim = parse_claim(record.payload)
    if claim is None or claim.base >= record.offset:
        return table
    current = table.leases.get(claim.lease)
    lease = _fold_claim(table, current, claim, record.offset)
    if lease is None or lease == current:
        return table
    return table._replace(leases={**table.leases, claim.lease: lease})


def _fold_claim(
    table: LeaseTable, current: LeaseView | None, claim: LeaseClaim, offset: int
) -> LeaseView | None:
    is_settled = current.settled if current is not None else table.unread_below == 0
    if claim.epoch == NO_EPOCH and table.claim_base(claim.lease) <= claim.base:
        return LeaseView(claim.lease, claim.holder, offset, offset, settled=True)
    if not is_settled:
        epoch = offset if claim.epoch == NO_EPOCH else claim.epoch
        return LeaseView(claim.lease, claim.holder, epoch, offset, settled=False)
    is_renewal = current is not None and (current.holder, current.epoch) == (
        claim.holder,
        claim.epoch,
    )
    if current is not None and is_renewal:
        return current._replace(last_offset=offset)
    return current
