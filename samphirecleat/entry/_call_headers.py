"""Parses and validates the headers and the body of a caller's request."""

import asyncio
import json
import math
import re
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from aiohttp import web

from .._decoding import MALFORMED_INPUT_ERRORS
from ..config import ServiceKind
from ..errors import ErrorKind, Ran, RequestError

DEADLINE_HEADER: Final = "x-deadline-ms"
PRIORITY_HEADER: Final = "x-priority"
IDEMPOTENT_HEADER: Final = "x-idempotent"
REQUEST_KEY_HEADER: Final = "x-request-key"
TRACE_HEADER: Final = "traceparent"
DEFAULT_DEADLINE_S: Final = 30.0
MAX_PRIORITY: Final = 9
MAX_TOKENS_LIMIT: Final = 1_000_000


class CallHeaders(NamedTuple):
    """The options of a request; ``deadline_in_s`` counts from the arrival of the request."""

    deadline_in_s: float
    priority: int
    idempotent: bool
    traceparent: str


def read_headers(headers: Mapping[str, str], max_deadline_s: float) -> CallHeaders:
    """Parse the headers of a request; the deadline is at most ``max_deadline_s``.

    :raises samphirecleat.errors.RequestError: MALFORMED or DEADLINE_PASSED.
    """
    return CallHeaders(
        deadline_in_s=min(max_deadline_s, _read_deadline(headers)),
        priority=_read_priority(headers),
        idempotent=_read_idempotent(headers),
        traceparent=headers.get(TRACE_HEADER, ""),
    )


async def read_body(
    request: web.Request, timeout_s: float = DEFAULT_DEADLINE_S
) -> Mapping[str, Any]:
    """Return the JSON object in a request's body.

    :raises samphirecleat.errors.RequestError: MALFORMED, BODY_TOO_LARGE, or
        DEADLINE_EXCEEDED with ``Ran.NO`` if the body does not arrive within ``timeout_s``.
    """
    try:
        async with asyncio.timeout(timeout_s):
            raw = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, str(error.text)) from error
    except TimeoutError as error:
        raise RequestError(
            ErrorKind.DEADLINE_EXCEEDED, "the request body did not arrive in time", ran=Ran.NO
        ) from error
    return parse_body(raw)


def parse_body(raw: bytes) -> Mapping[str, Any]:
    """Return the JSON object encoded in ``raw``.

    :raises samphirecleat.errors.RequestError: MALFORMED.
    """
    try:
        body = json.loads(raw)
    except MALFORMED_INPUT_ERRORS as error:
        raise RequestError(
            ErrorKind.MALFORMED, f"the request body is not valid JSON: {error}"
        ) from error
    if not isinstance(body, dict):
        raise RequestError(ErrorKind.MALFORMED, "the request body must be a JSON object")
    if not isinstance(body.get("stream", False), bool):
        raise RequestError(ErrorKind.MALFORMED, '"stream" must be true or false')
    return body


def check_call_body(kind: ServiceKind, body: Mapping[str, Any]) -> None:
    """Check the fields of a call's body that the node itself uses.

    :raises samphirecleat.errors.RequestError: MALFORMED.
    """
    if kind is not ServiceKind.ENGINE:
        return
    if not isinstance(body.get("prompt"), str):
        raise RequestError(ErrorKind.MALFORMED, '"prompt" must be a string')
    max_tokens = body.get("max_tokens", 1)
    if type(max_tokens) is not int or not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise RequestError(
            ErrorKind.MALFORMED, f'"max_tokens" must be an integer from 1 to {MAX_TOKENS_LIMIT}'
        )


def _read_deadline(headers: Mapping[str, str]) -> float:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return DEFAULT_DEADLINE_S
    try:
        deadline_s = float(text) / 1000.0
    except ValueError as error:
        raise RequestError(
            ErrorKind.MALFORMED, f"{DEADLINE_HEADER} must be a number of milliseconds from now"
        ) from error
    if math.isnan(deadline_s):
        raise RequestError(
            ErrorKind.MALFORMED, f"{DEADLINE_HEADER} must be a number of milliseconds from now"
        )
    if deadline_s <= 0.0:
        raise RequestError(
            ErrorKind.DEADLINE_PASSED,
            f"the deadline has already passed: {DEADLINE_HEADER} is {text}",
        )
    return deadline_s


def _read_priority(headers: Mapping[str, str]) -> int:
    text = headers.get(PRIORITY_HEADER, "5")
    if not re.fullmatch(r"[0-9]", text):
        raise RequestError(
            ErrorKind.MALFORMED, f"{PRIORITY_HEADER} must be an integer from 0 to {MAX_PRIORITY}"
        )
    return int(text)


def _read_idempotent(headers: Mapping[str, str]) -> bool:
    text = headers.get(IDEMPOTENT_HEADER, "yes")
    if text not in ("yes", "no"):
        raise RequestError(ErrorKind.MALFORMED, f"{IDEMPOTENT_HEADER} must be yes or no")
    return text == "yes"
