"""Reads the bodies of requests and writes responses within the memory for callers' bytes."""

import asyncio
import math
from collections.abc import Callable
from typing import Final

from aiohttp import StreamReader, web

from ..connections import READ_SHARE, ByteBudget, ByteLease
from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ._byte_log import ByteLog
from ._transfer_watch import STALL_S, TransferWatch

# While memory is short, a body that arrives more slowly than this is refused.
MIN_BODY_BYTES_PER_S: Final = 32_768


class BytesRefusedError(RequestError):
    """A request was refused, before any part of it was sent on, because memory is short."""


class CallBytes:
    """Counts the bytes of every request and response at the address for callers.

    A request holds its body while it waits and runs, and then its response until the kernel has
    accepted the last byte of it. Bytes in a lease are released when its block ends.
    """

    def __init__(
        self,
        limit_bytes: int,
        observer: Observer,
        is_draining: Callable[[], bool] = lambda: False,
        stall_s: float = STALL_S,
    ) -> None:
        """Hold up to ``limit_bytes`` for new work.

        Transfers without progress for ``stall_s`` are ended while memory is short, and once the
        node ``is_draining``. Requires a running event loop.
        """
        self.budget = ByteBudget(limit_bytes, asyncio.get_running_loop().time)
        self._observer = observer
        self._log = ByteLog(self.budget, observer)
        self._stall_s = stall_s
        self._watch = TransferWatch(
            lambda: is_draining() or self.budget.is_short(), self._log.record_ended, stall_s
        )

    def lease(self) -> ByteLease:
        """Return the lease of a new request, to be used in a ``with`` statement."""
        return ByteLease(self.budget)

    def publish(self) -> None:
        """Set the counter ``bytes_held`` to the present value."""
        self._observer.counters["bytes_held"] = self.budget.held_bytes

    def admit(self, lease: ByteLease, size_bytes: int, request_id: str, share: float = 1.0) -> None:
        """Hold the bytes of new work.

        :raises BytesRefusedError: if they don't fit into a share of the budget.
        """
        if not lease.try_hold(size_bytes, share):
            raise self._refusal(size_bytes, request_id, share)

    def admit_read(self, lease: ByteLease, size_bytes: int, request_id: str) -> None:
        """Hold the bytes of a read of results.

        :raises BytesRefusedError: if they don't fit into the part of the budget for reads.
        """
        self.admit(lease, size_bytes, request_id, READ_SHARE)

    async def read_body(self, request: web.BaseRequest, lease: ByteLease, request_id: str) -> bytes:
        """Return the body of a request, which the lease then holds.

        The limit of the request is its ``client_max_size``, 0 for none.

        :raises BytesRefusedError: if it doesn't fit, or arrives slowly while memory is short.
        :raises RequestError: if it exceeds the limit of the request.
        """
        announced_bytes = request.content_length or 0
        max_bytes = request.client_max_size or math.inf
        if announced_bytes > max_bytes:
            raise _too_large(max_bytes)
        self.admit(lease, announced_bytes, request_id)
        if not request.can_read_body:
            return b""
        content = request.content
        if content.is_eof():
            body = content.read_nowait()
            self._admit_arrived(lease, len(body), request_id, max_bytes)
            return body
        return await self._read_slow_body(content, lease, request_id, max_bytes)

    async def _read_slow_body(
        self, content: StreamReader, lease: ByteLease, request_id: str, max_bytes: float
    ) -> bytes:
        """Return a body that has not arrived completely yet; see :meth:`read_body`."""
        chunks: list[bytes] = []
        size_bytes = 0
        pace = _Pace(self._stall_s)
        while not content.at_eof():
            try:
                async with asyncio.timeout(self._stall_s):
                    chunk = await content.readany()
            except TimeoutError:
                chunk = b""
            size_bytes += len(chunk)
            self._admit_arrived(lease, size_bytes, request_id, max_bytes)
            chunks.append(chunk)
            if pace.is_slow(size_bytes) and self.budget.is_short() and not content.is_eof():
                raise self._refusal(lease.held_bytes, request_id, 1.0)
        return b"".join(chunks)

    def _admit_arrived(
        self, lease: ByteLease, size_bytes: int, request_id: str, max_bytes: float
    ) -> None:
        """Hold what has arrived of a body beyond its announced size.

        :raises RequestError: see :meth:`read_body`.
        """
        if size_bytes > max_bytes:
            raise _too_large(max_bytes)
        if size_bytes > lease.held_bytes:
            self.admit(lease, size_bytes - lease.held_bytes, request_id)

    async def deliver(
        self, request: web.BaseRequest, response: web.StreamResponse, lease: ByteLease
    ) -> None:
        """Write a response, or the end of a stream; return once the kernel has accepted all of it.

        The lease holds the response instead of what it held before. Returns early if the caller is
        gone; a second call for the same response does nothing.
        """
        body = response.body if isinstance(response, web.Response) else None
        lease.replace(len(body) if isinstance(body, (bytes, bytearray)) else 0)
        transport = request.transport
        if transport is None:
            return
        transfer = self._watch.begin(transport)
        try:
            await response.prepare(request)
            await response.write_eof()
        except ConnectionError:
            # aiohttp notices the closed connection itself when it ends the request.
            pass
        finally:
            self._watch.end(transfer)
            if isinstance(response, web.Response):
                # aiohttp refers to the response until the next request on the connection.
                response.body = None

    async def write(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        data: bytes,
        lease: ByteLease,
    ) -> None:
        """Write a part of a stream; return once the kernel has accepted all of it.

        The lease holds that part meanwhile, in addition to what it held before.

        :raises ConnectionError: if the connection is closed.
        """
        request_bytes = lease.held_bytes
        lease.replace(request_bytes + len(data))
        if request.transport is None:
            raise ConnectionResetError("the caller closed the connection")
        transfer = self._watch.begin(request.transport)
        try:
            await response.write(data)
            await request.writer.drain()
        finally:
            self._watch.end(transfer)
        lease.replace(request_bytes)

    def _refusal(self, size_bytes: int, request_id: str, share: float) -> BytesRefusedError:
        self._log.record_refusal(request_id, size_bytes)
        return BytesRefusedError(
            ErrorKind.NOT_READY,
            "this node holds too many bytes for slow callers; use another node, or retry later",
            ran=Ran.NO,
            retry_after_s=round(self.budget.retry_after_s(size_bytes, share), 3),
        )


class _Pace:
    """The rate at which a body arrives, over intervals of the stall time."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._began_s = asyncio.get_running_loop().time()
        self._began_bytes = 0

    def is_slow(self, size_bytes: int) -> bool:
        """Whether an interval has ended in which too few bytes arrived."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._began_s < self._interval_s:
            return False
        arrived_bytes = size_bytes - self._began_bytes
        is_slow = arrived_bytes < MIN_BODY_BYTES_PER_S * (now_s - self._began_s)
        self._began_s, self._began_bytes = now_s, size_bytes
        return is_slow


def _too_large(max_bytes: float) -> RequestError:
    return RequestError(ErrorKind.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes")
