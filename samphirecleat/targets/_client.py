"""The HTTP client for every kind of target."""

import json
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from typing import Any, Final

import aiohttp

from .._decoding import MALFORMED_INPUT_ERRORS
from ..blackboard import TargetView
from ..config import Service, ServiceKind
from ..requests import (
    AnswerLine,
    Call,
    ProbeResult,
    RequestStatus,
    RunState,
    SilenceDetector,
    SilentConnectionError,
    StatusUnavailable,
    Unreachable,
)
from ._connection_errors import is_connection_closed
from ._errors import Failed, Lost, NotSent, Refused, TargetError
from ._generation import GenerationReader, generate_body
from ._orders import OrderFenced, OrderOutcome, OrderRefused, OrderTaken, OrderUnknown

MAX_ANSWER_BYTES: Final = 4_000_000
MAX_REPORT_BYTES: Final = 65_536
MAX_QUIET_PERIODS: Final = 2
DEADLINE_SLACK_S: Final = 1.0
"""The dispatcher ends a call at its deadline; this timeout is only a backstop."""
REFUSAL_STATUSES: Final = (429, 503)
RETRYABLE_CLIENT_ERRORS: Final = (408, 425)

HTTP_OK: Final = 200
HTTP_CONFLICT: Final = 409


class TargetClient:
    """Calls targets over sessions that are shared with the rest of the process.

    ``fresh_session`` opens a new connection for each request. Calls that are not
    idempotent use it, because a kept-alive connection may be closed or dead when it is
    reused, and then it is unknown whether the request arrived. Probes and
    cancellations use it because they are needed when a kept-alive connection has gone
    silent. Load orders use it too; see :meth:`order_version`.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        *,
        progress_timeout_s: float,
        connect_timeout_s: float,
        probe_timeout_s: float,
    ) -> None:
        """Probe a target after each ``progress_timeout_s`` without progress of a call.

        ``connect_timeout_s`` bounds the TCP connect of a call; ``probe_timeout_s`` bounds
        each probe, cancellation, report and order as a whole.
        """
        self._session = session
        self._fresh_session = fresh_session
        self._progress_timeout_s = progress_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._probe_timeout_s = probe_timeout_s

    async def run(
        self, service: Service, target: TargetView, call: Call, now_s: float
    ) -> AsyncGenerator[AnswerLine, None]:
        """Run a call on a target and yield the lines of its answer.

        :raises TargetError: with what is known about the run.
        """
        timeout = aiohttp.ClientTimeout(
            total=max(0.0, call.deadline_at_s - now_s) + DEADLINE_SLACK_S,
            sock_connect=self._connect_timeout_s,
        )
        match service.kind:
            case ServiceKind.ENGINE:
                lines = self._generate(service, target, call, timeout)
            case ServiceKind.PLAIN | ServiceKind.SCORING:
                lines = self._call_method(service, target, call, timeout)
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Both are raised only while the connection is being established.
            raise TargetError(NotSent(str(error))) from error
        except SilentConnectionError as error:
            raise TargetError(Lost(f"silent connection: {error}")) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The request may have been sent before the connection failed.
            raise TargetError(
                Lost(str(error) or type(error).__name__, is_connection_closed(error))
            ) from error

    async def _generate(
        self, service: Service, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncGenerator[AnswerLine, None]:
        watch = self._watch(target, call, counts_progress=True, max_quiet_periods=MAX_QUIET_PERIODS)
        response_wait = self._session_for(call).post(
            f"http://{target.address}/v1/generate",
            json=generate_body(call),
            timeout=timeout,
            headers=_trace_headers(call),
        )
        async with watch, await watch.wait(response_wait) as response:
            _check_status(service, response.status)
            reader = GenerationReader(target.address)
            while not reader.ended:
                tokens_before = reader.tokens
                line = reader.read(await watch.wait(_read_line(response)))
                watch.record_progress(reader.tokens - tokens_before)
                if line is not None:
                    yield line

    async def _call_method(
        self, service: Service, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncGenerator[AnswerLine, None]:
        method = "score" if service.kind is ServiceKind.SCORING else call.method
        # A plain service usually can't report the status of a single request. A request
        # that is not idempotent is then awaited until its deadline: if a slow one were
        # considered lost, its answer could not be obtained again.
        max_quiet_periods = MAX_QUIET_PERIODS if call.idempotent else None
        watch = self._watch(
            target, call, counts_progress=False, max_quiet_periods=max_quiet_periods
        )
        response_wait = self._session_for(call).post(
            f"http://{target.address}/v1/call/{method}",
            json=dict(call.body),
            timeout=timeout,
            headers={"x-request-id": call.request_id, **_trace_headers(call)},
        )
        async with watch, await watch.wait(response_wait) as response:
            _check_status(service, response.status)
            result = await watch.wait(_read_result(response))
            yield {"result": result, "end": "stop", "target": target.address}

    def _session_for(self, call: Call) -> aiohttp.ClientSession:
        return self._session if call.idempotent else self._fresh_session

    def _watch(
        self,
        target: TargetView,
        call: Call,
        *,
        counts_progress: bool,
        max_quiet_periods: int | None,
    ) -> SilenceDetector:
        return SilenceDetector(
            lambda: self.probe(target, call.request_id),
            period_s=self._progress_timeout_s,
            counts_progress=counts_progress,
            max_quiet_periods=max_quiet_periods,
        )

    async def probe(self, target: TargetView, request_id: str) -> ProbeResult:
        """Ask a target, on a new connection, for the progress of a request.

        A target without status of single requests is asked for its load instead.
        """
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        params = {"request_id": request_id}
        try:
            async with self._fresh_session.get(
                f"http://{target.address}/v1/status", params=params, timeout=timeout
            ) as response:
                if response.status == 200:
                    body = await _read_json(response)
                    return RequestStatus(RunState(body["state"]), int(body["progress"]))
            async with self._fresh_session.get(
                f"http://{target.address}/v1/load", timeout=timeout
            ) as response:
                body = await _read_json(response)
                return StatusUnavailable(queued=int(body["waiting"]) > 0)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Unreachable()
        except MALFORMED_INPUT_ERRORS:
            return StatusUnavailable()

    async def cancel(self, target: TargetView, request_id: str) -> None:
        """Ask an engine, on a new connection, to cancel a run.

        Failures are ignored: they only waste tokens.
        """
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        url = f"http://{target.address}/v1/cancel"
        try:
            async with self._fresh_session.post(
                url, json={"request_id": request_id}, timeout=timeout
            ) as response:
                await _read_bounded(response, MAX_REPORT_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def fetch_report(self, target: TargetView, now_s: float) -> TargetView:
        """Return the target with its current report, or marked as unreachable.

        If the first request gets no answer, a second one uses a new connection. Otherwise a
        kept-alive connection that has gone silent would take a healthy target out of routing.
        """
        for session in (self._session, self._fresh_session):
            body = await self._fetch_load(session, target)
            if body is None:
                continue
            try:
                return _parse_report(target, body, now_s)
            except MALFORMED_INPUT_ERRORS:
                break
        return target._replace(reachable=False)

    async def _fetch_load(
        self, session: aiohttp.ClientSession, target: TargetView
    ) -> Mapping[str, Any] | None:
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        try:
            async with session.get(f"http://{target.address}/v1/load", timeout=timeout) as response:
                body: Mapping[str, Any] = await _read_json(response)
                return body
        except (aiohttp.ClientError, TimeoutError, OSError, *MALFORMED_INPUT_ERRORS):
            return None

    async def order_version(self, target: TargetView, version: int, fencing: int) -> OrderOutcome:
        """Order an engine to load a version.

        The outcome says only whether the engine accepted the order; a later
        :meth:`fetch_report` tells whether the version is live. Each order opens a new
        connection: a kept connection can be dead without notice, and the outcome of an
        order sent on one would be unknown.
        """
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        body: Mapping[str, Any] = {"kind": "load_version", "version": version, "fencing": fencing}
        try:
            async with self._fresh_session.post(
                f"http://{target.address}/v1/orders", json=body, timeout=timeout
            ) as response:
                if response.status == HTTP_CONFLICT:
                    return OrderFenced()
                if response.status != HTTP_OK:
                    return OrderRefused(f"HTTP {response.status}")
                await _read_bounded(response, MAX_REPORT_BYTES)
                return OrderTaken()
        except aiohttp.ClientConnectorError as error:
            return OrderRefused(str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return OrderUnknown(str(error) or type(error).__name__)


def _parse_report(target: TargetView, body: Mapping[str, Any], now_s: float) -> TargetView:
    return target._replace(
        instance=str(body["instance"]),
        version=int(body["version"]),
        loading=bool(body["loading"]),
        leaving=bool(body["leaving"]),
        running=int(body["running"]),
        waiting=int(body["waiting"]),
        slots=int(body["slots"]),
        reported_at_s=now_s - float(body["age_s"]),
        reachable=True,
    )


def _check_status(service: Service, status: int) -> None:
    """Raise :class:`TargetError` for a status other than 200."""
    if status == 200:
        return
    detail = f"HTTP {status}"
    if status in REFUSAL_STATUSES:
        raise TargetError(Refused(detail, not_run=service.refusal_is_not_run))
    permanent = 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS
    raise TargetError(Failed(detail, permanent))


async def _read_line(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.content.readline()
    except ValueError as error:
        # The line is longer than the stream reader's buffer.
        raise TargetError(Lost(f"a line of the stream is too long: {error}")) from error


class _TooLargeError(aiohttp.ClientError):
    """A body has more bytes than are read of it."""


async def _read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the body of a response.

    :raises _TooLargeError: if it has more than ``max_bytes``.
    """
    raw = bytearray()
    if (response.content_length or 0) <= max_bytes:
        async for chunk in response.content.iter_any():
            raw.extend(chunk)
            if len(raw) > max_bytes:
                break
        else:
            return bytes(raw)
    response.close()
    raw.clear()
    raise _TooLargeError(f"the body is larger than {max_bytes} bytes")


async def _read_json(response: aiohttp.ClientResponse) -> Any:
    return json.loads(await _read_bounded(response, MAX_REPORT_BYTES))


async def _read_result(response: aiohttp.ClientResponse) -> Any:
    try:
        raw = await _read_bounded(response, MAX_ANSWER_BYTES)
    except _TooLargeError as error:
        raise TargetError(Failed(f"answer refused: {error}", permanent=True)) from error
    try:
        return json.loads(raw)
    except MALFORMED_INPUT_ERRORS as error:
        raise TargetError(Lost(f"the answer is not valid JSON: {error}")) from error


def _trace_headers(call: Call) -> Mapping[str, str]:
    return {"traceparent": call.traceparent} if call.traceparent else {}
