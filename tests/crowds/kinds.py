"""What the clients of each crowd send."""

from collections.abc import Mapping
from typing import Final, NamedTuple

MEGABYTE: Final = 1_000_000
_HOST: Final = b"Host: h.example\r\n"
_CHUNKED: Final = b"POST /plain/1 HTTP/1.1\r\n" + _HOST + b"Transfer-Encoding: chunked\r\n\r\n"
_LARGE_HEAD: Final = (
    b"GET /plain/1 HTTP/1.1\r\n"
    + _HOST
    + b"".join(b"X-%d: %s\r\n" % (number, b"a" * 8000) for number in range(40))
    + b"\r\n"
)
_SMALL_REQUEST: Final = b"GET /nowhere/ HTTP/1.1\r\n" + _HOST + b"\r\n"


class Crowd(NamedTuple):
    """Clients that each send ``first`` on a connection, and then ``piece`` again and again.

    A client opens a new connection when its old one is closed, ``connections`` in all, and sends
    ``client_bytes`` at most. Once it may not send any more, it holds its connection until the
    crowd has lasted for ``seconds``. Without ``reads`` it never reads an answer.
    """

    first: bytes = b""
    piece: bytes = b""
    clients: int = 60
    connections: int = 40
    client_bytes: int = 24 * MEGABYTE
    seconds: float = 8.0
    reads: bool = True


def _held(first: bytes, clients: int = 1200) -> Crowd:
    """Return a crowd that sends ``first`` once and holds its connections."""
    return Crowd(first=first, clients=clients, connections=1, client_bytes=len(first))


HEADS: Final[Mapping[str, Crowd]] = {
    "header_value": Crowd(b"GET /plain/1 HTTP/1.1\r\n" + _HOST + b"X-A: ", b"a" * 65536),
    "request_line": Crowd(b"GET /", b"a" * 65536),
    "method": Crowd(piece=b"A" * 65536),
    "header_name": Crowd(b"GET /plain/1 HTTP/1.1\r\n" + _HOST, b"a" * 65536),
    "header_fields": Crowd(b"GET /plain/1 HTTP/1.1\r\n" + _HOST, b"X-A: 1\r\n" * 8192),
    "large_heads": Crowd(piece=_LARGE_HEAD),
    "no_http": Crowd(b"\x16\x03\x01\x02\x00", bytes(range(256)) * 256),
}
EMPTY_LINES: Final = Crowd(piece=b"\r\n" * 32768, clients=1, client_bytes=64 * MEGABYTE)
BODIES: Final[Mapping[str, Crowd]] = {
    "trailers": Crowd(_CHUNKED + b"1\r\na\r\n0\r\n", b"X-A: %s\r\n" % (b"a" * 8000)),
    "chunk_extension": Crowd(_CHUNKED + b"1;", b"a" * 65536),
    "chunk_size": Crowd(_CHUNKED, b"0" * 65536),
    "bad_chunks": Crowd(_CHUNKED, b"no size\r\n" * 8192),
    "one_byte_chunks": Crowd(
        _CHUNKED, b"1\r\na\r\n" * 8192, connections=1, client_bytes=4 * MEGABYTE
    ),
    "large_body": Crowd(
        b"POST /plain/1 HTTP/1.1\r\n" + _HOST + b"Content-Length: 99999999\r\n\r\n", b"a" * 65536
    ),
}
AFTER_REQUESTS: Final[Mapping[str, Crowd]] = {
    "pipelined": Crowd(piece=_SMALL_REQUEST * 1000, reads=False),
    "pipelined_heads": Crowd(
        piece=b"GET /nowhere/ HTTP/1.1\r\n" + _HOST + b"X-A: 1\r\n" * 120 + b"\r\n", reads=False
    ),
    "upgrade": Crowd(
        b"GET /plain/1 HTTP/1.1\r\n" + _HOST + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        b"a" * 65536,
    ),
    "tunnel": Crowd(b"CONNECT h.example:80 HTTP/1.1\r\n" + _HOST + b"\r\n", b"a" * 65536),
}
BODIES_WITHIN_THE_LIMIT: Final[Mapping[str, Crowd]] = {
    f"bodies_at_{address}": Crowd(
        b"POST %s HTTP/1.1\r\n" % path + _HOST + b"Content-Length: 999999\r\n\r\n" + b"a" * 990_000,
        clients=350,
        connections=1,
    )
    for address, path in (
        ("front", b"/plain/1"),
        ("control", b"/texts"),
        ("peer", b"/calls"),
        ("own_node", b"/v1/trainers/t/steps/s"),
    )
}
HELD: Final[Mapping[str, Crowd]] = {
    "nothing": _held(b""),
    "half_a_head": _held(b"GET /plain/1 HTTP/1.1\r\n" + _HOST),
    "half_a_body": _held(b"POST /plain/1 HTTP/1.1\r\n" + _HOST + b"Content-Length: 1000\r\n\r\na"),
    "one_request": _held(_SMALL_REQUEST),
    "fields_within_the_limit": _held(
        b"GET /plain/1 HTTP/1.1\r\n" + _HOST + b"a: 1\r\n" * 2600, clients=600
    ),
    "whole_heads_with_half_a_body": _held(
        b"POST /plain/1 HTTP/1.1\r\n"
        + _HOST
        + b"Content-Length: 1000\r\n"
        + b"a: 1\r\n" * 120
        + b"X-A: %s\r\n\r\na" % (b"a" * 14000),
        clients=1200,
    ),
}
CROWDS: Final[Mapping[str, Crowd]] = {
    **HEADS,
    "empty_lines": EMPTY_LINES,
    **BODIES,
    **AFTER_REQUESTS,
    **HELD,
    "many_connections": _held(b"", clients=2600),
    **BODIES_WITHIN_THE_LIMIT,
}
