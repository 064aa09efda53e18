"""One run of an item at an engine: an event stream read into pieces."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import Final

import aiohttp

from ..durable import GenerationCall, GenerationEnd, GenerationError, Piece
from ..serving import Target
from ._answers import ANSWER_FAULTS
from ._call_exchange import MISDIRECTED, target_url
from ._target_sessions import TargetSessions
from ._wire_names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_RUN,
    REQUEST_ID,
    RUN_PRIORITY,
    VERSION,
)

# One event of a few hundred bytes; a stream that sends this much without one is no stream.
LARGEST_EVENT_BYTES: Final = 4 * 1024 * 1024
IMPOSSIBLE: Final = 422
FAILED: Final = 500
NO_VERSION: Final = -1


class GenerationStream:
    """Streams items from engines; fills the product's channel for generations."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Use ``sessions`` for connections."""
        self._sessions = sessions

    async def generate(self, call: GenerationCall, target: Target) -> AsyncGenerator[Piece, None]:
        """Yield the pieces of a run; see :class:`GenerationChannel`."""
        headers = [
            *call.headers,
            ("Host", call.host),
            (REQUEST_ID, call.item_id),
            (DEADLINE_MS, str(int(call.budget_s * 1000))),
            (EXPECT_INSTANCE, target.instance),
            (RUN_PRIORITY, str(call.priority)),
        ]
        if call.last_event_id:
            headers.append((LAST_EVENT_ID, str(call.last_event_id)))
        session = self._sessions.get(target)
        url = target_url(target, call.raw_path)
        try:
            async with session.post(
                url, headers=headers, data=call.body, allow_redirects=False
            ) as response:
                self._sessions.learn_idle(target, response.headers.get("Keep-Alive", ""))
                await _check_start(response, call)
                # An engine that is asked to go on behind the last event makes nothing and
                # names no version; its stream ends at once, which is the end of the text.
                version = int(response.headers.get(VERSION, NO_VERSION))
                async for block in _blocks(response.content):
                    piece = _read_event(block, version)
                    version = piece.version
                    yield piece
        except aiohttp.ClientConnectorError as error:
            raise GenerationError(repr(error), GenerationEnd.BROKEN) from error
        except ANSWER_FAULTS as error:
            raise GenerationError(repr(error), GenerationEnd.BROKEN) from error


async def _check_start(response: aiohttp.ClientResponse, call: GenerationCall) -> None:
    """Check that the answer is the stream of this item.

    :raises GenerationError: when it is not.
    """
    if response.status == MISDIRECTED:
        raise GenerationError("replaced", GenerationEnd.WRONG_INSTANCE)
    if NOT_RUN in response.headers:
        await response.read()
        raise GenerationError(f"refused with {response.status}", GenerationEnd.REFUSED)
    if response.headers.get(REQUEST_ID) != call.item_id:
        response.close()
        raise GenerationError("answer to another call", GenerationEnd.BROKEN)
    if response.status == IMPOSSIBLE:
        raise GenerationError("can never be done", GenerationEnd.IMPOSSIBLE)
    if response.status == FAILED:
        await response.read()
        raise GenerationError("failed", GenerationEnd.FAILED)
    if response.status != 200 or response.headers.get("Content-Encoding"):
        raise GenerationError(f"HTTP {response.status}", GenerationEnd.BROKEN)


async def _blocks(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    """Yield the events of a stream; what follows the last blank line is no event.

    :raises GenerationError: when the stream ends within an event.
    """
    held = b""
    async for chunk in content.iter_any():
        held += chunk
        *blocks, held = held.split(b"\n\n")
        for block in blocks:
            yield block
        if len(held) > LARGEST_EVENT_BYTES:
            raise GenerationError("an event without an end", GenerationEnd.BROKEN)
    if held.strip():
        raise GenerationError("ended within an event", GenerationEnd.BROKEN)


def _read_event(block: bytes, version: int) -> Piece:
    """Return the piece of an event's lines.

    :raises GenerationError: when it has no id or no data.
    """
    event_id, data = -1, None
    for line in block.decode().split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        match name.strip().lower():
            case "id" if value.isdigit():
                event_id = int(value)
            case "data":
                data = value if data is None else f"{data}\n{value}"
            case key if key == VERSION.lower() and value.strip().isdigit():
                version = int(value)
    if event_id < 0 or data is None or version == NO_VERSION:
        raise GenerationError(f"not an event: {block[:80]!r}", GenerationEnd.BROKEN)
    return Piece(event_id, data, version)
