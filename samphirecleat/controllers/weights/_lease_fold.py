"""The pure function that turns the claims in the control stream into leases.

Every reader folds the same records in offset order. A claim names the last
record of the lease that its writer has seen, its base; it counts if no record
that counts came after that, so of two claims on one base the first in offset
order wins at every node. A renewal counts while its epoch is the current one.

The control stream is trimmed like any other, and claims are not restated. A
reader that missed records holds a lease as *unsettled*: every record that it
sees might count, and ``last_offset`` is then the latest that might. A claim on
that base or a later one counts whatever was missed, and settles the lease. So a
reader that missed records needs nobody's help: it waits until the lease has
been silent for long enough, and claims on the last record that it saw.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from ...blackboard import LeaseView
from ...config import LogRecord

NO_EPOCH: Final = -1


class Claim(NamedTuple):
    """A claim, or (``epoch`` is set) a renewal.

    ``base`` is the offset of the last record of the lease that the writer saw,
    or the one before the first offset that it could read.
    """

    lease: str
    holder: str
    claim_id: str
    base: int
    epoch: int


class LeaseTable(NamedTuple):
    """The leases after all records before ``next_offset``.

    Some records before ``unread_below`` were trimmed unread; 0 means none.
    """

    leases: Mapping[str, LeaseView] = {}
    next_offset: int = 0
    unread_below: int = 0

    def base_for(self, name: str) -> int:
        """Return the base that a claim of this lease made now would name."""
        lease = self.leases.get(name)
        return lease.last_offset if lease is not None else self.unread_below - 1


def fold_claims(
    table: LeaseTable, records: Sequence[LogRecord], first_kept_offset: int
) -> LeaseTable:
    """Return the table after ``records``; records that were folded before change nothing."""
    table = _skip_to(table, first_kept_offset)
    for record in records:
        if record.offset >= table.next_offset:
            table = _fold_record(_skip_to(table, record.offset), record)
    return table


def read_claim(payload: Mapping[str, Any]) -> Claim | None:
    """Return the typed claim of a record, or None for any other record."""
    try:
        if payload.get("type") != "claim":
            return None
        return Claim(
            str(payload["lease"]),
            str(payload["holder"]),
            str(payload["id"]),
            int(payload["base"]),
            int(payload["epoch"]),
        )
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError):
        return None


def claim_payload(claim: Claim) -> Mapping[str, Any]:
    """Return the log payload of a claim; the inverse of :func:`read_claim`."""
    return {
        "type": "claim",
        "lease": claim.lease,
        "holder": claim.holder,
        "id": claim.claim_id,
        "base": claim.base,
        "epoch": claim.epoch,
    }


def _skip_to(table: LeaseTable, next_offset: int) -> LeaseTable:
    """Return the table when the records up to ``next_offset`` were missed."""
    if next_offset <= table.next_offset:
        return table
    # Any lease may have changed hands in the records that were missed.
    leases = {
        name: lease._replace(last_offset=next_offset - 1, settled=False)
        for name, lease in table.leases.items()
    }
    return LeaseTable(leases, next_offset, next_offset)


def _fold_record(table: LeaseTable, record: LogRecord) -> LeaseTable:
    table = table._replace(next_offset=record.offset + 1)
    claim = read_claim(record.payload)
    if claim is None or claim.base >= record.offset:
        return table
    known = table.leases.get(claim.lease)
    lease = _fold_claim(table, known, claim, record.offset)
    if lease is None or lease == known:
        return table
    return table._replace(leases={**table.leases, claim.lease: lease})


def _fold_claim(
    table: LeaseTable, known: LeaseView | None, claim: Claim, offset: int
) -> LeaseView | None:
    is_settled = known.settled if known is not None else table.unread_below == 0
    if claim.epoch == NO_EPOCH and table.base_for(claim.lease) <= claim.base:
        return LeaseView(claim.lease, claim.holder, offset, offset, settled=True)
    if not is_settled:
        epoch = offset if claim.epoch == NO_EPOCH else claim.epoch
        return LeaseView(claim.lease, claim.holder, epoch, offset, settled=False)
    is_renewal = known is not None and (known.holder, known.epoch) == (claim.holder, claim.epoch)
    if known is not None and is_renewal:
        return known._replace(last_offset=offset)
    return known
