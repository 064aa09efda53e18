"""The bound on heads of responses, and how much of a response is held back."""

import pytest
from aiohttp.http_exceptions import BadHttpMessage

from samphirecleat.targets._response_head import MAX_HEAD_BYTES, ResponseHead

FINAL = b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Hints\r\n\r\n"


def feed_all(pieces: list[bytes]) -> None:
    head = ResponseHead()
    for piece in pieces:
        head.feed(piece)


def test_a_head_of_exactly_the_limit_passes_and_one_byte_more_does_not() -> None:
    rest_bytes = MAX_HEAD_BYTES - len(FINAL)
    head = ResponseHead()
    largest = FINAL.replace(b"A: b", b"A: b" + b"b" * rest_bytes)
    assert head.feed(largest + b"body") == largest + b"body"
    assert head.is_complete
    with pytest.raises(BadHttpMessage):
        ResponseHead().feed(largest.replace(b"A: b", b"A: bb"))


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"\r\n"),
        (b"", INTERIM),
        (b"HTTP/1.1 200 ", b"a"),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nA: ", b"a"),
        (b"", b"garbage"),
    ],
)
def test_heads_without_end_are_an_error(first: bytes, piece: bytes) -> None:
    """Guards against a target that fills the memory of a node before any answer begins."""
    with pytest.raises(BadHttpMessage):
        feed_all([first] + [piece] * (2 * MAX_HEAD_BYTES // len(piece)))


def test_only_complete_heads_are_passed_on() -> None:
    head = ResponseHead()
    assert head.feed(b"\r\n" + INTERIM + FINAL[:-1]) == INTERIM
    assert not head.is_complete
    assert head.feed(FINAL[-1:] + b"bo") == FINAL + b"bo"
    assert head.is_complete


def test_an_error_quotes_little_of_what_was_received() -> None:
    with pytest.raises(BadHttpMessage) as raised:
        ResponseHead().feed(FINAL[:-2] + b"B " + b"b" * 10_000 + b": 1\r\n\r\n")
    assert "B bbb" in str(raised.value)
    assert len(str(raised.value)) < 200
