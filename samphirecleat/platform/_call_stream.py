"""Sends one call to one target and forwards the event stream of its answer."""

from collections.abc import AsyncGenerator

from ..errors import Ran
from ..serving import Call, StreamEvent, StreamStart, Target, TargetAnswer, TargetFault
from ._answers import RESPONSE_ERRORS
from ._call_exchange import (
    answer_headers,
    fault_from_error,
    find_fault,
    foreign_answer,
    forwarded_headers,
    target_url,
)
from ._event_stream import EVENT_STREAM, EventFormatError, parse_event, split_events
from ._request_headers import STREAM_SYSTEM_HEADERS
from ._target_sessions import TargetSessions
from ._wire_names import LAST_EVENT_ID, SERVER_STAMP, WEIGHT_VERSIONS


class CallStream:
    """Streams answers over persistent connections; implements :class:`StreamChannel`."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Send calls through ``sessions``."""
        self._sessions = sessions

    async def stream(
        self, call: Call, target: Target, budget_s: float, last_event_id: int
    ) -> AsyncGenerator[TargetAnswer | StreamStart | StreamEvent, None]:
        """Yield the start and the events of a stream; see :class:`StreamChannel`."""
        headers = forwarded_headers(call, target, budget_s, STREAM_SYSTEM_HEADERS)
        if last_event_id:
            headers.append((LAST_EVENT_ID, str(last_event_id)))
        try:
            async with self._sessions.get(target, call.request_id).request(
                call.method,
                target_url(target, call.raw_path),
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
            ) as response:
                if not self._sessions.is_answer(target, response, call.request_id):
                    raise foreign_answer(target)
                self._sessions.update_idle_timeout(target, response.headers.get("Keep-Alive", ""))
                fault = find_fault(response, target)
                if fault is not None:
                    raise fault
                if response.status != 200 or response.content_type != EVENT_STREAM:
                    body = await self._sessions.answers.read(response)
                    signature = response.headers.get(SERVER_STAMP, "")
                    yield TargetAnswer(response.status, answer_headers(response), body, signature)
                    return
                version = int(response.headers.get(WEIGHT_VERSIONS, "0"))
                yield StreamStart(response.status, answer_headers(response), version)
                async for block in split_events(response.content):
                    event = parse_event(block, version)
                    version = event.version
                    yield StreamEvent(event.event_id, version, block)
        except EventFormatError as error:
            raise TargetFault(
                f"{target.instance}: {error}", Ran.UNKNOWN, connection_closed=True
            ) from error
        except RESPONSE_ERRORS as error:
            raise fault_from_error(target, error) from error
