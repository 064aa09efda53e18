"""Passes an event stream on as it is made, and goes on at another target where one breaks off.

Load pattern answered: streams of some dozen events, 40 ms apart, of which a target breaks one
off, falls silent in its middle, or was replaced before it began. A caller that has seen the
first events loses its answer if the stream is not gone on with within about two seconds.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from typing import Final

from ..crashes import CrashVerdict, is_barred
from ..errors import ErrorKind, Ran, RequestError
from ._attempt_trail import AttemptTrail
from ._forwarder import (
    REFUSALS_LIMIT,
    RETURN_MARGIN_S,
    Forwarder,
    barred,
    unanswered,
)
from ._target_table import TargetTable
from ._types import (
    Call,
    Route,
    StreamChannel,
    StreamEvent,
    StreamStart,
    Target,
    TargetAnswer,
    TargetFault,
)

# A target is left when it makes no event for this long. Events are about 40 ms apart, an engine
# that takes new weights pauses for a second, and callers leave after two.
SILENT_S: Final = 1.4

_Item = TargetAnswer | StreamStart | StreamEvent


def _nothing_placed() -> None:
    """Release nothing: no run was placed yet."""


class StreamBrokenError(Exception):
    """A stream that was passed on in part and can't be ended; the caller must see it cut."""


class StreamRelay:
    """Opens streams by routes over a channel; one for the whole process."""

    def __init__(self, forwarder: Forwarder, targets: TargetTable, channel: StreamChannel) -> None:
        """Choose targets as ``forwarder`` does and stream through ``channel``."""
        self.forwarder = forwarder
        self.targets = targets
        self.channel = channel

    async def open(
        self, call: Call, route: Route, last_event_id: int
    ) -> "TargetAnswer | RelayedStream":
        """Return the stream of a call, or the failure that a target answered instead.

        ``last_event_id`` is the event behind which the caller itself goes on, 0 for none.

        :raises RequestError: when there is neither; ``ran`` is NO only if no target can
            have run the call.
        """
        stream = RelayedStream(self, call, route, last_event_id)
        answer = await stream.begin()
        return stream if answer is None else answer


class RelayedStream:
    """One caller's stream, made by one target after another."""

    def __init__(self, relay: StreamRelay, call: Call, route: Route, last_event_id: int) -> None:
        """Prepare; nothing is sent yet."""
        self._relay = relay
        self._call = call
        self._route = route
        self._end_s = call.deadline_s
        if route.timeout_s > 0.0:
            self._end_s = min(self._end_s, call.received_at_s + route.timeout_s)
        self._services = relay.forwarder.services_for(route)
        self._tried: list[str] = []
        self._runs = 0
        self._refusals = 0
        self._ran = Ran.NO
        self._spoilt: TargetAnswer | None = None
        self._trail = AttemptTrail()
        self._last_event_id = last_event_id
        self._target: Target | None = None
        self._source: AsyncGenerator[_Item, None] | None = None
        self._repeatable = route.resumable
        self._metered = False
        self._verdict = CrashVerdict.CLEAR
        self._begun_s = 0.0
        self._release: Callable[[], None] = _nothing_placed
        self.start = StreamStart(0, (), 0)

    async def begin(self) -> TargetAnswer | None:
        """Return None once a target streams, else the failure that one answered.

        :raises RequestError: when no target streams.
        """
        while True:
            self._check_time()
            if not self._choose():
                return self._give_up()
            try:
                first = await self._next()
            except TargetFault as fault:
                await self._leave(fault)
                continue
            except asyncio.CancelledError:
                await self.close()
                raise
            match first:
                case StreamStart():
                    self.start = first
                    return None
                case TargetAnswer():
                    self._note_outcome(f"answered {first.status}")
                    self._relay.forwarder.answered(self._call)
                    await self.close()
                    if first.status >= 500 and self._repeatable:
                        self._spoilt, self._ran = first, Ran.UNKNOWN
                        continue
                    return first
            await self._leave(TargetFault("an event before its stream", Ran.UNKNOWN))

    async def events(self) -> AsyncGenerator[StreamEvent, None]:
        """Yield whole events as they come, across targets, until the stream is whole.

        :raises StreamBrokenError: when it can't be made whole.
        """
        try:
            while True:
                try:
                    item = await self._next()
                    if item is None:
                        self._relay.forwarder.answered(self._call)
                        return
                    yield self._take(item)
                except TargetFault as fault:
                    await self._leave(fault)
                    await self._go_on()
        finally:
            await self.close()

    async def close(self) -> None:
        """End the run at its target, which drops it with its connection."""
        source, self._source = self._source, None
        if source is not None:
            with suppress(TargetFault):
                await source.aclose()
        if self._target is not None:
            self._release()
            self._target = None

    def _take(self, item: _Item) -> StreamEvent:
        """Return the event to pass on.

        :raises TargetFault: for an event that is not the next one.
        """
        if not isinstance(item, StreamEvent):
            raise TargetFault("a second head in a stream", Ran.UNKNOWN)
        if self._last_event_id and item.event_id != self._last_event_id + 1:
            detail = f"event {item.event_id} after {self._last_event_id}"
            raise TargetFault(detail, Ran.UNKNOWN)
        self._last_event_id = item.event_id
        if self._call.workspace and not self._metered:
            self._metered = True
            self._relay.forwarder.meter(self._call.workspace, asyncio.get_running_loop().time())
        return item

    async def _next(self) -> _Item | None:
        """Return what the target says next, None at the end of its stream.

        :raises TargetFault: when it says nothing in time.
        """
        assert self._source is not None
        left_s = self._end_s - RETURN_MARGIN_S - asyncio.get_running_loop().time()
        wait_s = min(left_s, SILENT_S) if self._repeatable else left_s
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await anext(self._source, None)
        except TimeoutError as error:
            raise TargetFault(f"silent for {wait_s:.2f} s", Ran.UNKNOWN) from error

    def _choose(self) -> bool:
        """Open a run at the next target; False when attempts or targets are used up."""
        loop = asyncio.get_running_loop()
        if self._runs >= self._route.max_attempts or self._refusals >= REFUSALS_LIMIT:
            return False
        if self._ran is not Ran.NO and not self._repeatable:
            return False
        self._verdict = self._relay.forwarder.verdict(self._call)
        if is_barred(self._verdict):
            return False
        target = self._relay.forwarder.pick(self._services, self._tried, loop.time())
        if target is None:
            return False
        self._tried.append(target.instance)
        self._runs += 1
        self._begun_s = loop.time()
        self._target = target
        self._trail.sent(target.instance, loop.time())
        suspect = self._verdict is not CrashVerdict.CLEAR
        self._release = self._relay.forwarder.place(target, suspect=suspect)
        self._source = self._relay.channel.stream(
            self._call, target, self._end_s - loop.time(), self._last_event_id
        )
        return True

    async def _leave(self, fault: TargetFault) -> None:
        """Close a run that failed, before another one goes on with its text."""
        self._note_outcome(fault.detail)
        if self._target is not None:
            now_s = asyncio.get_running_loop().time()
            self._relay.targets.failed(self._target, now_s, refused=fault.refused)
            await self._relay.forwarder.cut(self._call, self._target, self._begun_s, fault)
        if fault.ran is Ran.NO:
            self._runs -= 1
            self._refusals += 1
        else:
            self._ran = Ran.UNKNOWN
        await self.close()

    async def _go_on(self) -> None:
        """Open a run that goes on behind the last event that was passed on.

        :raises StreamBrokenError: when that is not allowed or no target does it.
        """
        while self._repeatable and self._time_is_left() and self._choose():
            try:
                first = await self._next()
            except TargetFault as fault:
                await self._leave(fault)
                continue
            if isinstance(first, StreamStart):
                return
            await self._leave(TargetFault("no stream to go on with", Ran.UNKNOWN))
        raise StreamBrokenError(f"after event {self._last_event_id}: {self._told()}")

    def _note_outcome(self, outcome: str) -> None:
        if self._target is not None:
            now_s = asyncio.get_running_loop().time()
            self._trail.ended(self._target.instance, outcome, now_s)

    def _told(self) -> str:
        return self._trail.told(asyncio.get_running_loop().time())

    def _time_is_left(self) -> bool:
        return asyncio.get_running_loop().time() < self._end_s - RETURN_MARGIN_S

    def _check_time(self) -> None:
        if not self._time_is_left():
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no stream in time; {self._told()}",
                ran=self._ran,
            )

    def _give_up(self) -> TargetAnswer:
        """Return the failure that a target gave, or raise our own."""
        if self._spoilt is not None:
            return self._spoilt
        if is_barred(self._verdict):
            raise barred(self._verdict, self._ran, self._told())
        raise unanswered(self._ran, self._told())
