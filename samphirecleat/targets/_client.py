"""The HTTP client of every kind of target."""

import json
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from typing import Any, Final

import aiohttp

from ..blackboard import TargetView
from ..config import Service, ServiceKind
from ..requests import (
    AnswerLine,
    Call,
    NoAnswer,
    NoStatus,
    Probe,
    ProgressWatch,
    RequestStatus,
    RunState,
    SilentConnectionError,
)
from ._connection_errors import is_connection_closed
from ._errors import Failed, Lost, NotSent, Refused, TargetError
from ._generation import GenerationReader, generate_body
from ._orders import OrderFenced, OrderOutcome, OrderRefused, OrderTaken, OrderUnknown

ANSWER_BYTES: Final = 4_000_000
PATIENCE_PERIODS: Final = 2
DEADLINE_SLACK_S: Final = 1.0
"""The dispatcher ends a call at its deadline; this only bounds what it forgot."""
REFUSAL_STATUSES: Final = (429, 503)
RETRIED_CLIENT_ERRORS: Final = (408, 425)

HTTP_OK: Final = 200
HTTP_FENCED: Final = 409


class TargetClient:
    """Calls targets; the sessions are shared with the rest of the process.

    ``fresh_session`` makes a new connection for each request. Calls that may not
    be repeated use it, since a kept connection may be closed or dead by the time
    it is used, and then nobody can tell whether the request arrived. So do probes
    and cancels, which are needed just when a kept connection has gone silent.
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
        """Probe a target after each ``progress_timeout_s`` without a byte."""
        self._session = session
        self._fresh_session = fresh_session
        self._progress_timeout_s = progress_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._probe_timeout_s = probe_timeout_s

    async def run(
        self, service: Service, target: TargetView, call: Call, now_s: float
    ) -> AsyncGenerator[AnswerLine, None]:
        """Run a call on a target and yield the lines of its answer.

        :raises TargetError: with what is known of the run.
        """
        timeout = aiohttp.ClientTimeout(
            total=max(0.0, call.deadline_at_s - now_s) + DEADLINE_SLACK_S,
            sock_connect=self._connect_timeout_s,
        )
        match service.kind:
            case ServiceKind.ENGINE:
                lines = self._generate(service, target, call, timeout)
            case ServiceKind.PLAIN | ServiceKind.SCORING:
                lines = self._call_plain(service, target, call, timeout)
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Both are raised only while the connection is being made.
            raise TargetError(NotSent(str(error))) from error
        except SilentConnectionError as error:
            raise TargetError(Lost(f"silent connection: {error}")) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            # The request may have left before the connection failed.
            raise TargetError(
                Lost(str(error) or type(error).__name__, is_connection_closed(error))
            ) from error

    async def _generate(
        self, service: Service, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncGenerator[AnswerLine, None]:
        watch = self._watch(target, call, counts_progress=True, patience=PATIENCE_PERIODS)
        sending = self._session_for(call).post(
            f"http://{target.address}/v1/generate",
            json=generate_body(call),
            timeout=timeout,
            headers=_trace_headers(call),
        )
        async with watch, await watch.wait(sending) as response:
            _check_status(service, response.status)
            reader = GenerationReader(target.address)
            while not reader.ended:
                before = reader.tokens
                line = reader.read(await watch.wait(_read_line(response)))
                watch.note_progress(reader.tokens - before)
                if line is not None:
                    yield line

    async def _call_plain(
        self, service: Service, target: TargetView, call: Call, timeout: aiohttp.ClientTimeout
    ) -> AsyncGenerator[AnswerLine, None]:
        method = "score" if service.kind is ServiceKind.SCORING else call.method
        # A plain service rarely tells of one request. One that may not be
        # repeated is then waited for until its deadline: taking a slow one for
        # lost would lose an answer that could not be had again.
        patience = PATIENCE_PERIODS if call.idempotent else None
        watch = self._watch(target, call, counts_progress=False, patience=patience)
        sending = self._session_for(call).post(
            f"http://{target.address}/v1/call/{method}",
            json=dict(call.body),
            timeout=timeout,
            headers={"x-request-id": call.request_id, **_trace_headers(call)},
        )
        async with watch, await watch.wait(sending) as response:
            _check_status(service, response.status)
            result = await watch.wait(_read_result(response))
            yield {"result": result, "end": "stop", "target": target.address}

    def _session_for(self, call: Call) -> aiohttp.ClientSession:
        return self._session if call.idempotent else self._fresh_session

    def _watch(
        self, target: TargetView, call: Call, *, counts_progress: bool, patience: int | None
    ) -> ProgressWatch:
        return ProgressWatch(
            lambda: self.probe(target, call.request_id),
            period_s=self._progress_timeout_s,
            counts_progress=counts_progress,
            patience=patience,
        )

    async def probe(self, target: TargetView, request_id: str) -> Probe:
        """Ask a target on a new connection how far a request is."""
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        params = {"request_id": request_id}
        try:
            async with self._fresh_session.get(
                f"http://{target.address}/v1/status", params=params, timeout=timeout
            ) as response:
                if response.status == 200:
                    body = await response.json()
                    return RequestStatus(RunState(body["state"]), int(body["progress"]))
            async with self._fresh_session.get(
                f"http://{target.address}/v1/load", timeout=timeout
            ) as response:
                body = await response.json()
                return NoStatus(queued=int(body["waiting"]) > 0)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return NoAnswer()
        except (ValueError, KeyError, TypeError):
            return NoStatus()

    async def cancel(self, target: TargetView, request_id: str) -> None:
        """Ask an engine on a new connection to stop a run; its failure only costs tokens."""
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        url = f"http://{target.address}/v1/cancel"
        try:
            async with self._fresh_session.post(
                url, json={"request_id": request_id}, timeout=timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def fetch_report(self, target: TargetView, now_s: float) -> TargetView:
        """Return the target as it reports itself, or as unreachable.

        It is asked again on a new connection before it counts as unreachable: a
        kept connection that went silent would otherwise take a sound target out
        of routing.
        """
        for session in (self._session, self._fresh_session):
            body = await self._ask_load(session, target)
            if body is None:
                continue
            try:
                return _read_report(target, body, now_s)
            except (ValueError, KeyError, TypeError):
                break
        return target._replace(reachable=False)

    async def _ask_load(
        self, session: aiohttp.ClientSession, target: TargetView
    ) -> Mapping[str, Any] | None:
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        try:
            async with session.get(f"http://{target.address}/v1/load", timeout=timeout) as response:
                body: Mapping[str, Any] = await response.json()
                return body
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def order_version(self, target: TargetView, version: int, fencing: int) -> OrderOutcome:
        """Order an engine to load a version.

        Only a later :meth:`fetch_report` tells whether the version is live.
        """
        timeout = aiohttp.ClientTimeout(total=self._probe_timeout_s)
        body: Mapping[str, Any] = {"kind": "load_version", "version": version, "fencing": fencing}
        try:
            async with self._fresh_session.post(
                f"http://{target.address}/v1/orders", json=body, timeout=timeout
            ) as response:
                if response.status == HTTP_FENCED:
                    return OrderFenced()
                if response.status != HTTP_OK:
                    return OrderRefused(f"HTTP {response.status}")
                await response.read()
                return OrderTaken()
        except aiohttp.ClientConnectorError as error:
            return OrderRefused(str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return OrderUnknown(str(error) or type(error).__name__)


def _read_report(target: TargetView, body: Mapping[str, Any], now_s: float) -> TargetView:
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
    """Raise what a status other than 200 tells of the run."""
    if status == 200:
        return
    detail = f"HTTP {status}"
    if status in REFUSAL_STATUSES:
        raise TargetError(Refused(detail, not_run=service.refusal_is_not_run))
    permanent = 400 <= status < 500 and status not in RETRIED_CLIENT_ERRORS
    raise TargetError(Failed(detail, permanent))


async def _read_line(response: aiohttp.ClientResponse) -> bytes:
    try:
        return await response.content.readline()
    except ValueError as error:
        # The line is longer than the reader's buffer.
        raise TargetError(Lost(f"a line is not understood: {error}")) from error


async def _read_result(response: aiohttp.ClientResponse) -> Any:
    if (response.content_length or 0) > ANSWER_BYTES:
        raise TargetError(Failed(f"the answer is larger than {ANSWER_BYTES} bytes", permanent=True))
    raw = bytearray()
    async for chunk in response.content.iter_any():
        raw.extend(chunk)
        if len(raw) > ANSWER_BYTES:
            raise TargetError(Failed("the answer is too large", permanent=True))
    try:
        return json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise TargetError(Lost(f"the answer is not understood: {error}")) from error


def _trace_headers(call: Call) -> Mapping[str, str]:
    return {"traceparent": call.traceparent} if call.traceparent else {}
