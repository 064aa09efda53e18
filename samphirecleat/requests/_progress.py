"""Detection of silent connections.

A connection can stop delivering data for good while new connections between the
same endpoints work. To the waiting side this looks the same as a slow answer.
After a period without data it therefore asks, on a new connection, for the
progress of the request and compares it with what it has received.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, TypeVar

T = TypeVar("T")
DELIVERY_GRACE_S: Final = 0.5
QUEUED_PERIODS_FACTOR: Final = 4


class RunState(Enum):
    """State of a request at the side that executes it."""

    WAITING = "waiting"
    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class RequestStatus:
    """Status of a request, as reported by the remote side.

    ``progress`` is in the unit of :meth:`SilenceDetector.record_progress`.
    """

    state: RunState
    progress: int


@dataclass(frozen=True)
class StatusUnavailable:
    """The remote side responds but does not report the status of single requests.

    ``queued`` is true if it reports that requests are waiting in its queue.
    """

    queued: bool = False


@dataclass(frozen=True)
class Unreachable:
    """The remote side does not respond on a new connection either."""


ProbeResult = RequestStatus | StatusUnavailable | Unreachable


@dataclass(frozen=True)
class Slow:
    """The request is in progress; keep waiting."""


@dataclass(frozen=True)
class Silent:
    """No more data will arrive on this connection; ``detail`` says why."""

    detail: str


class SilentConnectionError(Exception):
    """The connection is considered dead; the outcome of the request is unknown."""


def classify_silence(
    probe: ProbeResult, received: int | None, quiet_periods: int, max_quiet_periods: int | None
) -> Slow | Silent:
    """Classify a quiet connection as slow or silent after a probe.

    ``received`` is the progress received so far, or None if the answer arrives as
    a whole. ``max_quiet_periods`` limits the wait for a remote side that does not
    report the status of single requests; None means no limit but the deadline.
    While such a side has sent nothing and reports a queue, the limit is multiplied
    by ``QUEUED_PERIODS_FACTOR``.
    """
    match probe:
        case Unreachable():
            return Silent("no response on a new connection either")
        case StatusUnavailable(queued=queued):
            may_be_queued = queued and not received
            factor = QUEUED_PERIODS_FACTOR if may_be_queued else 1
            if max_quiet_periods is not None and quiet_periods >= max_quiet_periods * factor:
                return Silent(f"no data received in {quiet_periods} periods")
            return Slow()
        case RequestStatus(state=RunState.UNKNOWN):
            return Silent("the remote side does not know the request")
        case RequestStatus(state=RunState.ENDED):
            return Silent("the request has ended but its answer did not arrive")
        case RequestStatus(state=RunState.RUNNING, progress=progress):
            if received is not None and progress > received:
                return Silent(f"remote progress is {progress}, received only {received}")
            return Slow()
        case RequestStatus():
            return Slow()


class SilenceDetector:
    """Waits on the connection of one request and fails the wait once it is silent.

    Use it as an asynchronous context manager around all waits of one request. A
    single guard task per request does the timing, because :meth:`wait` is called
    for every token and must be cheap.
    """

    def __init__(
        self,
        probe: Callable[[], Awaitable[ProbeResult]],
        *,
        period_s: float,
        counts_progress: bool,
        max_quiet_periods: int | None = None,
    ) -> None:
        """Call ``probe`` after each ``period_s`` seconds that a wait lasts.

        With ``counts_progress`` the reported progress is compared with what
        :meth:`record_progress` has counted.
        """
        self._probe = probe
        self._period_s = period_s
        self._received: int | None = 0 if counts_progress else None
        self._max_quiet_periods = max_quiet_periods
        self._waiter: asyncio.Task[Any] | None = None
        self._waits = 0
        self._silence_detail = ""
        self._guard: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "SilenceDetector":
        """Start the guard task."""
        self._guard = asyncio.get_running_loop().create_task(self._guard_waits())
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Cancel the guard task."""
        assert self._guard is not None
        self._guard.cancel()

    def record_progress(self, amount: int) -> None:
        """Add received progress, in the unit that the remote side reports."""
        if self._received is not None:
            self._received += amount

    async def wait(self, operation: Awaitable[T]) -> T:
        """Await ``operation`` and return its result.

        :raises SilentConnectionError: when the connection is considered dead.
        """
        self._waits += 1
        self._waiter = asyncio.current_task()
        try:
            return await operation
        except asyncio.CancelledError:
            if not self._silence_detail:
                raise
            # The guard cancelled this wait. A remaining cancellation is someone else's.
            if self._waiter is not None and self._waiter.uncancel() > 0:
                raise
            raise SilentConnectionError(self._silence_detail) from None
        finally:
            self._waiter = None

    async def _guard_waits(self) -> None:
        """Probe whenever one wait has lasted a period; cancel it if the connection is silent."""
        quiet_periods = 0
        while True:
            wait_number = self._waits
            await asyncio.sleep(self._period_s)
            if self._waiter is None or self._waits != wait_number:
                quiet_periods = 0
                continue
            quiet_periods += 1
            probe = await self._probe()
            match classify_silence(probe, self._received, quiet_periods, self._max_quiet_periods):
                case Silent(detail=detail):
                    # The progress that the probe reports may have been sent just
                    # before; a working connection delivers it within the grace period.
                    await asyncio.sleep(min(DELIVERY_GRACE_S, self._period_s))
                    if self._waiter is not None and self._waits == wait_number:
                        self._silence_detail = detail
                        self._waiter.cancel()
                        return
