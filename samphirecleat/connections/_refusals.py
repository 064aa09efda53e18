"""The reasons for which a connection is refused, and what its client is told."""

from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus
from typing import Final


class Refusal(Enum):
    """Why a connection is closed before its client gets an ordinary answer."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    MALFORMED = "malformed"
    BODY_FRAMING = "body_framing"
    BODY_TIMEOUT = "body_timeout"
    NO_MEMORY = "no_memory"
    UNREAD_BODY = "unread_body"
    EVICTED = "evicted"
    NO_PLACE = "no_place"


STATUSES: Final[Mapping[Refusal, HTTPStatus]] = {
    Refusal.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Refusal.HEAD_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Refusal.MALFORMED: HTTPStatus.BAD_REQUEST,
    Refusal.BODY_FRAMING: HTTPStatus.BAD_REQUEST,
    Refusal.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    Refusal.NO_MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
}
"""The status of each refusal that is answered; the others close the connection in silence.

None of these requests has run, nor will: no handler runs a request before its body is complete.
"""


# When the memory for requests may be free again.
RETRY_AFTER_S: Final = 1


def _encode(status: HTTPStatus) -> bytes:
    lines = [f"HTTP/1.1 {status.value} {status.phrase}", "Connection: close", "Content-Length: 0"]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


RESPONSES: Final[Mapping[Refusal, bytes]] = {
    refusal: _encode(status) for refusal, status in STATUSES.items()
}
"""The complete response of each refusal that is answered."""
