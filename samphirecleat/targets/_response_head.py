"""Holds back the head of a response until it is known to be well-formed."""

import re
from typing import Final

from aiohttp.http_exceptions import BadHttpMessage

# The heads before the body of one response, those of interim responses included.
MAX_HEAD_BYTES: Final = 65_536
# The part of a malformed line that an error quotes.
QUOTED_BYTES: Final = 60
_HEAD_END: Final = re.compile(rb"\n\r?\n")
# The most that the end of a head may have in common with what arrived before.
_OVERLAP_BYTES: Final = 2
_TEXT: Final = rb"[\t\x20-\x7e\x80-\xff]*+"
# No request asks for another protocol, so 101 answers none.
_STATUS_LINE: Final = rb"HTTP/1\.[01] (?!101)[1-5][0-9]{2}(?: " + _TEXT + rb")?"
_FIELD: Final = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++:" + _TEXT
_LINE_END: Final = rb"\r?\n"
_HEAD: Final = re.compile(
    _STATUS_LINE + _LINE_END + rb"(?:" + _FIELD + _LINE_END + rb")*+" + _LINE_END
)
_LINE: Final = re.compile(_STATUS_LINE + rb"|" + _FIELD)
_INTERIM_HEAD: Final = re.compile(rb"HTTP/1\.[01] 1")
_UNKNOWN_ENCODING: Final = re.compile(
    rb"\ntransfer-encoding:(?![ \t]*+chunked[ \t]*+\r?\n)", re.IGNORECASE
)


class ResponseHead:
    """The heads of one response: those of interim responses, and the final one.

    The parser accepts heads that are no HTTP: statuses from 000 to 999, blanks in the names of
    some fields, control bytes in values, other protocols. A field that other parsers read in
    another way may hide the length of a body, whose bytes would then be those of another response.
    """

    __slots__ = ("_arrived_bytes", "_pending", "is_complete")

    def __init__(self) -> None:
        """Wait for the first byte of a response."""
        self._pending = bytearray()
        self._arrived_bytes = 0
        self.is_complete = False

    def feed(self, data: bytes) -> bytes:
        """Return the bytes that may be parsed now: complete heads, and what follows the final one.

        ``is_complete`` is set with the final head.

        :raises BadHttpMessage: if a head is malformed, or the heads exceed ``MAX_HEAD_BYTES``.
        """
        approved = b""
        search_from = max(0, len(self._pending) - _OVERLAP_BYTES)
        self._pending += data
        while not self.is_complete:
            self._drop_empty_lines()
            end = _HEAD_END.search(self._pending, search_from)
            size_bytes = end.end() if end else len(self._pending)
            if self._arrived_bytes + size_bytes > MAX_HEAD_BYTES:
                raise BadHttpMessage(f"the head of the response exceeds {MAX_HEAD_BYTES} bytes")
            if end is None:
                return approved
            approved += self._take_head(size_bytes)
            search_from = 0
        approved += self._pending
        self._pending.clear()
        return approved

    def _drop_empty_lines(self) -> None:
        """Drop empty lines before a head; they count toward its size."""
        if not self._pending.startswith((b"\r", b"\n")):
            return
        size_bytes = len(self._pending)
        self._pending = self._pending.lstrip(b"\r\n")
        self._arrived_bytes += size_bytes - len(self._pending)

    def _take_head(self, size_bytes: int) -> bytes:
        """Remove the first pending head, and return it if it is well-formed.

        :raises BadHttpMessage: see :meth:`feed`.
        """
        head = bytes(self._pending[:size_bytes])
        del self._pending[:size_bytes]
        self._arrived_bytes += size_bytes
        if _HEAD.fullmatch(head) is None:
            raise BadHttpMessage(f"malformed head of a response: {_malformed_line(head)!r}")
        if _UNKNOWN_ENCODING.search(head):
            raise BadHttpMessage("the response has an unknown transfer encoding")
        self.is_complete = _INTERIM_HEAD.match(head) is None
        return head


def _malformed_line(head: bytes) -> bytes:
    """Return the beginning of the first malformed line of a head."""
    for line in head.split(b"\n"):
        if _LINE.fullmatch(line.removesuffix(b"\r")) is None:
            return line[:QUOTED_BYTES]
    return head[:QUOTED_BYTES]
