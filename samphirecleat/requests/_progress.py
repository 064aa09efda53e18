"""Tells a silent connection from a slow one: by progress, and a probe on a new connection.

A connection can go silent for good while new ones between the same ends work.
Whoever waits on it sees just what it sees of a slow answer: nothing. So after a
period without progress the waiting side asks, on a new connection, how far the
request is, and compares that with what it has received.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, TypeVar

T = TypeVar("T")
GRACE_S: Final = 0.5
QUEUED_PATIENCE_FACTOR: Final = 4


class RunState(Enum):
    """How far a request is at the side that works on it."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RequestStatus:
    """What the other side says of one request; ``progress`` counts as the answer does."""

    state: RunState
    progress: int


@dataclass(frozen=True)
class StatusUnavailable:
    """The other side lives but cannot tell of one request.

    ``queued`` holds when it says that requests wait for their turn there.
    """

    queued: bool = False


@dataclass(frozen=True)
class Unreachable:
    """The other side gives no answer on a new connection either."""


ProbeResult = RequestStatus | StatusUnavailable | Unreachable


@dataclass(frozen=True)
class Slow:
    """The answer is on its way; keep waiting."""


@dataclass(frozen=True)
class Silent:
    """Nothing more will come on this connection."""

    detail: str


class SilentConnectionError(Exception):
    """The connection is taken for dead; the outcome of the request is not known."""


def classify_silence(
    probe: ProbeResult, received: int | None, quiet_periods: int, max_quiet_periods: int | None
) -> Slow | Silent:
    """Decide what a quiet connection is after a probe.

    ``received`` is the progress that came in, None where an answer comes only as
    a whole. ``max_quiet_periods`` is how many quiet periods a side that cannot tell of one
    request is given, None for as many as the deadline allows.
    """
    match probe:
        case Unreachable():
            return Silent("no answer on a new connection either")
        case StatusUnavailable(queued=queued):
            may_be_queued = queued and not received
            factor = QUEUED_PATIENCE_FACTOR if may_be_queued else 1
            if max_quiet_periods is not None and quiet_periods >= max_quiet_periods * factor:
                return Silent(f"nothing came in {quiet_periods} periods")
            return Slow()
        case RequestStatus(state=RunState.UNKNOWN):
            return Silent("the other side does not know the request")
        case RequestStatus(state=RunState.ENDED):
            return Silent("the request ended and its answer did not come")
        case RequestStatus(state=RunState.RUNNING, progress=progress):
            if received is not None and progress > received:
                return Silent(f"{progress} made and only {received} received")
            return Slow()
        case RequestStatus():
            return Slow()


class SilenceDetector:
    """Waits on one request's connection and gives up when it has gone silent.

    Used as an asynchronous context manager around all waits of one request. One
    guard task a request looks after it, so that a wait costs next to nothing:
    there is one for every token that passes.
    """

    def __init__(
        self,
        probe: Callable[[], Awaitable[ProbeResult]],
        *,
        period_s: float,
        counts_progress: bool,
        max_quiet_periods: int | None = None,
    ) -> None:
        """Probe after each ``period_s`` in which nothing came."""
        self._probe = probe
        self._period_s = period_s
        self._received: int | None = 0 if counts_progress else None
        self._max_quiet_periods = max_quiet_periods
        self._waiter: asyncio.Task[Any] | None = None
        self._waits = 0
        self._silence = ""
        self._guard: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "SilenceDetector":
        """Start the guard."""
        self._guard = asyncio.get_running_loop().create_task(self._watch())
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """End the guard."""
        assert self._guard is not None
        self._guard.cancel()

    def record_progress(self, amount: int) -> None:
        """Count what came in, in the unit in which the other side counts."""
        if self._received is not None:
            self._received += amount

    async def wait(self, step: Awaitable[T]) -> T:
        """Return the result of the next step of the answer.

        :raises SilentConnectionError: when the connection is taken for dead.
        """
        self._waits += 1
        self._waiter = asyncio.current_task()
        try:
            return await step
        except asyncio.CancelledError:
            if not self._silence:
                raise
            # The guard cancelled this wait, and nobody else did.
            if self._waiter is not None and self._waiter.uncancel() > 0:
                raise
            raise SilentConnectionError(self._silence) from None
        finally:
            self._waiter = None

    async def _watch(self) -> None:
        """Probe whenever one wait has lasted a period, and end it when that says so."""
        quiet_periods = 0
        while True:
            wait = self._waits
            await asyncio.sleep(self._period_s)
            if self._waiter is None or self._waits != wait:
                quiet_periods = 0
                continue
            quiet_periods += 1
            probe = await self._probe()
            match classify_silence(probe, self._received, quiet_periods, self._max_quiet_periods):
                case Silent(detail=detail):
                    # What the probe tells of may have been sent just before it was
                    # asked; a working connection brings it within the grace.
                    await asyncio.sleep(min(GRACE_S, self._period_s))
                    if self._waiter is not None and self._waits == wait:
                        self._silence = detail
                        self._waiter.cancel()
                        return
