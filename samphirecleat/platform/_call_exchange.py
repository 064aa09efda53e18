"""Sends one call unchanged to one target and checks the complete answer."""

from collections.abc import Sequence, Set
from typing import Final

import aiohttp
from yarl import URL

from ..errors import Ran
from ..serving import Call, Target, TargetAnswer, TargetFault
from ..targets import is_connection_closed
from ._answers import RESPONSE_ERRORS
from ._request_headers import CONNECTION_HEADERS, NO_MORE_HEADERS, client_headers
from ._target_sessions import MISDIRECTED_STATUS, TargetSessions
from ._wire_names import (
    DEADLINE_MS,
    EXPECT_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_STAMP,
    WORKSPACE,
)

# Set by the target's connection or by the connection to the caller.
_DROPPED_ANSWER_HEADERS: Final = CONNECTION_HEADERS | {"date", "server"}


class CallExchange:
    """Sends calls over persistent connections; implements :class:`CallChannel`."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Send calls through ``sessions``."""
        self._sessions = sessions

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        """Return the checked answer of a target; see :class:`CallChannel`."""
        result = await self._try_exchange(call, target, budget_s)
        if isinstance(result, TargetFault):
            raise result
        return result

    async def _try_exchange(
        self, call: Call, target: Target, budget_s: float
    ) -> TargetAnswer | TargetFault:
        """Return the checked answer of a target, or why there is none.

        A fault raised here would keep the response in memory, with what has arrived of
        it, for as long as its traceback is referred to.
        """
        session = self._sessions.get(target, call.request_id)
        headers = forwarded_headers(call, target, budget_s)
        url = target_url(target, call.raw_path)
        timeout = aiohttp.ClientTimeout(total=budget_s, sock_connect=min(0.5, budget_s))
        try:
            async with session.request(
                call.method,
                url,
                headers=headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=timeout,
            ) as response:
                if not self._sessions.is_answer(target, response, call.request_id):
                    return foreign_answer(target)
                body = await self._sessions.answers.read(response)
                self._sessions.update_idle_timeout(target, response.headers.get("Keep-Alive", ""))
                fault = find_fault(response, target)
                if fault is not None:
                    if fault.ran is not Ran.NO:
                        # Further data on this connection can't be assigned to a call.
                        response.close()
                    return fault
                return TargetAnswer(
                    response.status,
                    answer_headers(response),
                    body,
                    response.headers.get(SERVER_STAMP, ""),
                )
        except RESPONSE_ERRORS as error:
            return fault_from_error(target, error)


def fault_from_error(target: Target, error: Exception) -> TargetFault:
    """Return the fault for a client error; a call that was not sent did not run."""
    not_sent = isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError))
    return TargetFault(
        f"{target.instance}: {error!r}",
        Ran.NO if not_sent else Ran.UNKNOWN,
        connection_closed=not not_sent and is_connection_closed(error),
    )


def target_url(target: Target, raw_path: str) -> URL:
    """Return the URL of a path with its query at a target, to the letter as the caller sent it.

    Parsing the path as a part of a URL would drop the ``?`` of an empty query.
    """
    return URL.build(scheme="http", authority=target.address, path=raw_path, encoded=True)


def forwarded_headers(
    call: Call, target: Target, budget_s: float, dropped: Set[str] = NO_MORE_HEADERS
) -> list[tuple[str, str]]:
    """Return the headers of a call at its target: those of its caller, and the system's own.

    ``dropped`` holds the canonical names of further headers of the caller that are left out.
    """
    headers = [
        (REQUEST_ID, call.request_id),
        *client_headers(call.headers, hides_identity=bool(call.workspace), dropped=dropped),
        ("Host", call.host),
        (DEADLINE_MS, str(max(1, int(budget_s * 1000)))),
        (EXPECT_INSTANCE, target.instance),
    ]
    if call.workspace:
        headers.append((WORKSPACE, call.workspace))
    return headers


def foreign_answer(target: Target) -> TargetFault:
    """Return the fault of a call that got the answer to another call."""
    return TargetFault(f"{target.instance}: answer belongs to another call", Ran.UNKNOWN)


def find_fault(response: aiohttp.ClientResponse, target: Target) -> TargetFault | None:
    """Return why an answer can't be forwarded, or None if its status and headers are valid.

    The answer must be known to be that of the call; see :meth:`TargetSessions.is_answer`.
    """
    if response.status == MISDIRECTED_STATUS:
        return TargetFault(
            f"{target.instance}: replaced by another instance", Ran.NO, wrong_instance=True
        )
    if NOT_EXECUTED in response.headers:
        return TargetFault(f"{target.instance}: refused the call", Ran.NO, refused=True)
    if response.headers.get("Content-Encoding"):
        return TargetFault(f"{target.instance}: answer has an encoded body", Ran.UNKNOWN)
    if 200 <= response.status < 300 and not response.headers.get(SERVER_STAMP):
        return TargetFault(f"{target.instance}: answer has no signature", Ran.UNKNOWN)
    return None


def answer_headers(response: aiohttp.ClientResponse) -> Sequence[tuple[str, str]]:
    """Return a target's headers without hop-by-hop headers."""
    return [
        (key, value)
        for key, value in response.headers.items()
        if key.lower() not in _DROPPED_ANSWER_HEADERS
    ]
