"""Finds the end of a body on the wire."""

from typing import Final

from aiohttp.http import RawRequestMessage

_CHUNKS_END: Final = b"\r\n\r\n"


class BodyMeter:
    """The body of one request. Pure: performs no I/O and parses nothing."""

    __slots__ = ("_chunked", "_last_bytes", "_left_bytes")

    def __init__(self, request: RawRequestMessage) -> None:
        """Measure the body of ``request``, of which nothing has arrived yet."""
        self._chunked = bool(request.chunked)
        self._left_bytes = int(request.headers.get("Content-Length", "0"))
        self._last_bytes = b""

    def part_bytes(self, data: bytes) -> int:
        """Return how much of ``data`` belongs to the body for certain; 0 if it is complete."""
        if not self._chunked:
            return min(len(data), self._left_bytes)
        # The empty line that ends the body may have begun in an earlier part.
        end = (self._last_bytes + data).find(_CHUNKS_END)
        return len(data) if end < 0 else end + len(_CHUNKS_END) - len(self._last_bytes)

    def record(self, part: bytes) -> None:
        """Record a parsed part."""
        if self._chunked:
            self._last_bytes = (self._last_bytes + part)[1 - len(_CHUNKS_END) :]
        else:
            self._left_bytes -= len(part)
