"""What callers meet: the entry list, and requests to services."""

import asyncio
import json
import secrets
from collections.abc import AsyncIterator

from aiohttp import web

from ..blackboard import Blackboard
from ..controllers import Dispatcher
from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ..peers import PeerClient
from ..peers.peers_pb2 import ForwardRequest
from ..requests import (
    AnswerLine,
    AnswerLog,
    Call,
    ForwardTo,
    JoinHere,
    KeyBook,
    Span,
    StartHere,
    WorkClass,
    merge_spans,
    parse_key,
)
from ..settings import Timings
from ._call_headers import CallHeaders, read_body, read_headers


class CallerEntry:
    """Takes callers' requests, binds their keys, and returns their answers."""

    def __init__(
        self,
        board: Blackboard,
        key_book: KeyBook,
        dispatcher: Dispatcher,
        peers: PeerClient,
        observer: Observer,
        timings: Timings,
    ) -> None:
        """Wire the parts that a request passes through."""
        self._board = board
        self._key_book = key_book
        self._dispatcher = dispatcher
        self._peers = peers
        self._observer = observer
        self._timings = timings
        self._runs: set[asyncio.Task[None]] = set()
        self.in_flight = 0

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the callers' routes."""
        router.add_get("/v1/entries", self.entries)
        router.add_post("/v1/services/{service}/{method}", self.call)

    async def entries(self, _request: web.Request) -> web.Response:
        """Return the nodes to use; one that leaves or holds no text is not among them."""
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

    async def call(self, request: web.Request) -> web.StreamResponse:
        """Run one request and return its answer, whole or as lines."""
        self.in_flight += 1
        started_at_s = asyncio.get_running_loop().time()
        try:
            return await self._call(request)
        finally:
            self.in_flight -= 1
            self._observer.record_s("request", asyncio.get_running_loop().time() - started_at_s)

    async def _call(self, request: web.Request) -> web.StreamResponse:
        if self._board.config.revision < 0:
            raise RequestError(ErrorKind.NOT_READY, "this node holds no service text yet")
        headers = read_headers(request.headers, self._timings.max_deadline_s)
        body = await read_body(request)
        with self._observer.span("entry", headers.traceparent) as traceparent:
            call = self._make_call(
                request.match_info["service"],
                request.match_info["method"],
                body,
                headers._replace(traceparent=traceparent),
            )
            lines = self._answer(call, headers.key)
            if body.get("stream", False):
                return await _send_lines(request, call, lines)
            return await _send_whole(call, lines)

    def _make_call(
        self, service_name: str, method_name: str, body: object, headers: CallHeaders
    ) -> Call:
        service = self._board.service(service_name)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{service_name}"')
        method = service.methods.get(method_name)
        if method is None:
            known = ", ".join(sorted(service.methods))
            raise RequestError(
                ErrorKind.UNKNOWN_METHOD, f'"{service_name}" has no "{method_name}", only {known}'
            )
        assert isinstance(body, dict)
        deadline_in_s = min(headers.deadline_in_s, method.max_s)
        return Call(
            service=service_name,
            method=method_name,
            body=body,
            deadline_at_s=asyncio.get_running_loop().time() + deadline_in_s,
            priority=headers.priority,
            idempotent=method.idempotent and headers.idempotent,
            request_id=headers.key or self._own_request_id(),
            work_class=WorkClass.CALLER,
            traceparent=headers.traceparent,
        )

    def _own_request_id(self) -> str:
        identity = self._board.identity
        return f"{identity.node_id}.{identity.incarnation}.unkeyed.{secrets.token_hex(8)}"

    def _answer(self, call: Call, key_text: str) -> AsyncIterator[AnswerLine]:
        if not key_text:
            answer = AnswerLog()
            self._start(call, answer)
            return answer.read()
        key = parse_key(key_text)
        now_s = asyncio.get_running_loop().time()
        match self._key_book.bind(key, call.body, now_s):
            case StartHere(answer=answer):
                self._start(call, answer)
                return answer.read()
            case JoinHere(answer=answer):
                return answer.read()
            case ForwardTo(node_id=node_id, incarnation=incarnation):
                return self._forward(call, node_id, incarnation)

    def _start(self, call: Call, answer: AnswerLog) -> None:
        task = asyncio.get_running_loop().create_task(self._dispatcher.run(call, answer))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)

    def _forward(self, call: Call, node_id: str, incarnation: str) -> AsyncIterator[AnswerLine]:
        view = self._board.members.get(node_id)
        if view is None or view.member.incarnation != incarnation:
            # Only the named incarnation knows whether it started the request,
            # and it is gone: starting it here could run it a second time.
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                f"the process {node_id}.{incarnation} that the key names is gone",
            )
        return self._peers.forward(view.member, call, asyncio.get_running_loop().time())

    async def serve_forwarded(self, request: ForwardRequest) -> AsyncIterator[AnswerLine]:
        """Run a call that another node forwarded; this node must own its key."""
        key = parse_key(request.key)
        headers = CallHeaders(
            request.deadline_in_s,
            request.priority,
            request.idempotent,
            request.key,
            request.traceparent,
        )
        identity = self._board.identity
        if (key.node_id, key.incarnation) != (identity.node_id, identity.incarnation):
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the process that the key names is gone")
        call = self._make_call(request.service, request.method, json.loads(request.body), headers)
        self.in_flight += 1
        try:
            async for line in self._answer(call, request.key):
                yield line
        finally:
            self.in_flight -= 1

    async def close(self) -> None:
        """Cancel what still runs."""
        for task in list(self._runs):
            task.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)


async def _send_whole(call: Call, lines: AsyncIterator[AnswerLine]) -> web.Response:
    text: list[str] = []
    spans: list[Span] = []
    answer: dict[str, object] = {"request_id": call.request_id}
    async for line in lines:
        text.append(line.get("text", ""))
        spans.extend(line.get("spans", ()))
        for field in ("result", "run_id", "target"):
            if field in line:
                answer[field] = line[field]
    if spans:
        answer["text"] = "".join(text)
        answer["spans"] = [list(span) for span in merge_spans(spans)]
    return web.json_response(answer)


async def _send_lines(
    request: web.Request, call: Call, lines: AsyncIterator[AnswerLine]
) -> web.StreamResponse:
    """Send lines as they come; an error after the first one is itself a line."""
    response: web.StreamResponse | None = None
    try:
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
    assert response is not None
    await response.write_eof()
    return response


async def _open_stream(request: web.Request, call: Call) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={"Content-Type": "application/x-ndjson", "x-request-id": call.request_id}
    )
    await response.prepare(request)
    return response
