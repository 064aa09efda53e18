"""Serves calls that other nodes send to this node as the owner of their targets."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import Final

import msgspec
from aiohttp import web

from .._decoding import MalformedError, decode_msgpack
from ..connections import ConnectionFactory, ConnectionLimits, GuardedServer, SharedLimits
from ..dispatch import AttemptGrant, CallReply, CallRequest, HopHeader, SendDelays, hop_scope
from ..errors import RequestError
from ..observe import Observer
from ..serving import Call, Route, TargetAnswer
from ._call_bytes import BytesRefusedError, CallBytes
from ._owner_channel import IDLE_TIMEOUT_S, PATH_ATTEMPTS, PATH_CALLS

# Added to the time for which senders keep idle connections.
IDLE_MARGIN_S: Final = 30.0
_REQUEST_DECODER: Final = msgspec.msgpack.Decoder(CallRequest)
_REPLY_ENCODER: Final = msgspec.msgpack.Encoder()


class NodeCallHandler:
    """Handles requests of other nodes.

    ``POST /calls`` forwards a call, as its request describes it, and returns the answer. ``GET
    /calls`` does nothing. ``POST /attempts`` asks whether a call of this node may be attempted once
    more. A sender that disconnects cancels its call.
    """

    def __init__(
        self,
        forward: Callable[[Call, Route], Awaitable[TargetAnswer]],
        projected_wait_s: Callable[[str], float],
        grant_attempt: Callable[[int], bool],
        ask_attempt: Callable[[str, int], Awaitable[bool]],
        call_bytes: CallBytes,
        observer: Observer,
    ) -> None:
        """Forward calls by ``forward``, whose route holds the priority of the call.

        ``projected_wait_s`` returns the wait of a new call of a service here. ``grant_attempt``
        answers owners of this node's calls; ``ask_attempt`` asks the sender of a call.
        ``call_bytes`` bounds the bodies that wait here.
        ``in_flight`` counts the calls in hand.
        """
        self._forward = forward
        self._projected_wait_s = projected_wait_s
        self._grant_attempt = grant_attempt
        self._ask_attempt = ask_attempt
        self._call_bytes = call_bytes
        self._counters = observer.counters
        self._delays = SendDelays()
        self.in_flight = 0

    def server(self, shared: SharedLimits) -> GuardedServer:
        """Return the HTTP server of this handler, which shares limits with the node's others."""
        limits = ConnectionLimits(idle_timeout_s=IDLE_TIMEOUT_S + IDLE_MARGIN_S)
        connections = ConnectionFactory(shared, lambda: limits, counts_bodies=False)
        return GuardedServer(self.handle, connections, handler_cancellation=True)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to one request of a node."""
        match request.method, request.raw_path:
            case "POST", path if path == PATH_CALLS:
                return await self._handle_call(request)
            case "GET", path if path == PATH_CALLS:
                return web.Response(status=204)
            case "POST", path if path == PATH_ATTEMPTS:
                granted = self._grant_attempt(int.from_bytes(await request.read()))
                return web.Response(status=204 if granted else 409)
        return web.Response(status=404)

    async def _handle_call(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._call_bytes.lease() as lease:
            try:
                body = await self._call_bytes.read_body(request, lease, "")
                content = decode_request(body)
            except BytesRefusedError as error:
                return web.Response(body=_encode_reply(CallReply.from_error(error, math.inf)))
            except MalformedError:
                return web.Response(status=400)
            self._counters["owner_calls_received"] += 1
            self.in_flight += 1
            try:
                reply = await self._run(content)
            finally:
                self.in_flight -= 1
        return web.Response(body=_encode_reply(reply))

    async def _run(self, request: CallRequest) -> CallReply:
        delay_s = self._delays.delay_s(request.hop.sender, request.hop.sent_at_s, monotonic())
        call = request.to_call(asyncio.get_running_loop().time(), delay_s)
        grant = self._grant(request.hop, request.granted_attempts)
        try:
            with hop_scope(grant, counts_usage=request.counts_usage):
                answer = await self._forward(call, request.to_route())
        except RequestError as error:
            return CallReply.from_error(error, self._projected_wait_s(request.service))
        return CallReply.from_answer(answer, self._projected_wait_s(request.service))

    def _grant(self, hop: HopHeader, granted: int) -> AttemptGrant:
        async def ask() -> bool:
            return await self._ask_attempt(hop.sender_address, hop.number)

        return AttemptGrant(granted, ask)


def decode_request(body: bytes) -> CallRequest:
    """Return the call that another node sends.

    :raises MalformedError: when ``body`` is malformed.
    """
    request: CallRequest = decode_msgpack(_REQUEST_DECODER, body)
    return request


def _encode_reply(reply: CallReply) -> bytes:
    """Return the encoded reply; header bytes that are no text are replaced by ``?``."""
    try:
        return _REPLY_ENCODER.encode(reply)
    except UnicodeEncodeError:
        headers = [(_as_text(name), _as_text(value)) for name, value in reply.headers]
        return _REPLY_ENCODER.encode(msgspec.structs.replace(reply, headers=headers))


def _as_text(value: str) -> str:
    return value.encode("utf-8", "replace").decode()
