"""One call at one target: sent as it came, and its whole answer checked."""

from collections.abc import Sequence
from typing import Final

import aiohttp
from yarl import URL

from ..errors import Ran
from ..serving import Call, Target, TargetAnswer, TargetFault
from ..targets import is_connection_closed
from ._answers import RESPONSE_ERRORS
from ._target_sessions import TargetSessions
from ._wire_names import (
    CONNECTION_HEADERS,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    NOT_EXECUTED,
    REQUEST_ID,
    SERVER_STAMP,
    WORKSPACE,
)

_OWN_HEADERS: Final = frozenset({EXPECT_INSTANCE.lower(), DEADLINE_MS.lower(), "host"})
# Set by the connection that an answer came on, or by ours.
_ANSWER_HEADERS_DROPPED: Final = CONNECTION_HEADERS | {"date", "server"}
MISDIRECTED: Final = 421


class CallExchange:
    """Sends calls over kept connections; fills the product's channel for calls."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Use ``sessions`` for connections."""
        self._sessions = sessions

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        """Return the checked answer of a target; see :class:`CallChannel`."""
        session = self._sessions.get(target)
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
                body = await response.read()
                self._sessions.learn_idle(target, response.headers.get("Keep-Alive", ""))
                fault = fault_of(response, call, target)
                if fault is not None:
                    if fault.ran is not Ran.NO:
                        # What else comes on this connection belongs to no call of ours.
                        response.close()
                    raise fault
                return TargetAnswer(
                    response.status,
                    answer_headers(response),
                    body,
                    response.headers.get(SERVER_STAMP, ""),
                )
        except RESPONSE_ERRORS as error:
            raise lost_answer(target, error) from error


def lost_answer(target: Target, error: Exception) -> TargetFault:
    """Return the fault of a call that ended in an error; it ran nowhere if never sent."""
    never_sent = isinstance(error, (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError))
    return TargetFault(
        f"{target.instance}: {error!r}",
        Ran.NO if never_sent else Ran.UNKNOWN,
        connection_closed=not never_sent and is_connection_closed(error),
    )


def target_url(target: Target, raw_path: str) -> URL:
    """Return the URL of a path at a target, with the path as the caller wrote it."""
    return URL(f"http://{target.address}{raw_path}", encoded=True)


def forwarded_headers(call: Call, target: Target, budget_s: float) -> Sequence[tuple[str, str]]:
    """Return a caller's headers without those of its connection, and with our own."""
    named = {
        name.strip().lower()
        for key, value in call.headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = CONNECTION_HEADERS | _OWN_HEADERS | named
    headers = [(key, value) for key, value in call.headers if key.lower() not in dropped]
    if not any(key.lower() == REQUEST_ID.lower() for key, _ in headers):
        headers.append((REQUEST_ID, call.request_id))
    headers.append(("Host", call.host))
    headers.append((DEADLINE_MS, str(max(1, int(budget_s * 1000)))))
    headers.append((EXPECT_INSTANCE, target.instance))
    if call.workspace:
        headers.append((WORKSPACE, call.workspace))
    return headers


def fault_of(response: aiohttp.ClientResponse, call: Call, target: Target) -> TargetFault | None:
    """Return why an answer can't be passed on, None if its head says that it can."""
    if response.status == MISDIRECTED:
        return TargetFault(f"{target.instance}: replaced", Ran.NO, wrong_instance=True)
    if NOT_EXECUTED in response.headers:
        return TargetFault(f"{target.instance}: refused", Ran.NO, refused=True)
    if response.headers.get(REQUEST_ID, "") != call.request_id:
        return TargetFault(f"{target.instance}: answer to another call", Ran.UNKNOWN)
    if response.headers.get("Content-Encoding"):
        return TargetFault(f"{target.instance}: encoded body", Ran.UNKNOWN)
    if 200 <= response.status < 300 and not response.headers.get(SERVER_STAMP):
        return TargetFault(f"{target.instance}: no signature", Ran.UNKNOWN)
    return None


def answer_headers(response: aiohttp.ClientResponse) -> Sequence[tuple[str, str]]:
    """Return a target's headers without those of its connection."""
    return [
        (key, value)
        for key, value in response.headers.items()
        if key.lower() not in _ANSWER_HEADERS_DROPPED
    ]
