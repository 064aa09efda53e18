"""Reads a caller's request from its headers and body."""

import json
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from aiohttp import web

from ..errors import ErrorKind, RequestError

DEADLINE_HEADER: Final = "x-deadline-ms"
PRIORITY_HEADER: Final = "x-priority"
IDEMPOTENT_HEADER: Final = "x-idempotent"
KEY_HEADER: Final = "x-request-key"
TRACE_HEADER: Final = "traceparent"
DEFAULT_DEADLINE_S: Final = 30.0
HIGHEST_PRIORITY: Final = 9


class CallHeaders(NamedTuple):
    """What a caller says beside the body; ``deadline_in_s`` counts from arrival."""

    deadline_in_s: float
    priority: int
    idempotent: bool
    key: str
    traceparent: str


def read_headers(headers: Mapping[str, str], max_deadline_s: float) -> CallHeaders:
    """Return the typed headers of a request.

    :raises samphirecleat.errors.RequestError: MALFORMED or DEADLINE_PASSED.
    """
    return CallHeaders(
        deadline_in_s=min(max_deadline_s, _read_deadline(headers)),
        priority=_read_priority(headers),
        idempotent=_read_idempotent(headers),
        key=headers.get(KEY_HEADER, ""),
        traceparent=headers.get(TRACE_HEADER, ""),
    )


async def read_body(request: web.Request) -> Mapping[str, Any]:
    """Return the JSON object in a request's body.

    :raises samphirecleat.errors.RequestError: MALFORMED or BODY_TOO_LARGE.
    """
    try:
        body = json.loads(await request.read())
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, str(error.text)) from error
    except ValueError as error:
        raise RequestError(ErrorKind.MALFORMED, f"the body is no JSON: {error}") from error
    if not isinstance(body, dict):
        raise RequestError(ErrorKind.MALFORMED, "the body must be a JSON object")
    return body


def _read_deadline(headers: Mapping[str, str]) -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        deadline_s = float(text) / 1000.0
    except ValueError as error:
        raise RequestError(
            ErrorKind.MALFORMED, f"{DEADLINE_HEADER} must be milliseconds from now"
        ) from error
    if not deadline_s > 0.0:
        raise RequestError(ErrorKind.DEADLINE_PASSED, f"{DEADLINE_HEADER} is {text}")
    return deadline_s


def _read_priority(headers: Mapping[str, str]) -> int:
    text = headers.get(PRIORITY_HEADER, "5")
    if not (text.isdigit() and int(text) <= HIGHEST_PRIORITY):
        raise RequestError(
            ErrorKind.MALFORMED, f"{PRIORITY_HEADER} must be 0 to {HIGHEST_PRIORITY}"
        )
    return int(text)


def _read_idempotent(headers: Mapping[str, str]) -> bool:
    text = headers.get(IDEMPOTENT_HEADER, "yes")
    if text not in ("yes", "no"):
        raise RequestError(ErrorKind.MALFORMED, f"{IDEMPOTENT_HEADER} must be yes or no")
    return text == "yes"
