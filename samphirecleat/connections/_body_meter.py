"""Measures a body on the wire: where it ends, and how much of it is framing."""

from typing import Final

from aiohttp.http import RawRequestMessage

# Bytes of framing that a chunked body may have for each of its bytes. A chunk of one byte has five.
MAX_FRAMING_RATIO: Final = 32
# The rest of a body that is read and dropped after the response to its request.
MAX_UNREAD_BYTES: Final = 1_048_576
_CHUNKS_END: Final = b"\r\n\r\n"


class BodyMeter:
    """The body of one request; ``is_chunked`` is set if it has no length.

    Pure: performs no I/O and parses nothing.
    """

    __slots__ = (
        "_body_bytes",
        "_framing_bytes",
        "_last_bytes",
        "_left_bytes",
        "_unread_bytes",
        "_wire_bytes",
        "is_chunked",
    )

    def __init__(self, request: RawRequestMessage) -> None:
        """Measure the body of ``request``, of which nothing has arrived yet."""
        self.is_chunked = bool(request.chunked)
        self._left_bytes = int(request.headers.get("Content-Length", "0"))
        self._last_bytes = b""
        self._wire_bytes = self._body_bytes = self._framing_bytes = self._unread_bytes = 0

    def part_bytes(self, data: bytes) -> int:
        """Return how much of ``data`` belongs to the body for certain; 0 if it is complete."""
        if not self.is_chunked:
            return min(len(data), self._left_bytes)
        # The empty line that ends the body may have begun in an earlier part.
        end = (self._last_bytes + data).find(_CHUNKS_END)
        return len(data) if end < 0 else end + len(_CHUNKS_END) - len(self._last_bytes)

    def record(self, part: bytes, body_bytes: int) -> int:
        """Record a parsed part; ``body_bytes`` is the size of the body without framing up to now.

        Returns by how much the body has grown.
        """
        grown_bytes = body_bytes - self._body_bytes
        self._body_bytes = body_bytes
        self._wire_bytes += len(part)
        if self.is_chunked:
            self._framing_bytes = 0 if grown_bytes else self._framing_bytes + len(part)
            self._last_bytes = (self._last_bytes + part)[1 - len(_CHUNKS_END) :]
        else:
            self._left_bytes -= len(part)
        return grown_bytes

    def has_excessive_framing(self, limit_bytes: int) -> bool:
        """Whether more than ``limit_bytes`` came without any data, or framing dwarfs the data."""
        max_wire_bytes = limit_bytes + MAX_FRAMING_RATIO * self._body_bytes
        is_dwarfed = self.is_chunked and self._wire_bytes > max_wire_bytes
        return is_dwarfed or self._framing_bytes > limit_bytes

    def is_too_long_unread(self, part: bytes) -> bool:
        """Record a part of which nobody reads anything; return whether to stop reading it."""
        self._unread_bytes += len(part)
        return self._unread_bytes > MAX_UNREAD_BYTES
