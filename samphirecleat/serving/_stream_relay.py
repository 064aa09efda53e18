"""Relays an event stream and resumes it at another target if a target breaks it off.

Streams have a few dozen events, 40 ms apart. A target may break a stream off, go silent in the
middle, or have been replaced before the stream began. A caller disconnects after about two seconds
without an event and then loses the whole answer.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import suppress
from typing import Final

from ..crashes import CrashVerdict, is_blocked
from ..errors import ErrorKind, Ran, RequestError
from ._attempt_log import AttemptLog
from ._call_attempts import MAX_REFUSALS, blocked_call_error, no_answer_error
from ._forwarder import Forwarder
from ._target_table import TargetTable
from ._types import (
    RETURN_MARGIN_S,
    Call,
    Route,
    StreamChannel,
    StreamEvent,
    StreamStart,
    Target,
    TargetAnswer,
    TargetFault,
)

# A run is abandoned if its target sends no event for this long. An engine that loads new weights
# pauses for one second, and callers disconnect after two seconds.
EVENT_TIMEOUT_S: Final = 1.4

_StreamItem = TargetAnswer | StreamStart | StreamEvent


def _release_nothing() -> None:
    """Do nothing; no run has been started."""


class StreamBrokenError(Exception):
    """A partly relayed stream can't be completed, so it must be cut off for the caller."""


class StreamRelay:
    """Opens streams along routes over a channel; there is one per process."""

    def __init__(self, forwarder: Forwarder, targets: TargetTable, channel: StreamChannel) -> None:
        """Select targets through ``forwarder`` and stream through ``channel``."""
        self.forwarder = forwarder
        self.targets = targets
        self.channel = channel

    async def open(
        self, call: Call, route: Route, last_event_id: int
    ) -> "TargetAnswer | RelayedStream":
        """Return the stream of a call, or a complete answer that a target gave instead.

        ``last_event_id`` is the event after which the caller resumes, 0 to start at the beginning.

        :raises RequestError: when there is neither; ``ran`` is NO only if no target can have run
            the call.
        """
        stream = RelayedStream(self, call, route, last_event_id)
        answer = await stream.begin()
        return stream if answer is None else answer


class RelayedStream:
    """The stream of one call; if a target fails, the next one continues it."""

    def __init__(self, relay: StreamRelay, call: Call, route: Route, last_event_id: int) -> None:
        """Prepare the stream; nothing is sent yet."""
        self._relay = relay
        self._call = call
        self._route = route
        self._deadline_s = call.deadline_s
        if route.timeout_s > 0.0:
            self._deadline_s = min(self._deadline_s, call.received_at_s + route.timeout_s)
        self._services = relay.forwarder.select_services(route)
        self._tried: list[str] = []
        self._attempts_used = 0
        self._refusal_count = 0
        self._ran = Ran.NO
        self._failure_answer: TargetAnswer | None = None
        self._attempt_log = AttemptLog()
        self._last_event_id = last_event_id
        self._target: Target | None = None
        self._source: AsyncGenerator[_StreamItem, None] | None = None
        self._repeatable = route.resumable
        self._metered = False
        self._crash_verdict = CrashVerdict.CLEAR
        self._suspect_wait = relay.forwarder.suspect_wait(call, self._services, self._deadline_s)
        self._run_started_s = 0.0
        self._release: Callable[[], None] = _release_nothing
        self.start = StreamStart(0, (), 0)

    async def begin(self) -> TargetAnswer | None:
        """Return None once a target streams, or a complete answer that a target gave instead.

        :raises RequestError: when there is neither.
        """
        while True:
            self._require_time_left()
            if not await self._start_run_in_turn():
                await self._suspect_wait.await_announcement()
                return self._give_up()
            try:
                first = await self._next_item()
            except TargetFault as fault:
                await self._fail_run(fault)
                continue
            except asyncio.CancelledError:
                await self.close()
                raise
            match first:
                case StreamStart():
                    self.start = first
                    return None
                case TargetAnswer():
                    self._record_outcome(f"answered {first.status}")
                    self._relay.forwarder.record_answer(self._call)
                    await self.close()
                    if first.status >= 500 and self._repeatable:
                        self._failure_answer, self._ran = first, Ran.UNKNOWN
                        continue
                    return first
            await self._fail_run(TargetFault("stream sent an event before its head", Ran.UNKNOWN))

    async def events(self) -> AsyncGenerator[StreamEvent, None]:
        """Yield each complete event as it arrives, from whichever target runs the stream.

        :raises StreamBrokenError: when the stream can't be completed.
        """
        try:
            while True:
                try:
                    item = await self._next_item()
                    if item is None:
                        self._relay.forwarder.record_answer(self._call)
                        return
                    yield self._check_event(item)
                except TargetFault as fault:
                    await self._fail_run(fault)
                    await self._resume()
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection to the target, which ends the run there."""
        source, self._source = self._source, None
        if source is not None:
            with suppress(TargetFault):
                await source.aclose()
        if self._target is not None:
            self._release()
            self._target = None

    def _check_event(self, item: _StreamItem) -> StreamEvent:
        """Return the event to relay.

        :raises TargetFault: if the item isn't the next event.
        """
        if not isinstance(item, StreamEvent):
            raise TargetFault("stream sent a second head", Ran.UNKNOWN)
        if self._last_event_id and item.event_id != self._last_event_id + 1:
            detail = f"stream sent event {item.event_id} after {self._last_event_id}"
            raise TargetFault(detail, Ran.UNKNOWN)
        self._last_event_id = item.event_id
        if self._call.workspace and not self._metered:
            self._metered = True
            self._relay.forwarder.meter(self._call.workspace, asyncio.get_running_loop().time())
        return item

    async def _next_item(self) -> _StreamItem | None:
        """Return the target's next item, None at the end of its stream.

        :raises TargetFault: when nothing arrives in time.
        """
        assert self._source is not None
        left_s = self._deadline_s - RETURN_MARGIN_S - asyncio.get_running_loop().time()
        wait_s = min(left_s, EVENT_TIMEOUT_S) if self._repeatable else left_s
        try:
            async with asyncio.timeout(max(0.0, wait_s)):
                return await anext(self._source, None)
        except TimeoutError as error:
            raise TargetFault(f"silent for {wait_s:.2f} s", Ran.UNKNOWN) from error

    async def _start_run_in_turn(self) -> bool:
        """Start a run, after a wait if the call is suspect; return False if it can't be."""
        if self._attempts_used >= self._route.max_attempts or self._refusal_count >= MAX_REFUSALS:
            return False
        if self._ran is not Ran.NO and not self._repeatable:
            return False
        if not await self._suspect_wait.may_send():
            self._crash_verdict = CrashVerdict.HELD
            return False
        return self._start_run()

    def _start_run(self) -> bool:
        """Start a run at the next target; return False if the call is blocked or none is left."""
        loop = asyncio.get_running_loop()
        self._crash_verdict = self._relay.forwarder.crash_verdict(self._call)
        if is_blocked(self._crash_verdict):
            return False
        target = self._relay.forwarder.choose_target(self._services, self._tried, loop.time())
        if target is None:
            return False
        self._tried.append(target.instance)
        self._attempts_used += 1
        self._run_started_s = loop.time()
        self._target = target
        self._attempt_log.record_sent(target.instance, loop.time())
        suspect = self._crash_verdict is not CrashVerdict.CLEAR
        self._release = self._relay.forwarder.reserve(target, suspect=suspect)
        self._source = self._relay.channel.stream(
            self._call, target, self._deadline_s - loop.time(), self._last_event_id
        )
        return True

    async def _fail_run(self, fault: TargetFault) -> None:
        """Record a failed run and close it, so that another one can resume the stream."""
        self._record_outcome(fault.detail)
        if self._target is not None:
            now_s = asyncio.get_running_loop().time()
            self._relay.targets.record_failure(self._target, now_s, refused=fault.refused)
            await self._relay.forwarder.record_cut(
                self._call, self._target, self._run_started_s, fault
            )
        if fault.ran is Ran.NO:
            self._attempts_used -= 1
            self._refusal_count += 1
        else:
            self._ran = Ran.UNKNOWN
        await self.close()

    async def _resume(self) -> None:
        """Start a run that resumes after the last relayed event.

        :raises StreamBrokenError: when the stream may not be resumed or no target resumes it.
        """
        while self._repeatable and self._has_time_left() and await self._start_run_in_turn():
            try:
                first = await self._next_item()
            except TargetFault as fault:
                await self._fail_run(fault)
                continue
            if isinstance(first, StreamStart):
                return
            await self._fail_run(TargetFault("target didn't resume the stream", Ran.UNKNOWN))
        await self._suspect_wait.await_announcement()
        raise StreamBrokenError(f"after event {self._last_event_id}: {self._attempt_summary()}")

    def _record_outcome(self, outcome: str) -> None:
        if self._target is not None:
            now_s = asyncio.get_running_loop().time()
            self._attempt_log.record_outcome(self._target.instance, outcome, now_s)

    def _attempt_summary(self) -> str:
        return self._attempt_log.summary(asyncio.get_running_loop().time())

    def _has_time_left(self) -> bool:
        return asyncio.get_running_loop().time() < self._deadline_s - RETURN_MARGIN_S

    def _require_time_left(self) -> None:
        if not self._has_time_left():
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED,
                f"no stream in time; {self._attempt_summary()}",
                ran=self._ran,
            )

    def _give_up(self) -> TargetAnswer:
        """Return the latest answer that reported a failure.

        :raises RequestError: if there is no such answer.
        """
        if self._failure_answer is not None:
            return self._failure_answer
        if is_blocked(self._crash_verdict):
            raise blocked_call_error(
                self._crash_verdict,
                self._ran,
                self._attempt_summary(),
                self._suspect_wait.retry_after_s(),
            )
        raise no_answer_error(self._ran, self._attempt_summary())
