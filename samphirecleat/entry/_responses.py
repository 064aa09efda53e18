"""Sends an answer to its caller, as one JSON object or as a stream of JSON lines."""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Final

from aiohttp import web

from ..errors import ErrorKind, Ran, RequestError
from ..requests import AnswerLine, Call, join_lines

SLOW_READER_GRACE_S: Final = 5.0


async def send_json_response(call: Call, lines: AsyncGenerator[AnswerLine, None]) -> web.Response:
    """Collect all lines of an answer and return them joined into one JSON object."""
    collected: list[AnswerLine] = []
    async with aclosing(lines):
        async for line in lines:
            collected.append(line)
    answer: dict[str, object] = {**join_lines(collected), "request_id": call.request_id}
    answer.pop("end", None)
    return web.json_response(answer)


async def stream_response(
    request: web.Request,
    call: Call,
    lines: AsyncGenerator[AnswerLine, None],
    on_error: Callable[[RequestError], None],
) -> web.StreamResponse:
    """Send lines as they arrive; an error after the first one is sent as a line.

    ``on_error`` is called for such an error. The connection of a caller that reads too
    slowly is aborted :data:`SLOW_READER_GRACE_S` after the deadline. Otherwise a caller
    that stops reading could keep its answer in memory, and prevent this node from
    shutting down, for an unlimited time.

    :raises samphirecleat.errors.RequestError: an error before the first line, or
        DEADLINE_EXCEEDED if the connection was aborted.
    """
    try:
        async with asyncio.timeout_at(call.deadline_at_s + SLOW_READER_GRACE_S):
            return await _write_lines(request, call, lines, on_error)
    except TimeoutError as error:
        if request.transport is not None:
            request.transport.abort()
        raise RequestError(
            ErrorKind.DEADLINE_EXCEEDED, "the caller did not read the answer in time"
        ) from error


async def _write_lines(
    request: web.Request,
    call: Call,
    lines: AsyncGenerator[AnswerLine, None],
    on_error: Callable[[RequestError], None],
) -> web.StreamResponse:
    response: web.StreamResponse | None = None
    try:
        async with aclosing(lines):
            async for line in lines:
                if response is None:
                    response = await _open_stream(request, call)
                await response.write(json.dumps(line).encode() + b"\n")
    except RequestError as error:
        if response is None:
            raise
        on_error(error)
        # Part of the answer has been sent, so "not run" would no longer be true.
        body = error.body()
        if error.ran is Ran.NO:
            body["ran"] = Ran.UNKNOWN.value
        await response.write(json.dumps({"error": body}).encode() + b"\n")
    if response is None:
        response = await _open_stream(request, call)
    await response.write_eof()
    return response


async def _open_stream(request: web.Request, call: Call) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={"Content-Type": "application/x-ndjson", "x-request-id": call.request_id}
    )
    await response.prepare(request)
    return response
