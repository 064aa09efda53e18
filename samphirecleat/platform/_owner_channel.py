"""Sends calls to the owners of their targets, over persistent connections between nodes."""

import asyncio
from typing import Final

import aiohttp
import msgspec
from yarl import URL

from .._decoding import MalformedError, decode_msgpack
from ..dispatch import CallReply, CallRequest, HopError, Owner
from ..observe import Observer
from ..targets import make_connector, use_strict_handler
from ._answers import RESPONSE_ERRORS

PATH_CALLS: Final = "/calls"
PATH_ATTEMPTS: Final = "/attempts"
CONNECT_TIMEOUT_S: Final = 0.5
# Nodes keep idle connections for longer than the time between the calls of a quiet service. The
# endpoint keeps them longer still, so that no call is sent on a connection that is being closed.
IDLE_TIMEOUT_S: Final = 60.0
KEEPALIVE_PROBE_AFTER_S: Final = 1.0
# Time for a reply that takes no work. The one who waits has other attempts in flight.
SHORT_REPLY_TIMEOUT_S: Final = 0.5
# A node without the endpoint for calls keeps running for some time of a rolling update.
AVOID_WITHOUT_ENDPOINT_S: Final = 10.0
_SKIPPED_AUTO_HEADERS: Final = frozenset(
    {"User-Agent", "Accept", "Accept-Encoding", "Content-Type"}
)
_REPLY_DECODER: Final = msgspec.msgpack.Decoder(CallReply)
_REQUEST_ENCODER: Final = msgspec.msgpack.Encoder()


class NodeCallClient:
    """The client of the endpoints for calls of other nodes; implements :class:`OwnerChannel`."""

    def __init__(self, observer: Observer) -> None:
        """Start without connections; must be created in the event loop that uses it."""
        self._counters = observer.counters
        self._urls: dict[tuple[str, str], URL] = {}
        pool = make_connector(KEEPALIVE_PROBE_AFTER_S, keepalive_timeout_s=IDLE_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=use_strict_handler(pool, self._count_connection),
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )
        # aiohttp would resend a call when a reused connection closes, although the owner may have
        # it. There is no public parameter to turn that off.
        self._session._retry_connection = False

    async def send(self, owner: Owner, request: CallRequest) -> CallReply:
        """Return the owner's reply; see :class:`OwnerChannel`."""
        try:
            content = _REQUEST_ENCODER.encode(request)
        except UnicodeEncodeError as error:
            # Bytes of the caller that are no text. Only this node has them unchanged.
            raise HopError("encoding", str(error), sent=False, avoid_s=0.0) from error
        try:
            async with self._session.post(
                self._url(owner.address, PATH_CALLS), data=content
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise HopError("unreachable", repr(error), sent=False) from error
        except RESPONSE_ERRORS as error:
            raise HopError("broken", repr(error), sent=True) from error
        return _decode_reply(response.status, body)

    async def probe(self, owner: Owner) -> bool:
        """Return whether the owner replied to a message that does nothing."""
        status = await self._short_exchange("GET", owner.address, PATH_CALLS, b"")
        return status != 0

    async def ask_attempt(self, address: str, hop_number: int) -> bool:
        """Return whether the sender of a call grants its owner another attempt."""
        content = hop_number.to_bytes(8)
        return await self._short_exchange("POST", address, PATH_ATTEMPTS, content) == 204

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _short_exchange(self, method: str, address: str, path: str, content: bytes) -> int:
        """Return the status of the response, 0 if there is none."""
        try:
            async with (
                asyncio.timeout(SHORT_REPLY_TIMEOUT_S),
                self._session.request(
                    method, self._url(address, path), data=content or None
                ) as response,
            ):
                await response.read()
                return response.status
        except RESPONSE_ERRORS:
            return 0

    def _url(self, address: str, path: str) -> URL:
        url = self._urls.get((address, path))
        if url is None:
            url = self._urls[address, path] = URL(f"http://{address}{path}")
        return url

    def _count_connection(self) -> None:
        self._counters["owner_connections_made"] += 1


def _decode_reply(status: int, body: bytes) -> CallReply:
    """Return the reply in a response.

    :raises HopError: if there is none. An endpoint that is missing, or that could not decode the
        request, did nothing with it.
    """
    match status:
        case 200:
            pass
        case 404:
            detail = "the node accepts no calls from nodes"
            raise HopError("no_endpoint", detail, sent=False, avoid_s=AVOID_WITHOUT_ENDPOINT_S)
        case 400:
            raise HopError("not_decoded", "the node cannot decode the call", sent=False)
        case _:
            raise HopError("status", f"HTTP {status}", sent=True)
    try:
        return decode_reply(body)
    except MalformedError as error:
        raise HopError("malformed", str(error), sent=True) from error


def decode_reply(body: bytes) -> CallReply:
    """Return an owner's reply.

    :raises MalformedError: when ``body`` is malformed.
    """
    reply: CallReply = decode_msgpack(_REPLY_DECODER, body)
    return reply
