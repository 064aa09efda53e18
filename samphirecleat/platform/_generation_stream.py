"""One run of an item at an engine: its event stream is decoded into events."""

from collections.abc import AsyncGenerator, Sequence
from typing import Final

import aiohttp

from ..durable import GenerationCall, GenerationError, GenerationEvent, GenerationFailure
from ..serving import Target
from ..targets import is_connection_closed
from ._answers import RESPONSE_ERRORS
from ._call_exchange import MISDIRECTED, target_url
from ._event_stream import NO_VERSION, EventFormatError, event_blocks, read_event
from ._target_sessions import TargetSessions
from ._wire_names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    IDENTITY_HEADERS,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    REQUEST_PRIORITY,
    WEIGHT_VERSIONS,
    WORKSPACE,
)

IMPOSSIBLE: Final = 422
FAILED: Final = 500


class GenerationStream:
    """Streams items from engines; fills the product's channel for generations."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Use ``sessions`` for connections."""
        self._sessions = sessions

    async def generate(
        self, call: GenerationCall, target: Target
    ) -> AsyncGenerator[GenerationEvent, None]:
        """Yield the events of a run; see :class:`GenerationChannel`."""
        headers = [
            *item_headers(call),
            ("Host", call.host),
            (REQUEST_ID, call.item_id),
            (DEADLINE_MS, str(int(call.budget_s * 1000))),
            (EXPECT_INSTANCE, target.instance),
            (REQUEST_PRIORITY, str(call.priority)),
        ]
        if call.workspace:
            headers.append((WORKSPACE, call.workspace))
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
                version = int(response.headers.get(WEIGHT_VERSIONS, NO_VERSION))
                async for block in event_blocks(response.content):
                    event = read_event(block, version)
                    version = event.version
                    yield GenerationEvent(*event)
        except EventFormatError as error:
            raise GenerationError(
                str(error), GenerationFailure.BROKEN, connection_closed=True
            ) from error
        except aiohttp.ClientConnectorError as error:
            raise GenerationError(repr(error), GenerationFailure.BROKEN) from error
        except RESPONSE_ERRORS as error:
            closed = is_connection_closed(error)
            raise GenerationError(
                repr(error), GenerationFailure.BROKEN, connection_closed=closed
            ) from error


def item_headers(call: GenerationCall) -> Sequence[tuple[str, str]]:
    """Return an item's own headers; where it belongs to a workspace, none that names another."""
    if not call.workspace:
        return call.headers
    return [(name, value) for name, value in call.headers if name.lower() not in IDENTITY_HEADERS]


async def _check_start(response: aiohttp.ClientResponse, call: GenerationCall) -> None:
    """Check that the answer is the stream of this item.

    :raises GenerationError: when it is not.
    """
    if response.status == MISDIRECTED:
        raise GenerationError("replaced", GenerationFailure.WRONG_INSTANCE)
    if NOT_EXECUTED in response.headers:
        await response.read()
        raise GenerationError(f"refused with {response.status}", GenerationFailure.REFUSED)
    if response.headers.get(REQUEST_ID) != call.item_id:
        response.close()
        raise GenerationError("answer to another call", GenerationFailure.BROKEN)
    if response.status == IMPOSSIBLE:
        raise GenerationError("can never be done", GenerationFailure.IMPOSSIBLE)
    if response.status == FAILED:
        await response.read()
        raise GenerationError("failed", GenerationFailure.FAILED)
    if response.status != 200 or response.headers.get("Content-Encoding"):
        raise GenerationError(f"HTTP {response.status}", GenerationFailure.BROKEN)
