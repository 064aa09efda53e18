"""The closed list of error kinds and its table."""

import re
from pathlib import Path

import pytest

from samphirecleat.errors import ANSWERS, ErrorKind, Ran, RequestError


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_every_kind_has_an_answer(kind: ErrorKind) -> None:
    assert 400 <= ANSWERS[kind].status < 600


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_an_error_survives_its_body(kind: ErrorKind) -> None:
    error = RequestError(kind, "detail", retry_after_s=0.5)
    again = RequestError.from_body(error.body())
    assert (again.kind, again.ran, again.retry_after_s) == (kind, error.ran, 0.5)


def test_a_kind_from_a_newer_node_is_never_taken_for_not_run() -> None:
    body = RequestError(ErrorKind.OVERLOADED, "x").body()
    body["kind"] = "a_kind_of_next_year"
    assert RequestError.from_body(body).ran is Ran.UNKNOWN


def test_the_operators_page_lists_every_kind_as_it_is_answered() -> None:
    """The page and the table drift apart, and an operator is told to retry what may have run."""
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (\w+) \|", page, re.MULTILINE)
    expected = [
        (kind.value, str(answer.status), answer.ran.value, answer.retry_at.value)
        for kind, answer in ANSWERS.items()
    ]
    assert rows == expected
