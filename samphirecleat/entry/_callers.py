"""HTTP handlers for callers: the entry list, and requests to services."""

import asyncio
import secrets
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing
from typing import Any, Final, NamedTuple

from aiohttp import web

from ..blackboard import Blackboard
from ..controllers.admission import Dispatcher
from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ..peers import PeerClient
from ..peers.peers_pb2 import ForwardRequest
from ..requests import (
    AnswerLine,
    AnswerLog,
    AnswerStore,
    Call,
    ForwardTo,
    JoinHere,
    RequestKey,
    RequestKeyTable,
    RequestStatus,
    RunState,
    StartHere,
    WorkClass,
    parse_key,
)
from ..settings import Timings
from ._call_headers import (
    REQUEST_KEY_HEADER,
    CallHeaders,
    check_call_body,
    parse_body,
    read_body,
    read_headers,
)
from ._responses import send_json_response, stream_response

ANSWER_READ_SLACK_S: Final = 0.25
"""A run ends at its deadline with its own error; readers wait this much longer to get it."""


class _AcceptedCall(NamedTuple):
    """An accepted call and the lines of its answer."""

    call: Call
    lines: AsyncGenerator[AnswerLine, None]


class CallerHandlers:
    """Accepts callers' requests, binds their request keys, and returns the answers.

    A request key makes retries safe: only the process that a key names may start the
    request, and it starts it at most once.
    """

    def __init__(
        self,
        board: Blackboard,
        request_keys: RequestKeyTable,
        store: AnswerStore,
        dispatcher: Dispatcher,
        peers: PeerClient,
        observer: Observer,
        timings: Timings,
    ) -> None:
        """Create handlers that run calls on ``dispatcher`` or forward them to ``peers``."""
        self._board = board
        self._request_keys = request_keys
        self._store = store
        self._dispatcher = dispatcher
        self._peers = peers
        self._observer = observer
        self._timings = timings
        self._runs: set[asyncio.Task[None]] = set()
        self._open_requests = 0

    @property
    def in_flight(self) -> int:
        """The number of open requests plus active runs, including runs without a reader."""
        return self._open_requests + len(self._runs)

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the callers' routes."""
        router.add_get("/v1/entries", self.entries)
        router.add_post("/v1/services/{service}/{method}", self.call)
        router.add_get("/v1/requests/{key}", self.status)

    async def entries(self, _request: web.Request) -> web.Response:
        """Return the entry list: the nodes that are alive, ready and not leaving."""
        now_s = asyncio.get_running_loop().time()
        rows = [
            {
                "node": view.member.node_id,
                "address": view.member.http_address,
                "zone": view.member.zone,
                "incarnation": view.member.incarnation,
                "key_epoch": view.key_epoch_at(now_s, self._timings.key_epoch_s),
                "weight": 1.0,
            }
            for view in self._board.members.values()
            if view.alive and view.member.ready and not view.member.leaving
        ]
        return web.json_response({"ttl_s": self._timings.entry_ttl_s, "entries": rows})

    async def status(self, request: web.Request) -> web.Response:
        """Return the progress of a key, for a client whose connection has gone silent."""
        status = self.status_of(request.match_info["key"])
        return web.json_response({"state": status.state.value, "progress": status.progress})

    def status_of(self, key_text: str) -> RequestStatus:
        """Return the progress of a key; WAITING if another process owns it.

        :raises samphirecleat.errors.RequestError: KEY_MALFORMED.
        """
        key = parse_key(key_text)
        if not self._request_keys.owns(key):
            return RequestStatus(RunState.WAITING, 0)
        return self._request_keys.status(key, _now_s())

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one request and return its answer as one JSON object or as a stream."""
        self._open_requests += 1
        started_at_s = _now_s()
        try:
            return await self._call(request)
        finally:
            self._open_requests -= 1
            self._observer.record_s("request", _now_s() - started_at_s)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        key = _parse_optional_key(request.headers.get(REQUEST_KEY_HEADER, ""))
        try:
            headers, body = await self._read_request(request)
            with self._observer.span("entry", headers.traceparent) as traceparent:
                headers = headers._replace(traceparent=traceparent)
                accepted = self._accept(
                    request.match_info["service"], request.match_info["method"], body, headers, key
                )
        except RequestError as error:
            raise self._refuse_key(error, key) from error
        if body.get("stream", False):
            return await stream_response(request, *accepted, self._count_error)
        return await send_json_response(*accepted)

    def _count_error(self, error: RequestError) -> None:
        self._board.refusals[error.kind.value] += 1

    async def _read_request(self, request: web.Request) -> tuple[CallHeaders, Mapping[str, Any]]:
        headers = read_headers(request.headers, self._timings.max_deadline_s)
        return headers, await read_body(request, headers.deadline_in_s)

    async def serve_forwarded(self, request: ForwardRequest) -> AsyncGenerator[AnswerLine, None]:
        """Run a call that another node forwarded; this process must own its key.

        :raises samphirecleat.errors.RequestError: KEY_OWNER_GONE if another process
            owns the key, or the error of the call.
        """
        key = parse_key(request.key)
        if not self._request_keys.owns(key):
            raise _owner_gone_error(key)
        headers = CallHeaders(
            request.deadline_in_s, request.priority, request.idempotent, request.traceparent
        )
        self._open_requests += 1
        try:
            try:
                body = parse_body(request.body)
                accepted = self._accept(request.service, request.method, body, headers, key)
            except RequestError as error:
                raise self._refuse_key(error, key) from error
            async with aclosing(accepted.lines) as lines:
                async for line in lines:
                    yield line
        finally:
            self._open_requests -= 1

    def _refuse_key(self, error: RequestError, key: RequestKey | None) -> RequestError:
        """Return the error with "not run" only if the key can never run after it.

        Another copy of the same request may have run before, or may arrive later. Only
        the key's owner knows, and it can record the refusal to prevent a later run.
        """
        if key is not None and error.ran is Ran.NO:
            error.ran = self._request_keys.refuse(key, _now_s())
        return error

    def _accept(
        self,
        service: str,
        method: str,
        body: Mapping[str, Any],
        headers: CallHeaders,
        key: RequestKey | None,
    ) -> _AcceptedCall:
        call = self._make_call(service, method, body, headers, key)
        if key is None:
            return _AcceptedCall(call, self._run_unkeyed(call))
        match self._request_keys.bind(key, call.body, _now_s()):
            case StartHere(answer=answer):
                self._start_run(call, answer)
                return _AcceptedCall(call, answer.read(call.deadline_at_s + ANSWER_READ_SLACK_S))
            case JoinHere(answer=answer):
                self._observer.counters["keys_joined"] += 1
                return _AcceptedCall(call, answer.read(call.deadline_at_s + ANSWER_READ_SLACK_S))
            case ForwardTo():
                return _AcceptedCall(call, self._forward(call, key))

    def _make_call(
        self,
        service_name: str,
        method_name: str,
        body: Mapping[str, Any],
        headers: CallHeaders,
        key: RequestKey | None,
    ) -> Call:
        if self._board.config.revision < 0:
            raise RequestError(ErrorKind.NOT_READY, "this node has no configuration yet")
        service = self._board.service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{service_name}"')
        method = service.methods.get(method_name)
        if method is None:
            method_names = ", ".join(sorted(service.methods))
            raise RequestError(
                ErrorKind.UNKNOWN_METHOD,
                f'service "{service_name}" has no method "{method_name}"; it has {method_names}',
            )
        check_call_body(service.kind, body)
        return Call(
            service=service_name,
            method=method_name,
            body=body,
            deadline_at_s=_now_s() + min(headers.deadline_in_s, method.max_s),
            priority=headers.priority,
            idempotent=method.idempotent and headers.idempotent,
            request_id=str(key) if key is not None else self._generate_request_id(),
            work_class=WorkClass.CALLER,
            traceparent=headers.traceparent,
        )

    def _generate_request_id(self) -> str:
        identity = self._board.identity
        return f"{identity.node_id}.{identity.incarnation}.unkeyed.{secrets.token_hex(8)}"

    def _start_run(self, call: Call, answer: AnswerLog) -> Callable[[], object]:
        """Start a run that continues without a reader; return a function that cancels it.

        Near the end of its drain a node starts no more runs. It closes the key's answer
        with a LEAVING error, so that "not run" stays true for every later retry.
        """
        if not self._board.accepting:
            answer.close(
                RequestError(
                    ErrorKind.LEAVING, "this node is leaving; send the request to another node"
                )
            )
            return answer.close
        task = asyncio.get_running_loop().create_task(self._dispatcher.run(call, answer))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return task.cancel

    async def _run_unkeyed(self, call: Call) -> AsyncGenerator[AnswerLine, None]:
        """Run a call without a key; it is cancelled when its reader stops.

        Without a key no retry can ever ask for the answer.
        """
        if not self._store.has_room:
            raise RequestError(
                ErrorKind.OVERLOADED, "the answer store of this node is full", retry_after_s=1.0
            )
        answer = self._store.create_log()
        cancel = self._start_run(call, answer)
        try:
            async with aclosing(answer.read(call.deadline_at_s + ANSWER_READ_SLACK_S)) as lines:
                async for line in lines:
                    yield line
        finally:
            cancel()
            answer.close()
            self._store.release(answer)

    def _forward(self, call: Call, key: RequestKey) -> AsyncGenerator[AnswerLine, None]:
        view = self._board.members.get(key.node_id)
        if view is None or view.member.incarnation != key.incarnation:
            # Only that incarnation knows whether it started the request, and it no longer
            # exists. Starting the request here could run it a second time.
            raise _owner_gone_error(key)
        self._observer.counters["forwarded"] += 1
        return self._peers.forward(view.member, call, _now_s())

    async def close(self) -> None:
        """Cancel the active runs and wait until they have ended."""
        for task in list(self._runs):
            task.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)


def _parse_optional_key(text: str) -> RequestKey | None:
    return parse_key(text) if text else None


def _owner_gone_error(key: RequestKey) -> RequestError:
    """Return the error for a key of another process, to which nothing was forwarded."""
    return RequestError(
        ErrorKind.KEY_OWNER_GONE,
        f"the process {key.node_id}.{key.incarnation}, which owns the key, no longer exists",
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
