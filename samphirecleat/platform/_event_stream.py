"""Event streams of engines: bytes cut into whole events, and what an event says."""

from collections.abc import AsyncIterator
from typing import Final, NamedTuple

import aiohttp

from ._wire_names import WEIGHT_VERSIONS

# One event of a few hundred bytes; a stream that sends this much without one is no stream.
LARGEST_EVENT_BYTES: Final = 4 * 1024 * 1024
NO_VERSION: Final = -1
EVENT_STREAM: Final = "text/event-stream"


class EventFormatError(Exception):
    """Bytes that are no event, or a stream that ended within one."""


class EventLines(NamedTuple):
    """What the lines of an event say; ``version`` is that of the event before if unnamed."""

    event_id: int
    data: str
    version: int


async def event_blocks(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the events of a stream, each without the blank line that ends it.

    :raises EventFormatError: when the stream ends within an event.
    """
    held = b""
    async for chunk in content.iter_any():
        held += chunk
        *blocks, held = held.split(b"\n\n")
        for block in blocks:
            yield block
        if len(held) > LARGEST_EVENT_BYTES:
            raise EventFormatError("an event without an end")
    if held.strip():
        raise EventFormatError("ended within an event")


def read_event(block: bytes, version: int) -> EventLines:
    """Return what an event says, made by ``version`` unless it names another.

    :raises EventFormatError: when it has no id, no data, or nothing names its version.
    """
    event_id, data = -1, None
    for line in block.decode(errors="replace").split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name.strip().lower():
            case "id" if value.isdigit():
                event_id = int(value)
            case "data":
                data = value if data is None else f"{data}\n{value}"
            case key if key == WEIGHT_VERSIONS.lower() and value.strip().isdigit():
                version = int(value)
    if event_id < 0 or data is None or version == NO_VERSION:
        raise EventFormatError(f"not an event: {block[:80]!r}")
    return EventLines(event_id, data, version)
