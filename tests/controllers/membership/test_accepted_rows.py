"""Tests of the acceptance of host list rows; the list can be late or wrong."""

import pytest

from samphirecleat.controllers.membership._accepted_rows import accept_rows
from samphirecleat.platform import ListedHost


def row(number: int, *, leaving: bool = False) -> ListedHost:
    return ListedHost(f"10.0.0.{number}:9000", "asesor", "ar-centro-a", leaving)


FIVE = [row(number) for number in range(5)]
ONE_LEAVES = [row(0, leaving=True), *FIVE[1:]]
CASES = {
    "one host added": (FIVE, [*FIVE, row(7)], [*FIVE, row(7)]),
    "one host removed": (FIVE, FIVE[1:], FIVE[1:]),
    "one host leaving": (FIVE, ONE_LEAVES, ONE_LEAVES),
    "all hosts missing": (FIVE, [], FIVE),
    "most hosts missing, one leaving": (FIVE, ONE_LEAVES[:1], ONE_LEAVES),
    "two of three missing": (FIVE[:3], FIVE[:1], FIVE[:1]),
    "row without a port": (FIVE, [*FIVE, ListedHost("x", "asesor", "z", False)], FIVE),
}


@pytest.mark.parametrize("name", CASES)
def test_which_rows_are_accepted(name: str) -> None:
    """The list is restarted and shows few rows for a while, or contains a malformed row.

    If such a list were accepted at once, callers would be left without targets.
    """
    current, fetched, expected = CASES[name]
    assert list(accept_rows(current, fetched, None, 100.0).rows) == expected


def test_a_lasting_loss_is_accepted() -> None:
    """Most of the hosts are really gone."""
    first = accept_rows(FIVE, FIVE[:1], None, 100.0)
    later = accept_rows(first.rows, FIVE[:1], first.loss_since_s, 129.0)
    assert list(later.rows) == FIVE
    last = accept_rows(later.rows, FIVE[:1], later.loss_since_s, 130.0)
    assert list(last.rows) == FIVE[:1]
