"""Runs one item at an engine and reads the event stream of the answer."""

from collections.abc import AsyncGenerator, Callable, Sequence
from typing import Final

import aiohttp

from ..durable import GenerationCall, GenerationError, GenerationEvent, GenerationFailure
from ..serving import Target
from ..targets import is_connection_closed
from ._answers import RESPONSE_ERRORS
from ._call_exchange import target_url
from ._event_stream import NO_VERSION, EventFormatError, parse_event, split_events
from ._request_headers import ITEM_SYSTEM_HEADERS, client_headers
from ._target_sessions import MISDIRECTED_STATUS, TargetSessions
from ._wire_names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    REQUEST_ID,
    REQUEST_PRIORITY,
    WEIGHT_VERSIONS,
    WORKSPACE,
)

IMPOSSIBLE_STATUS: Final = 422
FAILED_STATUS: Final = 500


class GenerationStream:
    """Streams items from engines; implements :class:`GenerationChannel`."""

    def __init__(
        self, sessions: TargetSessions, requires_keys: Callable[[], bool] = lambda: False
    ) -> None:
        """Send calls through ``sessions``; ``requires_keys`` says whether callers need API keys."""
        self._sessions = sessions
        self._requires_keys = requires_keys

    async def generate(
        self, call: GenerationCall, target: Target
    ) -> AsyncGenerator[GenerationEvent, None]:
        """Yield the events of a run; see :class:`GenerationChannel`."""
        # Items of clients without a workspace may be older than the requirement of keys.
        hides_identity = bool(call.workspace) or self._requires_keys()
        headers = item_headers(call, target, hides_identity=hides_identity)
        session = self._sessions.get(target, call.item_id)
        url = target_url(target, call.raw_path)
        try:
            async with session.post(
                url, headers=headers, data=call.body, allow_redirects=False
            ) as response:
                if not self._sessions.is_answer(target, response, call.item_id):
                    raise GenerationError(
                        "response belongs to another call", GenerationFailure.BROKEN
                    )
                self._sessions.update_idle_timeout(target, response.headers.get("Keep-Alive", ""))
                await self._check_response(response)
                # An engine asked to resume after the last event generates nothing and sends no
                # version. Its stream ends at once, which is a regular end of the text.
                version = int(response.headers.get(WEIGHT_VERSIONS, NO_VERSION))
                async for block in split_events(response.content):
                    event = parse_event(block, version)
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

    async def _check_response(self, response: aiohttp.ClientResponse) -> None:
        """Check that the answer to an item is an event stream.

        :raises GenerationError: when it isn't.
        """
        if response.status == MISDIRECTED_STATUS:
            raise GenerationError("replaced", GenerationFailure.WRONG_INSTANCE)
        if NOT_EXECUTED in response.headers:
            await self._sessions.answers.read(response)
            raise GenerationError(
                f"engine refused the run with HTTP {response.status}", GenerationFailure.REFUSED
            )
        if response.status == IMPOSSIBLE_STATUS:
            raise GenerationError("engine can never run this item", GenerationFailure.IMPOSSIBLE)
        if response.status == FAILED_STATUS:
            await self._sessions.answers.read(response)
            raise GenerationError("failed", GenerationFailure.FAILED)
        if response.status != 200 or response.headers.get("Content-Encoding"):
            raise GenerationError(f"HTTP {response.status}", GenerationFailure.BROKEN)


def item_headers(
    call: GenerationCall, target: Target, *, hides_identity: bool
) -> Sequence[tuple[str, str]]:
    """Return the headers of an item at its engine: those of its client, and the system's own."""
    headers = [
        *client_headers(call.headers, hides_identity=hides_identity, dropped=ITEM_SYSTEM_HEADERS),
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
    return headers
