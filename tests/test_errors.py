"""The closed list of error kinds and its table."""

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
