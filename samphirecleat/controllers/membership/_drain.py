"""Drains a node: leaves the entry list first, then serves until all requests ended."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...blackboard import Blackboard
from ...observe import Observer
from ...settings import Timings

POLL_S: Final = 0.05
IDLE_BEFORE_STOP_S: Final = 0.5
PROPAGATION_HEARTBEATS: Final = 8
SHUTDOWN_MARGIN_S: Final = 5.0


class DrainView(NamedTuple):
    """The input of :func:`decide_drain`.

    ``propagation_s`` is how long other nodes may still hand out this node's address;
    after that and ``entry_ttl_s`` no entry list cached by a caller contains it.
    ``max_deadline_s`` is the longest deadline that a request may have. ``in_flight``
    counts requests, forwarded calls and runs; ``undelivered`` is true while a trainer
    has samples left to pull.
    """

    started_at_s: float
    entry_ttl_s: float
    propagation_s: float
    max_deadline_s: float
    in_flight: int
    undelivered: bool
    last_busy_at_s: float


@dataclass(frozen=True)
class ServeAll:
    """Accept new requests: cached entry lists may still contain this node."""


@dataclass(frozen=True)
class FinishAccepted:
    """Refuse new requests; finish accepted ones and answer their retries."""


@dataclass(frozen=True)
class Stop:
    """End the process; ``cut`` counts requests still in flight after every deadline."""

    cut: int


DrainStep = ServeAll | FinishAccepted | Stop


def decide_drain(view: DrainView, now_s: float) -> DrainStep:
    """Return the next step of a draining node.

    Accepted requests end by their own deadlines, so the bound on the whole drain only
    cuts off requests that hang. A short idle time lets a caller whose connection broke
    retry and fetch an answer that already exists.
    """
    unlisted_at_s = view.started_at_s + view.entry_ttl_s + view.propagation_s
    if now_s < unlisted_at_s:
        return ServeAll()
    if now_s >= unlisted_at_s + view.max_deadline_s:
        return Stop(view.in_flight)
    busy = view.in_flight > 0 or view.undelivered
    if busy or now_s - view.last_busy_at_s < IDLE_BEFORE_STOP_S:
        return FinishAccepted()
    return Stop(0)


def max_drain_s(timings: Timings) -> float:
    """Return the maximum duration of a drain, including a margin for the shutdown itself."""
    propagation_s = PROPAGATION_HEARTBEATS * timings.heartbeat_s
    return timings.entry_ttl_s + propagation_s + timings.max_deadline_s + SHUTDOWN_MARGIN_S


class Drain:
    """Runs the drain of one node according to :func:`decide_drain`."""

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
        """Create a drain.

        ``announce`` tells the other nodes; ``in_flight`` and ``undelivered`` report the
        remaining work.
        """
        self._board = board
        self._observer = observer
        self._announce = announce
        self._in_flight = in_flight
        self._undelivered = undelivered
        self._entry_ttl_s = entry_ttl_s
        self._propagation_s = PROPAGATION_HEARTBEATS * heartbeat_s
        self._longest_s = max_deadline_s

    async def run(self) -> None:
        """Leave the entry list, finish accepted requests, and return."""
        loop = asyncio.get_running_loop()
        logger = self._observer.log("drain")
        started_at_s = last_busy_at_s = loop.time()
        self._board.leaving = True
        self._announce()
        logger.info("Draining; requests in flight: %d.", self._in_flight())
        while True:
            now_s = loop.time()
            view = self._view(started_at_s, last_busy_at_s)
            if view.in_flight or view.undelivered:
                last_busy_at_s = now_s
            match decide_drain(view, now_s):
                case ServeAll():
                    pass
                case FinishAccepted():
                    self._board.accepting = False
                case Stop(cut=cut):
                    self._board.accepting = False
                    logger.info("Drained; requests cut off: %d.", cut)
                    return
            await asyncio.sleep(POLL_S)

    def _view(self, started_at_s: float, last_busy_at_s: float) -> DrainView:
        return DrainView(
            started_at_s=started_at_s,
            entry_ttl_s=self._entry_ttl_s,
            propagation_s=self._propagation_s,
            max_deadline_s=self._longest_s,
            in_flight=self._in_flight(),
            undelivered=self._undelivered(),
            last_busy_at_s=last_busy_at_s,
        )
