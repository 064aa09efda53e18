"""What is accepted of the host list, which is late and at times wrong."""

import pytest

from samphirecleat.controllers.membership._list_doubt import accept_rows
from samphirecleat.platform import ListedHost


def row(number: int, *, leaving: bool = False) -> ListedHost:
    return ListedHost(f"10.0.0.{number}:9000", "asesor", "ar-centro-a", leaving)


FIVE = [row(number) for number in range(5)]
ONE_LEAVES = [row(0, leaving=True), *FIVE[1:]]
CASES = {
    "a host more": (FIVE, [*FIVE, row(7)], [*FIVE, row(7)]),
    "a host less": (FIVE, FIVE[1:], FIVE[1:]),
    "a host that leaves": (FIVE, ONE_LEAVES, ONE_LEAVES),
    "all hosts gone at once": (FIVE, [], FIVE),
    "most hosts gone, one leaves": (FIVE, ONE_LEAVES[:1], ONE_LEAVES),
    "two of three gone": (FIVE[:3], FIVE[:1], FIVE[:1]),
    "a row without a port": (FIVE, [*FIVE, ListedHost("x", "asesor", "z", False)], FIVE),
}


@pytest.mark.parametrize("name", CASES)
def test_which_rows_are_believed(name: str) -> None:
    """The list is restarted and shows next to nothing for a while, or holds an odd row.

    Believed at once, it would leave callers without any target.
    """
    current, fetched, expected = CASES[name]
    assert list(accept_rows(current, fetched, None, 100.0).rows) == expected


def test_a_loss_that_lasts_is_believed() -> None:
    """Most of the hosts are really gone."""
    first = accept_rows(FIVE, FIVE[:1], None, 100.0)
    later = accept_rows(first.rows, FIVE[:1], first.loss_since_s, 129.0)
    assert list(later.rows) == FIVE
    last = accept_rows(later.rows, FIVE[:1], later.loss_since_s, 130.0)
    assert list(last.rows) == FIVE[:1]
