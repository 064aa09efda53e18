"""Sends an answer to its caller, whole or as lines, without holding it back."""

import asyncio
import json
from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Final

from aiohttp import web

from ..errors import ErrorKind, Ran, RequestError
from ..requests import AnswerLine, Call, join_lines

SLOW_READER_GRACE_S: Final = 5.0


async def send_whole(call: Call, lines: AsyncGenerator[AnswerLine, None]) -> web.Response:
    """Send an answer when it is whole."""
    collected: list[AnswerLine] = []
    async with aclosing(lines):
        async for line in lines:
            collected.append(line)
    answer: dict[str, object] = {**join_lines(collected), "request_id": call.request_id}
    answer.pop("end", None)
    return web.json_response(answer)


async def send_lines(
    request: web.Request, call: Call, lines: AsyncGenerator[AnswerLine, None]
) -> web.StreamResponse:
    """Send lines as they come; an error after the first one is itself a line.

    A caller who reads too slowly is cut off a little after the deadline. Without
    that, one who stops reading would keep its answer in memory and this node from
    ending for as long as it likes.
    """
    try:
        async with asyncio.timeout_at(call.deadline_at_s + SLOW_READER_GRACE_S):
            return await _send_lines(request, call, lines)
    except TimeoutError as error:
        if request.transport is not None:
            request.transport.abort()
        raise RequestError(
            ErrorKind.DEADLINE_EXCEEDED, "the answer was not read in time"
        ) from error


async def _send_lines(
    request: web.Request, call: Call, lines: AsyncGenerator[AnswerLine, None]
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
        # What was sent cannot be taken back, so it can no longer be "not run".
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
