"""Parser of engines' event streams (``text/event-stream``)."""

from collections.abc import AsyncIterator
from typing import Final, NamedTuple

import aiohttp

from .._decoding import MalformedError, parse_whole_number
from ._wire_names import WEIGHT_VERSIONS

# Events have a few hundred bytes; more than this without an event end is a malformed stream.
MAX_EVENT_BYTES: Final = 256 * 1024
_EVENT_END: Final = b"\n\n"
NO_VERSION: Final = -1
EVENT_STREAM: Final = "text/event-stream"


class EventFormatError(MalformedError):
    """A malformed event, or a stream that ended within an event."""


class ParsedEvent(NamedTuple):
    """The fields of an event; ``version`` defaults to that of the previous event."""

    event_id: int
    data: str
    version: int


async def split_events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the events of a stream, each without its terminating blank line.

    :raises EventFormatError: when an event exceeds ``MAX_EVENT_BYTES`` or the stream ends within
        one.
    """
    buffer = bytearray()
    async for chunk in content.iter_any():
        search_from = max(0, len(buffer) - 1)
        buffer += chunk
        while (end := buffer.find(_EVENT_END, search_from)) >= 0:
            yield bytes(buffer[:end])
            del buffer[: end + len(_EVENT_END)]
            search_from = 0
        if len(buffer) > MAX_EVENT_BYTES:
            raise EventFormatError("event is too large")
    if buffer.strip():
        raise EventFormatError("stream ended within an event")


def parse_event(block: bytes, version: int) -> ParsedEvent:
    """Return the fields of an event; ``version`` applies unless the event names another.

    :raises EventFormatError: when the event has no id or no data, or its version is unknown.
    """
    event_id, data = -1, None
    for line in block.decode(errors="replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name.strip().lower():
            case "id" if (number := parse_whole_number(value)) is not None:
                event_id = number
            case "data":
                data = value if data is None else f"{data}\n{value}"
            case key if key == WEIGHT_VERSIONS.lower():
                number = parse_whole_number(value.strip())
                version = version if number is None else number
    if event_id < 0 or data is None or version == NO_VERSION:
        raise EventFormatError(f"malformed event: {block[:80]!r}")
    return ParsedEvent(event_id, data, version)
