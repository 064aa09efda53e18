"""The closed list of error kinds and its table."""

import re
from pathlib import Path

import pytest

from samphirecleat.errors import ANSWERS, ErrorKind, Ran, RequestError


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_every_error_kind_has_a_response(kind: ErrorKind) -> None:
    assert 400 <= ANSWERS[kind].status < 600


@pytest.mark.parametrize("kind", list(ErrorKind))
def test_error_is_unchanged_after_encoding_and_decoding(kind: ErrorKind) -> None:
    error = RequestError(kind, "detail", retry_after_s=0.5)
    again = RequestError.from_body(error.body())
    assert (again.kind, again.ran, again.retry_after_s) == (kind, error.ran, 0.5)


def test_unknown_error_kind_is_never_read_as_not_run() -> None:
    body = RequestError(ErrorKind.OVERLOADED, "x").body()
    body["kind"] = "a_kind_of_next_year"
    assert RequestError.from_body(body).ran is Ran.UNKNOWN


def test_operators_page_lists_every_error_kind_with_its_response() -> None:
    """The page and the table drift apart, and an operator is told to retry what may have run."""
    page = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| (\d+) \| (\w+) \| (\w+) \|", page, re.MULTILINE)
    expected = [
        (kind.value, str(answer.status), answer.ran.value, answer.retry_at.value)
        for kind, answer in ANSWERS.items()
    ]
    assert rows == expected
