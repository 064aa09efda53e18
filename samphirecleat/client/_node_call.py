"""Sends one request to one node and reads its answer, whole or line by line."""

import asyncio
import json
from collections.abc import AsyncGenerator, Mapping
from typing import Any, Final, NamedTuple

import aiohttp

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
"""The node ends the call at the same deadline; the slack lets its word get through."""


class NodeRequest(NamedTuple):
    """A request as its caller made it; ``give_up_at_s`` is on the loop's clock."""

    path: str
    body: Mapping[str, Any]
    priority: int
    idempotent: bool
    give_up_at_s: float

    @property
    def streamed(self) -> bool:
        """Whether the answer comes line by line."""
        return bool(self.body.get("stream", False))


class NeverLeftError(Exception):
    """The connection was never made."""


class AnswerLostError(Exception):
    """The request may have arrived, and its answer did not come, or not whole."""


async def call_node(
    session: aiohttp.ClientSession,
    address: str,
    key: str,
    request: NodeRequest,
    progress_timeout_s: float,
) -> AsyncGenerator[Mapping[str, Any], None]:
    """Yield the lines of the answer, or the whole answer as one.

    :raises NeverLeftError: no byte left.
    :raises AnswerLostError: the answer broke off, or its connection went silent.
    :raises samphirecleat.errors.RequestError: the node's own answer.
    """
    left_s = request.give_up_at_s - asyncio.get_running_loop().time()
    watch = SilenceDetector(
        lambda: _probe(address, key),
        period_s=progress_timeout_s,
        counts_progress=request.streamed,
    )
    sending = session.post(
        f"http://{address}{request.path}",
        json=request.body,
        headers=_headers(key, request, left_s),
        timeout=aiohttp.ClientTimeout(
            total=left_s + DEADLINE_SLACK_S, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
    try:
        async with watch, await watch.wait(sending) as response:
            if response.status != 200 or not request.streamed:
                yield _read_whole(response.status, await watch.wait(response.read()))
                return
            while line := _read_line(await watch.wait(response.content.readline())):
                watch.record_progress(1)
                yield line
                if "end" in line:
                    return
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise NeverLeftError(str(error)) from error
    except (SilentConnectionError, aiohttp.ClientError, OSError, ValueError) as error:
        raise AnswerLostError(str(error)) from error
    raise AnswerLostError("the answer ended before its last line")


def _headers(key: str, request: NodeRequest, left_s: float) -> Mapping[str, str]:
    return {
        "x-request-key": key,
        "x-priority": str(request.priority),
        "x-idempotent": "yes" if request.idempotent else "no",
        "x-deadline-ms": f"{left_s * 1000:.0f}",
    }


def _read_whole(status: int, raw: bytes) -> Mapping[str, Any]:
    answer = json.loads(raw)
    if not isinstance(answer, dict):
        raise ValueError("the answer is no JSON object")
    if status != 200:
        raise RequestError.from_body(answer.get("error", {}))
    return answer


def _read_line(raw: bytes) -> Mapping[str, Any]:
    if not raw.endswith(b"\n"):
        raise ValueError("the answer broke off")
    line: Mapping[str, Any] = json.loads(raw)
    if "error" in line:
        raise RequestError.from_body(line["error"])
    return line


async def _probe(address: str, key: str) -> ProbeResult:
    """Ask the node on a new connection how far the key is."""
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
    except (ValueError, KeyError, TypeError):
        return StatusUnavailable()


class Resumption:
    """Drops from a replayed answer what was passed on before the connection broke."""

    def __init__(self) -> None:
        """Start with nothing passed on."""
        self._passed_characters = 0
        self._passed_tokens = 0
        self._skip_characters = 0
        self._skip_tokens = 0

    @property
    def answer_started(self) -> bool:
        """Whether any part was passed on."""
        return self._passed_tokens > 0

    def begin_replay(self) -> None:
        """Expect the answer from its start again."""
        self._skip_characters = self._passed_characters
        self._skip_tokens = self._passed_tokens

    def take(self, line: Mapping[str, Any]) -> Mapping[str, Any] | None:
        """Return what of a line is new, None when nothing of it is."""
        if "text" not in line:
            return line
        text = str(line["text"])
        new_text = text[self._skip_characters :]
        new_spans = self._cut_spans(line.get("spans", ()))
        self._skip_characters = max(0, self._skip_characters - len(text))
        self._passed_characters += len(new_text)
        self._passed_tokens += sum(tokens for _version, tokens in new_spans)
        if not new_text and not new_spans and "end" not in line:
            return None
        return {**line, "text": new_text, "spans": new_spans}

    def _cut_spans(self, spans: Any) -> list[list[int]]:
        new: list[list[int]] = []
        for version, tokens in spans:
            skipped = min(self._skip_tokens, int(tokens))
            self._skip_tokens -= skipped
            if tokens > skipped:
                new.append([int(version), int(tokens) - skipped])
        return new
