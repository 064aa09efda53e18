"""Decides which rows of a newly read host list to accept."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from ...platform import ListedHost
from ...settings import ADDRESS_PATTERN

MASS_LOSS_FRACTION: Final = 0.5
MIN_ROWS_FOR_MASS_LOSS: Final = 4
MASS_LOSS_CONFIRMED_AFTER_S: Final = 30.0


class AcceptedRows(NamedTuple):
    """The rows to use, and since when most rows have been missing from the list."""

    rows: Sequence[ListedHost] = ()
    loss_since_s: float | None = None


def accept_rows(
    current: Sequence[ListedHost],
    fetched: Sequence[ListedHost],
    loss_since_s: float | None,
    now_s: float,
) -> AcceptedRows:
    """Return the rows to use, from the ``current`` ones and those just ``fetched``.

    A list that lost most of its rows at once was probably restarted; if the loss were
    accepted at once, every target would be taken out of routing. The rows that the
    list does show are accepted, including their ``leaving`` flag, and the loss is
    accepted once it has lasted ``MASS_LOSS_CONFIRMED_AFTER_S``. Rows with a malformed
    address are dropped.
    """
    fetched = [row for row in fetched if ADDRESS_PATTERN.match(row.address)]
    fetched_addresses = {row.address for row in fetched}
    missing = [row for row in current if row.address not in fetched_addresses]
    is_large = len(current) >= MIN_ROWS_FOR_MASS_LOSS
    if not is_large or len(missing) <= MASS_LOSS_FRACTION * len(current):
        return AcceptedRows(fetched)
    since_s = now_s if loss_since_s is None else loss_since_s
    if now_s - since_s >= MASS_LOSS_CONFIRMED_AFTER_S:
        return AcceptedRows(fetched)
    return AcceptedRows([*fetched, *missing], since_s)
