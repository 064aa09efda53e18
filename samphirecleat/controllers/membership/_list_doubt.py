"""Decides what to believe of a host list that was just read."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from ...platform import ListedHost
from ...settings import ADDRESS_PATTERN

SUDDEN_LOSS_SHARE: Final = 0.5
FEWEST_FOR_SUDDEN_LOSS: Final = 4
BELIEVED_AFTER_S: Final = 30.0


class BelievedList(NamedTuple):
    """The rows to go by, and since when the list has shown far fewer."""

    rows: Sequence[ListedHost] = ()
    doubted_since_s: float | None = None


def believe_rows(
    known: Sequence[ListedHost],
    told: Sequence[ListedHost],
    doubted_since_s: float | None,
    now_s: float,
) -> BelievedList:
    """Return the rows to believe, from those ``known`` and those just ``told``.

    A list that lost most of its rows at once has more likely been restarted than
    told the truth; believed at once, it would take every target out of routing.
    The rows that it does show are believed, leaving ones above all, and the loss
    is believed once it has lasted.
    """
    told = [row for row in told if ADDRESS_PATTERN.match(row.address)]
    told_addresses = {row.address for row in told}
    missing = [row for row in known if row.address not in told_addresses]
    is_large = len(known) >= FEWEST_FOR_SUDDEN_LOSS
    if not is_large or len(missing) <= SUDDEN_LOSS_SHARE * len(known):
        return BelievedList(told)
    since_s = now_s if doubted_since_s is None else doubted_since_s
    if now_s - since_s >= BELIEVED_AFTER_S:
        return BelievedList(told)
    return BelievedList([*told, *missing], since_s)
