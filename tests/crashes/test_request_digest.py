"""What makes two calls the same request."""

import pytest

from samphirecleat.crashes import request_digest

BASE = ("POST", "h.example", "/plain/1?x=1", "w", b"body")


@pytest.mark.parametrize(
    "other",
    [
        ("GET", *BASE[1:]),
        ("POST", "other.example", *BASE[2:]),
        ("POST", "h.example", "/plain/1?x=2", "w", b"body"),
        ("POST", "h.example", "/plain/1", "w", b"body"),
        ("POST", "h.example", "/plain/1?x=1", "v", b"body"),
        ("POST", "h.example", "/plain/1?x=1", "", b"body"),
        ("POST", "h.example", "/plain/1?x=1", "w", b""),
        ("POST", "h.example", "/plain/1?x=1w", "", b"body"),
    ],
    ids=["method", "host", "query", "no query", "caller", "nobody", "empty body", "shifted"],
)
def test_requests_that_differ_have_marks_of_their_own(
    other: tuple[str, str, str, str, bytes],
) -> None:
    """Nobody can make the request of another caller be refused."""
    assert request_digest(*other) != request_digest(*BASE)


def test_a_host_is_the_same_with_its_port_and_in_any_case() -> None:
    method, _host, *rest = BASE
    assert request_digest(method, "H.example:80", *rest) == request_digest(*BASE)  # type: ignore[arg-type]
