"""Sends one request to one node and reads its answer, whole or streamed."""

import asyncio
import json
from collections.abc import AsyncGenerator, Mapping
from typing import Any, Final, NamedTuple

import aiohttp

from .._decoding import MALFORMED_INPUT_ERRORS
from ..errors import RequestError
from ..requests import (
    ProbeResult,
    RequestStatus,
    RunState,
    SilenceDetector,
    SilentConnectionError,
    StatusUnavailable,
    Unreachable,
)

CONNECT_TIMEOUT_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0
DEADLINE_SLACK_S: Final = 0.75
"""Time to receive the node's own error, as it ends the call at the same deadline."""


class NodeRequest(NamedTuple):
    """A request of the application; ``deadline_at_s`` is on the event loop's clock."""

    path: str
    body: Mapping[str, Any]
    priority: int
    idempotent: bool
    deadline_at_s: float

    @property
    def streamed(self) -> bool:
        """Whether the answer is streamed line by line."""
        return bool(self.body.get("stream", False))


class ConnectFailedError(Exception):
    """The connection to the node could not be established."""


class AnswerLostError(Exception):
    """The request may have been received, but its answer was lost or incomplete."""


async def call_node(
    session: aiohttp.ClientSession,
    address: str,
    key: str,
    request: NodeRequest,
    progress_timeout_s: float,
) -> AsyncGenerator[Mapping[str, Any], None]:
    """Yield the lines of a streamed answer, or a whole answer as a single item.

    :raises ConnectFailedError: if nothing was sent.
    :raises AnswerLostError: if the answer is incomplete or its connection fell silent.
    :raises samphirecleat.errors.RequestError: if the node responded with an error.
    """
    remaining_s = request.deadline_at_s - asyncio.get_running_loop().time()
    silence_detector = SilenceDetector(
        lambda: _probe(address, key),
        period_s=progress_timeout_s,
        counts_progress=request.streamed,
    )
    sending = session.post(
        f"http://{address}{request.path}",
        json=request.body,
        headers=_headers(key, request, remaining_s),
        timeout=aiohttp.ClientTimeout(
            total=remaining_s + DEADLINE_SLACK_S, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
    try:
        async with silence_detector, await silence_detector.wait(sending) as response:
            if response.status != 200 or not request.streamed:
                yield _read_whole(response.status, await silence_detector.wait(response.read()))
                return
            while line := _read_line(await silence_detector.wait(response.content.readline())):
                silence_detector.record_progress(1)
                yield line
                if "end" in line:
                    return
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise ConnectFailedError(str(error)) from error
    except (SilentConnectionError, aiohttp.ClientError, OSError, *MALFORMED_INPUT_ERRORS) as error:
        raise AnswerLostError(str(error)) from error
    raise AnswerLostError("the answer ended before its final line")


def _headers(key: str, request: NodeRequest, remaining_s: float) -> Mapping[str, str]:
    return {
        "x-request-key": key,
        "x-priority": str(request.priority),
        "x-idempotent": "yes" if request.idempotent else "no",
        "x-deadline-ms": f"{remaining_s * 1000:.0f}",
    }


def _read_whole(status: int, raw: bytes) -> Mapping[str, Any]:
    answer = json.loads(raw)
    if not isinstance(answer, dict):
        raise ValueError("the answer is not a JSON object")
    if status != 200:
        raise RequestError.from_body(answer.get("error", {}))
    return answer


def _read_line(raw: bytes) -> Mapping[str, Any]:
    if not raw.endswith(b"\n"):
        raise ValueError("the answer ended in the middle of a line")
    line: Mapping[str, Any] = json.loads(raw)
    if "error" in line:
        raise RequestError.from_body(line["error"])
    return line


async def _probe(address: str, key: str) -> ProbeResult:
    """Query the progress of ``key`` at the node, over a new connection."""
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/v1/requests/{key}") as response,
        ):
            if response.status != 200:
                return StatusUnavailable()
            body = await response.json()
            return RequestStatus(RunState(body["state"]), int(body["progress"]))
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Unreachable()
    except MALFORMED_INPUT_ERRORS:
        return StatusUnavailable()


class ReplayFilter:
    """Removes from a replayed answer what was yielded before the connection broke."""

    def __init__(self) -> None:
        """Start with nothing yielded."""
        self._yielded_characters = 0
        self._yielded_tokens = 0
        self._skip_characters = 0
        self._skip_tokens = 0

    @property
    def answer_started(self) -> bool:
        """Whether any part of the answer was yielded."""
        return self._yielded_tokens > 0

    def begin_replay(self) -> None:
        """Prepare for the answer to be replayed from its start."""
        self._skip_characters = self._yielded_characters
        self._skip_tokens = self._yielded_tokens

    def filter_line(self, line: Mapping[str, Any]) -> Mapping[str, Any] | None:
        """Return the new part of a line, or None if all of it was yielded before."""
        if "text" not in line:
            return line
        text = str(line["text"])
        new_text = text[self._skip_characters :]
        new_spans = self._remove_yielded_spans(line.get("spans", ()))
        self._skip_characters = max(0, self._skip_characters - len(text))
        self._yielded_characters += len(new_text)
        self._yielded_tokens += sum(tokens for _version, tokens in new_spans)
        if not new_text and not new_spans and "end" not in line:
            return None
        return {**line, "text": new_text, "spans": new_spans}

    def _remove_yielded_spans(self, spans: Any) -> list[list[int]]:
        remaining_spans: list[list[int]] = []
        for version, tokens in spans:
            skipped = min(self._skip_tokens, int(tokens))
            self._skip_tokens -= skipped
            if tokens > skipped:
                remaining_spans.append([int(version), int(tokens) - skipped])
        return remaining_spans
