"""Handles the HTTP requests of callers and trainers: routed calls and batch jobs."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from typing import Final
from urllib.parse import parse_qs

from aiohttp import web

from .._decoding import parse_whole_number
from ..connections import ByteLease
from ..durable import StepAccess, StepRequest
from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ..serving import (
    ApiKeyAuthenticator,
    Call,
    CallForwarder,
    CallKind,
    RelayedStream,
    Route,
    RouteTable,
    StreamBrokenError,
    StreamEvent,
    StreamRelay,
    TargetAnswer,
)
from ._call_bytes import BytesRefusedError, CallBytes
from ._drain_limit import DrainLimit, stopped_error
from ._job_documents import decode_step, encode_page, with_client_headers
from ._request_headers import without_identity
from ._wire_names import (
    CREDENTIALS,
    DEADLINE_MS,
    IDENTITY_HEADERS,
    LAST_EVENT_ID,
    PATH_ITEM,
    PATH_STEP,
    REQUEST_ID,
    WAIT_MS,
    WEIGHT_VERSIONS,
)

# Deadline of a call that sets none.
DEFAULT_DEADLINE_S: Final = 30.0
# Upper bound of the time that a read of results waits for new ones.
MAX_WAIT_S: Final = 1.0
# Time in which a step is accepted, unless the log is away.
STEP_ACCEPT_S: Final = 2.0
# Statuses which guarantee that a call has not run and never will.
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


class CallerHandler:
    """Handles every request at the address for callers."""

    def __init__(
        self,
        routes: RouteTable,
        forwarder: CallForwarder,
        relay: StreamRelay,
        steps: StepAccess,
        authenticator: ApiKeyAuthenticator,
        observer: Observer,
        call_bytes: CallBytes,
    ) -> None:
        """Serve callers that ``authenticator`` accepts, by ``routes``.

        ``call_bytes`` bounds the memory for bodies and responses. Once ``drain_limit`` has begun,
        connections are closed after their response, so that callers reconnect to another node.
        ``in_flight`` counts the open requests, until the kernel has accepted their response.
        """
        self._routes = routes
        self._forwarder = forwarder
        self._relay = relay
        self._steps = steps
        self._authenticator = authenticator
        self._observer = observer
        self._bytes = call_bytes
        self._logger = observer.log("front")
        self.drain_limit = DrainLimit()
        self.in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request, after it was written."""
        self.in_flight += 1
        started_at_s = asyncio.get_running_loop().time()
        try:
            with self._bytes.lease() as lease:
                try:
                    response = await self._dispatch_in_time(request, started_at_s, lease)
                except RequestError as error:
                    response = self._error_response(request, error, started_at_s)
                if self.drain_limit.is_draining:
                    response.force_close()
                await self._bytes.deliver(request, response, lease)
            return response
        except asyncio.CancelledError:
            self._logger.info(
                "request=%s caller disconnected after %.3f s",
                request.headers.get(REQUEST_ID, ""),
                asyncio.get_running_loop().time() - started_at_s,
            )
            raise
        finally:
            self.in_flight -= 1

    async def _dispatch_in_time(
        self, request: web.BaseRequest, started_at_s: float, lease: ByteLease
    ) -> web.StreamResponse:
        """Return the response, or raise the error of a request that outlasts the node's drain."""
        timeout = self.drain_limit.open()
        try:
            async with timeout:
                return await self._dispatch(request, started_at_s, lease, timeout)
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise stopped_error() from error
        finally:
            self.drain_limit.close(timeout)

    async def _dispatch(
        self,
        request: web.BaseRequest,
        started_at_s: float,
        lease: ByteLease,
        timeout: asyncio.Timeout,
    ) -> web.StreamResponse:
        raw_path = request.raw_path
        if raw_path.startswith(PATH_STEP):
            return await self._handle_step(request, raw_path, lease)
        if raw_path.startswith(PATH_ITEM) and request.method == "GET":
            return await self._handle_item(request, raw_path, lease)
        host = _host_of(request)
        route = self._find_route(host, raw_path)
        workspace = self._authenticate(request, anonymous=route.allows_anonymous)
        request_id = request.headers.get(REQUEST_ID, "")
        body = await self._bytes.read_body(request, lease, request_id)
        if route.kind in (CallKind.ROLLOUT, CallKind.BATCH):
            max_header_bytes = self._routes.config.limits.header_bytes
            step = decode_step(request_id, host, raw_path, body, workspace, max_header_bytes)
            hides_identity = self._routes.config.requires_keys
            step = with_client_headers(step, hides_identity=hides_identity)
            # The document is not needed any more; the decoded items are about as large.
            del body
            # A refusal says that nothing of the step runs.
            if not self._steps.is_accepted(step):
                self.drain_limit.check_time_for(STEP_ACCEPT_S)
            return await self._submit_step(step)
        call = Call(
            request_id,
            request.method,
            raw_path,
            request.headers.get("Host", ""),
            self._headers(request),
            body,
            started_at_s,
            started_at_s + _parse_deadline_s(request.headers.get(DEADLINE_MS, "")),
            workspace,
            self._caller_of(request, workspace),
        )
        self.drain_limit.check_time_for(_longest_s(call, route))
        if route.kind is CallKind.STREAMING:
            return await self._relay_stream(request, call, route, lease, timeout)
        answer = await self._forwarder.forward(call, route)
        self._observer.record_s("call", asyncio.get_running_loop().time() - started_at_s)
        return _response_from(answer)

    async def _relay_stream(
        self,
        request: web.BaseRequest,
        call: Call,
        route: Route,
        lease: ByteLease,
        timeout: asyncio.Timeout,
    ) -> web.StreamResponse:
        """Relay a stream; a broken one aborts the connection, so that it never looks complete.

        ``timeout`` ends with its first byte, as no error can be returned from then on.
        """
        last_event_id = request.headers.get(LAST_EVENT_ID, "")
        opened = await self._relay.open(call, route, parse_whole_number(last_event_id) or 0)
        if isinstance(opened, TargetAnswer):
            return _response_from(opened)
        response = web.StreamResponse(status=opened.start.status)
        for name, value in opened.start.headers:
            response.headers.add(name, value)
        if self.drain_limit.is_draining:
            response.force_close()
        self.drain_limit.exempt(timeout)
        try:
            await response.prepare(request)
            write = partial(self._bytes.write, request, response, lease=lease)
            await self._write_events(write, opened, call.received_at_s)
            await self._bytes.deliver(request, response, lease)
        except StreamBrokenError as error:
            self._observer.counters["streams_cut"] += 1
            self._logger.warning("request=%s stream cut: %s", call.request_id, error)
            if request.transport is not None:
                request.transport.abort()
        finally:
            await opened.close()
        return response

    async def _write_events(
        self,
        write: Callable[[bytes], Awaitable[None]],
        stream: RelayedStream,
        received_at_s: float,
    ) -> None:
        announced_version = stream.start.version
        first = True
        events = stream.events()
        try:
            async for event in events:
                if first:
                    first = False
                    now_s = asyncio.get_running_loop().time()
                    self._observer.record_s("stream_first_event", now_s - received_at_s)
                await write(_encode_event(event, announced_version))
                announced_version = event.version
        finally:
            await events.aclose()

    def _find_route(self, host: str, raw_path: str) -> Route:
        self._routes.require_config()
        route = self._routes.find(host, raw_path)
        if route is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f"no route for {host}{raw_path}")
        return route

    def _authenticate(self, request: web.BaseRequest, *, anonymous: bool) -> str:
        """Return the name of the caller's workspace, "" for an anonymous caller.

        :raises RequestError: see :meth:`ApiKeyAuthenticator.authenticate`.
        """
        credentials = request.headers.getall(CREDENTIALS, ())
        return self._authenticator.authenticate(credentials, anonymous=anonymous).name

    def _authenticate_for_steps(self, request: web.BaseRequest) -> str:
        anonymous = self._routes.allows_anonymous_steps(_host_of(request))
        return self._authenticate(request, anonymous=anonymous)

    def _caller_of(self, request: web.BaseRequest, workspace: str) -> str:
        """Return the caller's identity: its workspace, or without API keys its identity headers."""
        if self._routes.config.requires_keys:
            return workspace
        claimed = (request.headers.getall(name, ()) for name in sorted(IDENTITY_HEADERS))
        return "\n".join(value for values in claimed for value in values)

    def _headers(self, request: web.BaseRequest) -> Sequence[tuple[str, str]]:
        """Return a caller's headers, without its identity headers if API keys are required."""
        rows = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in request.raw_headers]
        return without_identity(rows) if self._routes.config.requires_keys else rows

    async def _submit_step(self, step: StepRequest) -> web.StreamResponse:
        if not step.step_id:
            raise RequestError(ErrorKind.MALFORMED, f"{REQUEST_ID} header is missing")
        started_at_s = asyncio.get_running_loop().time()
        await self._steps.submit(step)
        elapsed_s = asyncio.get_running_loop().time() - started_at_s
        self._observer.record_s("step_accept", elapsed_s)
        self._logger.info("step=%s kept after %.3f s", step.step_id, elapsed_s)
        return web.Response(status=202, headers={REQUEST_ID: step.step_id})

    async def _handle_step(
        self, request: web.BaseRequest, raw_path: str, lease: ByteLease
    ) -> web.StreamResponse:
        step_id, query = _split_path(raw_path, PATH_STEP)
        workspace = self._authenticate_for_steps(request)
        match request.method:
            case "GET":
                wait_s = _parse_count(request.headers.get(WAIT_MS, "0"), WAIT_MS) / 1000.0
                after = _parse_count(query.get("after", "0"), "after")
                wait_s = min(MAX_WAIT_S, wait_s, 0.5 * self.drain_limit.left_s())
                reserve = partial(self._bytes.admit_read, lease, request_id=step_id)
                reserve(0)
                page = await self._steps.read(step_id, after, wait_s, workspace, reserve)
                return _json_response(encode_page(page))
            case "DELETE":
                await self._steps.end(step_id, workspace)
                return _json_response(b"{}")
        raise RequestError(ErrorKind.UNKNOWN_METHOD, f"{request.method} {raw_path}")

    async def _handle_item(
        self, request: web.BaseRequest, raw_path: str, lease: ByteLease
    ) -> web.StreamResponse:
        step_id, query = _split_path(raw_path, PATH_ITEM)
        workspace = self._authenticate_for_steps(request)
        self._bytes.admit_read(lease, 0, step_id)
        body = await self._steps.body(step_id, query.get("id", ""), workspace)
        if body is None:
            raise RequestError(ErrorKind.UNKNOWN_STEP, f"step {step_id} has no such item")
        self._bytes.admit_read(lease, len(body), step_id)
        return web.Response(body=body, content_type="application/octet-stream")

    def _error_response(
        self, request: web.BaseRequest, error: RequestError, started_at_s: float
    ) -> web.StreamResponse:
        status = status_of(error)
        self._observer.counters[f"refused_{error.kind.value}"] += 1
        if not isinstance(error, BytesRefusedError):
            self._log_error(request, error, status, started_at_s)
        headers = {}
        if request_id := request.headers.get(REQUEST_ID, ""):
            headers[REQUEST_ID] = request_id
        if status in _NOT_RUN_STATUSES and error.retry_after_s > 0.0:
            headers["Retry-After"] = f"{error.retry_after_s:g}"
        return web.json_response(error.body(), status=status, headers=headers)

    def _log_error(
        self, request: web.BaseRequest, error: RequestError, status: int, started_at_s: float
    ) -> None:
        self._logger.warning(
            "request=%s %s %s status=%d kind=%s ran=%s after=%.3f s detail=%s",
            request.headers.get(REQUEST_ID, ""),
            request.method,
            request.raw_path[:120],
            status,
            error.kind.value,
            error.ran.value,
            asyncio.get_running_loop().time() - started_at_s,
            error.detail,
        )


def _host_of(request: web.BaseRequest) -> str:
    """Return the host of the ``Host`` header, without the port."""
    return request.headers.get("Host", "").partition(":")[0]


def _longest_s(call: Call, route: Route) -> float:
    """Return how long a call may take at most."""
    deadline_s = call.deadline_s - call.received_at_s
    return min(deadline_s, route.timeout_s) if route.timeout_s > 0.0 else deadline_s


def status_of(error: RequestError) -> int:
    """Return the HTTP status of an error; it guarantees "not run" only if that is certain."""
    status = error.status
    if error.ran is Ran.NO and status >= 500:
        return 503
    if error.ran is not Ran.NO and status in _NOT_RUN_STATUSES:
        return 502
    return status


def _encode_event(event: StreamEvent, announced_version: int) -> bytes:
    """Return an event as its target sent it, with its version added if that changed.

    A target that resumes another target's stream sends its version in response headers, which the
    caller never receives.
    """
    has_version = WEIGHT_VERSIONS.lower().encode() in event.block.lower()
    if event.version == announced_version or has_version:
        return event.block + b"\n\n"
    return f"{WEIGHT_VERSIONS.lower()}: {event.version}\n".encode() + event.block + b"\n\n"


def _response_from(answer: TargetAnswer) -> web.StreamResponse:
    response = web.Response(status=answer.status, body=answer.body)
    response.headers.popall("Content-Type", None)
    for name, value in answer.headers:
        response.headers.add(name, value)
    return response


def _json_response(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")


def _split_path(raw_path: str, prefix: str) -> tuple[str, Mapping[str, str]]:
    path, _, query = raw_path.partition("?")
    values = parse_qs(query)
    return path.removeprefix(prefix), {name: rows[-1] for name, rows in values.items()}


def _parse_count(text: str, name: str) -> int:
    """Return the non-negative integer in ``text``.

    :raises RequestError: if the text is not one.
    """
    count = parse_whole_number(text)
    if count is None:
        raise RequestError(ErrorKind.MALFORMED, f"{name}: expected an integer >= 0, got {text!r}")
    return count


def _parse_deadline_s(text: str) -> float:
    try:
        deadline_s = float(text) / 1000.0 if text else DEFAULT_DEADLINE_S
        if not math.isfinite(deadline_s):
            raise ValueError("not finite")
        return max(0.0, deadline_s)
    except ValueError as error:
        detail = f"{DEADLINE_MS}: expected milliseconds, got {text!r}"
        raise RequestError(ErrorKind.MALFORMED, detail) from error
