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
from typing import Final, TypeVar

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
class NoStatus:
    """The other side lives but cannot tell of one request.

    ``queued`` holds when it says that requests wait for their turn there.
    """

    queued: bool = False


@dataclass(frozen=True)
class NoAnswer:
    """The other side gives no answer on a new connection either."""


Probe = RequestStatus | NoStatus | NoAnswer


@dataclass(frozen=True)
class Slow:
    """The answer is on its way; keep waiting."""


@dataclass(frozen=True)
class Silent:
    """Nothing more will come on this connection."""

    detail: str


class SilentConnectionError(Exception):
    """The connection is taken for dead; the outcome of the request is not known."""


def decide_silence(
    probe: Probe, received: int | None, quiet_periods: int, patience: int | None
) -> Slow | Silent:
    """Decide what a quiet connection is after a probe.

    ``received`` is the progress that came in, None where an answer comes only as
    a whole. ``patience`` is how many quiet periods a side that cannot tell of one
    request is given, None for as many as the deadline allows.
    """
    match probe:
        case NoAnswer():
            return Silent("no answer on a new connection either")
        case NoStatus(queued=queued):
            may_be_queued = queued and not received
            factor = QUEUED_PATIENCE_FACTOR if may_be_queued else 1
            if patience is not None and quiet_periods >= patience * factor:
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


class ProgressWatch:
    """Waits on one request's connection and gives up when it has gone silent."""

    def __init__(
        self,
        probe: Callable[[], Awaitable[Probe]],
        *,
        period_s: float,
        counts_progress: bool,
        patience: int | None = None,
    ) -> None:
        """Probe after each ``period_s`` in which nothing came."""
        self._probe = probe
        self._period_s = period_s
        self._received: int | None = 0 if counts_progress else None
        self._patience = patience

    def note_progress(self, amount: int) -> None:
        """Count what came in, in the unit in which the other side counts."""
        if self._received is not None:
            self._received += amount

    async def wait(self, step: Awaitable[T]) -> T:
        """Return the result of the next step of the answer.

        :raises SilentConnectionError: when the connection is taken for dead.
        """
        task = asyncio.ensure_future(step)
        quiet_periods = 0
        try:
            while not await _is_done(task, self._period_s):
                quiet_periods += 1
                await self._check(task, quiet_periods)
            return task.result()
        finally:
            task.cancel()

    async def _check(self, task: "asyncio.Future[T]", quiet_periods: int) -> None:
        probe = await self._probe()
        match decide_silence(probe, self._received, quiet_periods, self._patience):
            case Silent(detail=detail):
                # What the probe tells of may have been sent just before it was
                # asked; a working connection brings it within the grace.
                if not await _is_done(task, min(GRACE_S, self._period_s)):
                    raise SilentConnectionError(detail)


async def _is_done(task: "asyncio.Future[T]", timeout_s: float) -> bool:
    await asyncio.wait({task}, timeout=timeout_s)
    return task.done()
