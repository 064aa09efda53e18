"""The guard of a connection: what clients send passes through it before anything parses it."""

import asyncio
import re
import select
import string
from collections.abc import Callable
from typing import Final, cast

from aiohttp import web

from ._body_meter import BodyMeter
from ._byte_budget import ByteBudget, ByteLease
from ._http_connection import HttpConnection
from ._limits import IDLE_MARGIN_S, ConnectionLimits
from ._places import Places
from ._refusal_log import RefusalLog
from ._refusals import RESPONSES, RETRY_AFTER_S, Refusal
from ._stage import Stage
from ._turns import Turns
from ._unread_bytes import unread_bytes

# The most that is read from a socket at once, and the most that may wait behind a request that is
# not answered yet. If more waits, nothing is read, and a disconnect goes unnoticed until then.
READ_BYTES: Final = 16_384
# Bytes with more lines than this are expensive to parse; they are parsed in pieces, in turn.
MAX_CHEAP_LINES: Final = 128
TURN_BYTES: Final = 4_096
# What the parser and the request keep for a head: for each of its bytes, and for each line.
COST_PER_HEAD_BYTE: Final = 3
LINE_COST_BYTES: Final = 512
# Only heads that cost more than this are counted.
SMALL_HEAD_COST_BYTES: Final = 16_384
# How long a client has time to read a refusal before the connection is closed. Closing it at once,
# while bytes of the client are unread, resets it, which may destroy the refusal.
LINGER_S: Final = 0.5

RETRY_HEADERS: Final = {"Retry-After": str(RETRY_AFTER_S)}
_HEAD_END: Final = re.compile(rb"\n\r?\n")
_METHOD_START: Final = frozenset(string.ascii_letters.encode() + b"!#$%&'*+-.^_`|~")
# Every connection reads into this buffer; its contents are copied before the loop goes on.
_READ_BUFFER: Final = bytearray(READ_BYTES)


class GuardContext:
    """What the guards of a process share, and the limits of one listener."""

    def __init__(
        self,
        limits: Callable[[], ConnectionLimits],
        log: RefusalLog,
        places: Places,
        turns: Turns,
        budget: ByteBudget,
        *,
        counts_bodies: bool,
    ) -> None:
        """Ask ``limits`` anew for each request.

        ``budget`` bounds the memory for heads, and with ``counts_bodies`` also for bodies.
        """
        self.limits = limits
        self.log = log
        self.places = places
        self.turns = turns
        self.budget = budget
        self.counts_bodies = counts_bodies


class ConnectionGuard(asyncio.BufferedProtocol):
    """Passes on what a client sends, within the limits, to the connection that parses it.

    A head is passed on once it is complete, so that an incomplete one costs no more than its bytes,
    and the bytes behind a request once it was answered. Nothing more is read after a refusal.
    """

    __slots__ = (
        "_connection",
        "_context",
        "_empty_bytes",
        "_has_turn",
        "_head_begun",
        "_lease",
        "_loop",
        "_meter",
        "_outbox",
        "_peer",
        "_pending",
        "_reading",
        "_refused",
        "_since_s",
        "_stage",
        "_timer",
        "_transport",
        "_unread_bytes",
    )

    def __init__(self, connection: HttpConnection, context: GuardContext) -> None:
        """Guard ``connection``, which is new."""
        self._connection = connection
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._peer: object = None
        self._stage = Stage.NEW
        self._since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._lease = ByteLease(context.budget)
        # Read, but not approved.
        self._pending = b""
        # Approved, but not parsed, because it is expensive.
        self._outbox = b""
        self._has_turn = False
        self._head_begun = False
        self._empty_bytes = 0
        self._meter: BodyMeter | None = None
        self._unread_bytes = 0
        self._reading = True
        self._refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place, or close the connection at once if there is none.

        Writes wait until the kernel has accepted their last byte. By default, 64 KB stay in memory
        after a write has returned, for as long as the client does not read.
        """
        # The transports of uvloop don't inherit from those of asyncio.
        self._transport = cast(asyncio.Transport, transport)
        self._peer = transport.get_extra_info("peername")
        self._since_s = self._loop.time()
        if not self._context.places.enter(self, self._peer, self._since_s):
            self._refused = True
            self._transport.abort()
            return
        self._transport.set_write_buffer_limits(high=0)
        self._connection.events = self
        self._connection.connection_made(transport)
        self._schedule()

    def connection_lost(self, exc: Exception | None) -> None:
        """Free the place and drop what was received."""
        self._drop()
        if self._timer is not None:
            self._timer.cancel()
        self._lease.replace(0)
        self._context.places.leave(self, self._stage)
        self._transport = None
        self._connection.connection_lost(exc)

    def pause_writing(self) -> None:
        """Make the connection wait with its writes."""
        self._connection.pause_writing()
        self._update_stage()

    def resume_writing(self) -> None:
        """Let the connection go on with its writes."""
        self._connection.resume_writing()
        self._update_stage()

    def eof_received(self) -> None:
        """Close the connection: a client that has closed its side is gone."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        del sizehint
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        if self._refused:
            return
        data = bytes(memoryview(_READ_BUFFER)[:nbytes])
        self._pending = self._pending + data if self._pending else data
        self._process()

    def evict(self) -> None:
        """Close the connection at once, without an answer."""
        self._context.log.record(Refusal.EVICTED, self._peer)
        self._abort()

    def progressed_at_s(self, now_s: float) -> float:
        """Return when the client was last seen to make progress, in the time of the event loop."""
        if self._stage is Stage.UNREAD and self._transport is not None:
            unread = unread_bytes(self._transport)
            if unread != self._unread_bytes:
                self._unread_bytes = unread
                self._since_s = now_s
        return self._since_s

    def on_reading_changed(self) -> None:
        """Go on with what is pending if the connection wants bytes again."""
        self._process()

    def on_parse_error(self) -> None:
        """Stop reading; the connection answers the error and closes."""
        self._context.log.record(Refusal.MALFORMED, self._peer)
        self._stop_reading()

    async def on_response(self) -> None:
        """Go on with the next request, or let the client of a refused one read its answer."""
        self._lease.replace(0)
        self._process()
        transport = self._transport
        if self._refused and transport is not None and not transport.is_closing():
            transport.write_eof()
            await asyncio.sleep(LINGER_S)

    def take_turn(self) -> None:
        """Parse a piece of what is expensive to parse."""
        self._has_turn = False
        if not self._outbox or not self._connection.wants_bytes or self._is_closing():
            return
        if self._is_hung_up():
            self._abort()
            return
        piece, self._outbox = self._outbox[:TURN_BYTES], self._outbox[TURN_BYTES:]
        self._feed(piece)
        self._process()

    def _process(self) -> None:
        """Approve what can be approved, and decide whether to read on."""
        # The parser reports that a body is complete while it still parses.
        if self._connection.is_parsing:
            return
        while self._pending and self._approve_next():
            pass
        if self._outbox and self._connection.wants_bytes and not self._has_turn:
            self._has_turn = True
            self._context.turns.add(self)
        self._update_stage()
        self._update_reading()

    def _approve_next(self) -> bool:
        """Pass on the next part of what is pending; return whether to try again."""
        connection = self._connection
        if self._refused or self._outbox or not connection.wants_bytes:
            return False
        if connection.is_receiving:
            return self._approve_body()
        if connection.has_requests:
            return False
        return self._approve_head()

    def _approve_head(self) -> bool:
        """Pass on the next head if it is complete."""
        if not self._head_begun:
            self._head_begun = True
            self._since_s = self._loop.time()
        head = self._pending.lstrip(b"\r\n")
        self._empty_bytes += len(self._pending) - len(head)
        self._pending = head
        if head and head[0] not in _METHOD_START:
            return self._refuse(Refusal.MALFORMED)
        end = _HEAD_END.search(head)
        head_bytes = end.end() if end else len(head) + 1
        if self._empty_bytes + head_bytes > self._context.limits().head_bytes:
            return self._refuse(Refusal.HEAD_TOO_LARGE)
        if end is None:
            self._schedule()
            return False
        return self._pass_on_head(head_bytes)

    def _pass_on_head(self, head_bytes: int) -> bool:
        head, self._pending = self._pending[:head_bytes], self._pending[head_bytes:]
        line_count = head.count(b"\n")
        cost_bytes = head_bytes * COST_PER_HEAD_BYTE + line_count * LINE_COST_BYTES
        if cost_bytes > SMALL_HEAD_COST_BYTES and not self._lease.try_hold(cost_bytes):
            return self._refuse(Refusal.NO_MEMORY)
        self._head_begun = False
        self._empty_bytes = 0
        self._pass_on(head, line_count)
        return True

    def _approve_body(self) -> bool:
        """Pass on a part of a body, and nothing beyond the end of the body."""
        self._since_s = self._loop.time()
        meter = self._meter
        size_bytes = meter.part_bytes(self._pending) if meter is not None else 0
        if meter is None or size_bytes <= 0:
            return False
        part, self._pending = self._pending[:size_bytes], self._pending[size_bytes:]
        is_answered = not self._connection.has_requests
        if is_answered and meter.is_too_long_unread(part):
            return self._refuse(Refusal.UNREAD_BODY)
        # Without chunks, the parser passes on a body as a whole, whatever it consists of.
        self._pass_on(part, part.count(b"\n") if meter.is_chunked else 0)
        return True

    def _pass_on(self, data: bytes, line_count: int) -> None:
        """Parse data now, or in turn with others if it is expensive."""
        if line_count <= MAX_CHEAP_LINES:
            self._feed(data)
        else:
            self._outbox = data

    def _feed(self, data: bytes) -> None:
        """Let the connection parse data, and check what it made of a body."""
        connection = self._connection
        body = connection.payload if connection.is_receiving else None
        connection.data_received(data)
        if body is not None and self._meter is not None:
            self._check_body(self._meter, self._meter.record(data, body.total_bytes))
        elif connection.is_receiving and connection.request is not None:
            self._meter = BodyMeter(connection.request)
        if connection.is_upgraded:
            self._end_upgrade()

    def _check_body(self, meter: BodyMeter, grown_bytes: int) -> None:
        """Refuse a body for which there is no memory, or whose framing is out of proportion."""
        counts = self._context.counts_bodies and self._connection.has_requests
        if counts and not self._lease.try_hold(grown_bytes):
            self._fail_body(Refusal.NO_MEMORY, web.HTTPServiceUnavailable(headers=RETRY_HEADERS))
        elif meter.has_excessive_framing(self._context.limits().head_bytes):
            self._fail_body(Refusal.BODY_FRAMING, web.HTTPBadRequest())

    def _end_upgrade(self) -> None:
        """Close the connection after its response: no other protocol is spoken here."""
        body = self._connection.payload
        if body is not None and not body.is_eof():
            body.feed_eof()
        self._connection.close()
        self._stop_reading()

    def _fail_body(self, refusal: Refusal, error: web.HTTPException) -> None:
        self._context.log.record(refusal, self._peer)
        self._connection.fail_body(error)
        self._stop_reading()

    def _refuse(self, refusal: Refusal) -> bool:
        """Answer with a refusal, if it has an answer, and close the connection; returns False."""
        self._context.log.record(refusal, self._peer)
        self._stop_reading()
        if self._transport is not None:
            self._connection.close()
            self._transport.write(RESPONSES.get(refusal, b""))
            self._transport.write_eof()
            self._loop.call_later(LINGER_S, self._abort)
        return False

    def _stop_reading(self) -> None:
        self._drop()
        self._refused = True
        self._update_reading()

    def _drop(self) -> None:
        self._pending = self._outbox = b""

    def _abort(self) -> None:
        self._refused = True
        self._drop()
        if self._transport is not None:
            self._transport.abort()

    def _is_hung_up(self) -> bool:
        """Whether the client has closed the connection, even if bytes before that are unread."""
        assert self._transport is not None
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _update_reading(self) -> None:
        """Read from the socket only what can be passed on soon."""
        reading = self._wants_bytes()
        if self._transport is None or reading == self._reading or self._is_closing():
            return
        self._reading = reading
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _wants_bytes(self) -> bool:
        if self._refused or self._outbox or not self._connection.wants_bytes:
            return False
        is_waiting = self._stage in (Stage.NEW, Stage.IDLE)
        return is_waiting or len(self._pending) < READ_BYTES

    def _is_closing(self) -> bool:
        return self._transport is None or self._transport.is_closing()

    def _update_stage(self) -> None:
        stage = self._current_stage()
        if stage is self._stage:
            return
        self._context.places.move(self, self._stage, stage)
        self._stage = stage
        self._since_s = self._loop.time()
        # A head that begins behind a request expires before the timer of an idle connection.
        if self._timer is None or self._head_begun:
            self._schedule()

    def _current_stage(self) -> Stage:
        connection = self._connection
        if connection.is_receiving:
            return Stage.RECEIVING
        if connection.has_requests:
            return Stage.UNREAD if connection.writing_paused else Stage.RUNNING
        return Stage.NEW if connection.request is None else Stage.IDLE

    def _expires_at_s(self) -> float | None:
        """Return when the present stage has lasted too long by the limits now in force."""
        limits = self._context.limits()
        match self._stage:
            case Stage.RUNNING | Stage.UNREAD:
                return None
            case Stage.RECEIVING:
                return self._since_s + limits.idle_timeout_s
        if self._head_begun:
            return self._since_s + limits.head_timeout_s
        return self._since_s + limits.idle_timeout_s + IDLE_MARGIN_S

    def _schedule(self) -> None:
        """Make the timer fire when the present stage expires, or before."""
        expires_at_s = self._expires_at_s()
        if expires_at_s is None:
            return
        if self._timer is not None:
            if self._timer.when() <= expires_at_s:
                return
            self._timer.cancel()
        self._timer = self._loop.call_at(expires_at_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._refused or self._transport is None:
            return
        expires_at_s = self._expires_at_s()
        if expires_at_s is None:
            return
        if self._loop.time() < expires_at_s:
            self._schedule()
        elif self._stage is Stage.RECEIVING:
            self._on_body_timeout()
        elif self._head_begun:
            self._refuse(Refusal.HEAD_TIMEOUT)
        else:
            self._connection.force_close()

    def _on_body_timeout(self) -> None:
        """Refuse a body that has stopped arriving, unless this process doesn't read it."""
        if self._reading:
            self._fail_body(Refusal.BODY_TIMEOUT, web.HTTPRequestTimeout())
        else:
            self._since_s = self._loop.time()
            self._schedule()
