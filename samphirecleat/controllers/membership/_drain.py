"""Drains a node: off the entry list first, then serving until nothing is cut off."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...blackboard import Blackboard
from ...observe import Observer
from ...settings import Timings

POLL_S: Final = 0.05
QUIET_S: Final = 0.5
SPREAD_HEARTBEATS: Final = 8
STOP_ROOM_S: Final = 5.0


class DrainView(NamedTuple):
    """What one step of a drain is decided from.

    ``spread_s`` is how long other nodes may still hand out this one; after that
    and ``entry_ttl_s`` no caller's kept entry list names it. ``max_deadline_s`` is the
    longest deadline that a request may have. ``in_flight`` counts requests, forwarded calls and
    runs; ``undelivered`` tells of samples that a trainer has yet to pull.
    """

    began_at_s: float
    entry_ttl_s: float
    spread_s: float
    max_deadline_s: float
    in_flight: int
    undelivered: bool
    last_busy_at_s: float


@dataclass(frozen=True)
class ServeAll:
    """Take what comes: kept entry lists may still name this node."""


@dataclass(frozen=True)
class FinishAccepted:
    """Refuse what is new, go on with what was accepted and answer its retries."""


@dataclass(frozen=True)
class Stop:
    """End the process. ``cut`` counts what had outlived every deadline."""

    cut: int


DrainStep = ServeAll | FinishAccepted | Stop


def decide_drain(view: DrainView, now_s: float) -> DrainStep:
    """Decide what a draining node does now.

    Everything that was accepted ends by its own deadline, so the bound on the
    whole drain only ends what hangs. A short quiet time lets a caller whose
    connection broke come back for an answer that is already there.
    """
    unnamed_from_s = view.began_at_s + view.entry_ttl_s + view.spread_s
    if now_s < unnamed_from_s:
        return ServeAll()
    if now_s >= unnamed_from_s + view.max_deadline_s:
        return Stop(view.in_flight)
    busy = view.in_flight > 0 or view.undelivered
    if busy or now_s - view.last_busy_at_s < QUIET_S:
        return FinishAccepted()
    return Stop(0)


def max_drain_s(timings: Timings) -> float:
    """Return how long a drain can take at most, with some room for the stop itself."""
    spread_s = SPREAD_HEARTBEATS * timings.heartbeat_s
    return timings.entry_ttl_s + spread_s + timings.max_deadline_s + STOP_ROOM_S


class Drain:
    """Drives :func:`decide_drain` for one node."""

    def __init__(
        self,
        board: Blackboard,
        observer: Observer,
        *,
        announce: Callable[[], None],
        in_flight: Callable[[], int],
        undelivered: Callable[[], bool],
        entry_ttl_s: float,
        heartbeat_s: float,
        max_deadline_s: float,
    ) -> None:
        """Tell the other nodes by ``announce``; ask the rest what is still to do."""
        self._board = board
        self._observer = observer
        self._announce = announce
        self._in_flight = in_flight
        self._undelivered = undelivered
        self._entry_ttl_s = entry_ttl_s
        self._spread_s = SPREAD_HEARTBEATS * heartbeat_s
        self._longest_s = max_deadline_s

    async def run(self) -> None:
        """Leave the entry list, finish everything, and return."""
        loop = asyncio.get_running_loop()
        log = self._observer.log("drain")
        began_at_s = last_busy_at_s = loop.time()
        self._board.leaving = True
        self._announce()
        log.info("Leaving; requests in flight: %d.", self._in_flight())
        while True:
            now_s = loop.time()
            view = self._view(began_at_s, last_busy_at_s)
            if view.in_flight or view.undelivered:
                last_busy_at_s = now_s
            match decide_drain(view, now_s):
                case ServeAll():
                    pass
                case FinishAccepted():
                    self._board.accepting = False
                case Stop(cut=cut):
                    self._board.accepting = False
                    log.info("Drained; requests cut off: %d.", cut)
                    return
            await asyncio.sleep(POLL_S)

    def _view(self, began_at_s: float, last_busy_at_s: float) -> DrainView:
        return DrainView(
            began_at_s=began_at_s,
            entry_ttl_s=self._entry_ttl_s,
            spread_s=self._spread_s,
            max_deadline_s=self._longest_s,
            in_flight=self._in_flight(),
            undelivered=self._undelivered(),
            last_busy_at_s=last_busy_at_s,
        )
