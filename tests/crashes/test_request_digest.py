"""Identification of repeated requests by their digest."""

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
    ids=["method", "host", "query", "no query", "caller", "no caller", "empty body", "shifted"],
)
def test_different_requests_have_different_digests(
    other: tuple[str, str, str, str, bytes],
) -> None:
    """A caller mustn't be able to get another caller's request refused."""
    assert request_digest(*other) != request_digest(*BASE)


def test_host_is_compared_without_port_and_case() -> None:
    method, _host, *rest = BASE
    assert request_digest(method, "H.example:80", *rest) == request_digest(*BASE)  # type: ignore[arg-type]
