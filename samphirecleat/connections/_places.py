"""The connections that the clients of a process may hold at the same time."""

from typing import Final, Protocol

from ..observe import Observer
from ._refusal_log import RefusalLog
from ._refusals import Refusal
from ._stage import Stage

# Descriptors that are not available for sockets.
RESERVED_DESCRIPTORS: Final = 200
# Share of the other descriptors for connections of clients; the rest is for connections that the
# process opens itself, to targets, to other nodes and to the platform's store.
CLIENT_SHARE: Final = 1 / 2
# Share of the memory for connections without a body or an answer, and what one of them takes.
MEMORY_SHARE: Final = 1 / 4
CONNECTION_BYTES: Final = 20_000
MIN_PLACES: Final = 16
# A body of which nothing arrived for this long, or an answer of which nothing was taken, may be
# given up for a new connection.
MIN_STALL_S: Final = 2.0


def max_client_connections(descriptors: float, memory_mb: float) -> int:
    """Return how many connections of clients fit into the descriptors and the memory."""
    by_descriptors = (descriptors - RESERVED_DESCRIPTORS) * CLIENT_SHARE
    by_memory = memory_mb * 1_000_000 * MEMORY_SHARE / CONNECTION_BYTES
    return max(MIN_PLACES, int(min(by_descriptors, by_memory)))


class Occupant(Protocol):
    """A connection that holds a place."""

    def evict(self) -> None:
        """Close the connection at once, without an answer."""
        ...

    def progressed_at_s(self, now_s: float) -> float:
        """Return when the client was last seen to make progress, in the time of the event loop."""
        ...


class Places:
    """Places of the connections to all listeners of a process.

    When all are taken, a new connection gets the place of one that has never carried a request, or
    else of one that is idle, or else of one whose body stopped arriving or whose answer is not
    read, the oldest first. A connection whose request runs keeps its place.
    """

    def __init__(self, max_connections: int, log: RefusalLog, observer: Observer) -> None:
        """Provide ``max_connections`` places."""
        self.max_connections = max_connections
        self._log = log
        self._observer = observer
        # One for each stage, in the order in which connections reached it.
        self._by_stage: list[dict[Occupant, None]] = [{} for _ in Stage]
        self._open = 0

    def enter(self, occupant: Occupant, peer: object, now_s: float) -> bool:
        """Give a new connection a place; return False if there is none."""
        if self._open >= self.max_connections and not self._make_room(now_s):
            self._log.record(Refusal.NO_PLACE, peer)
            return False
        self._open += 1
        self._by_stage[Stage.NEW][occupant] = None
        self._observer.counters["connections_open"] = self._open
        return True

    def move(self, occupant: Occupant, before: Stage, after: Stage) -> None:
        """Record that a connection's stage changed."""
        if occupant in self._by_stage[before]:
            del self._by_stage[before][occupant]
            self._by_stage[after][occupant] = None

    def leave(self, occupant: Occupant, stage: Stage) -> None:
        """Free the place of a connection; does nothing if it has none."""
        if occupant in self._by_stage[stage]:
            del self._by_stage[stage][occupant]
            self._open -= 1
            self._observer.counters["connections_open"] = self._open

    def _make_room(self, now_s: float) -> bool:
        for stage in (Stage.NEW, Stage.IDLE, Stage.RECEIVING, Stage.UNREAD):
            occupant = next(iter(self._by_stage[stage]), None)
            if occupant is None:
                continue
            may_progress = stage in (Stage.RECEIVING, Stage.UNREAD)
            if may_progress and now_s - occupant.progressed_at_s(now_s) < MIN_STALL_S:
                continue
            occupant.evict()
            self.leave(occupant, stage)
            return True
        return False
