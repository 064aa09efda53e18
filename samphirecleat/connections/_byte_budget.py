"""Accounting of the bytes that a node holds for its callers, against a limit.

Bodies of requests that wait and responses that callers read slowly would otherwise use up the
memory of a node. Work that is not accepted yet is admitted only within the limit. Bytes of accepted
work are always counted, even beyond the limit, and are never dropped.

Pure: performs no I/O; the clock is passed in.
"""

from collections.abc import Callable
from types import TracebackType
from typing import Final

# Up to this share of the limit, anything is admitted. Otherwise a body of almost the whole limit
# would be refused for as long as any other call is open. The limit is then exceeded by at most one
# body.
ALWAYS_ADMITTED_SHARE: Final = 0.5
# Share of the limit that reads of results may fill, so that calls are still admitted while many
# readers of large pages are slow. From this share on, space is short.
READ_SHARE: Final = 0.75
# Space also counts as short for this long after a refusal.
SHORT_AFTER_REFUSAL_S: Final = 2.0
# Bounds of the time after which a refused caller may retry. Within the upper one, transfers without
# progress have been ended.
MIN_RETRY_S: Final = 0.1
MAX_RETRY_S: Final = 2.0
# Interval over which the rate of releases is measured.
RATE_WINDOW_S: Final = 0.5


class ByteBudget:
    """The bytes that a node holds, in total."""

    def __init__(self, limit_bytes: int, clock: Callable[[], float]) -> None:
        """Admit up to ``limit_bytes``; ``clock`` returns seconds that never go back."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._clock = clock
        self._refused_at_s = -SHORT_AFTER_REFUSAL_S
        self._window_began_s = clock()
        self._window_bytes = 0
        self._rate_per_s = 0.0

    def try_hold(self, size_bytes: int, share: float = 1.0) -> bool:
        """Count the bytes of new work if they fit into a share of the limit.

        Returns False without counting them if they don't fit.
        """
        fits = self.held_bytes + size_bytes <= self.limit_bytes * share
        if not fits and self.held_bytes > self.limit_bytes * ALWAYS_ADMITTED_SHARE:
            self._refused_at_s = self._clock()
            return False
        self.held_bytes += size_bytes
        return True

    def hold(self, size_bytes: int) -> None:
        """Count the bytes of accepted work, also beyond the limit."""
        self.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Stop counting bytes that were counted before."""
        self.held_bytes -= size_bytes
        now_s = self._clock()
        if now_s - self._window_began_s > RATE_WINDOW_S:
            self._rate_per_s = self._window_bytes / (now_s - self._window_began_s)
            self._window_began_s, self._window_bytes = now_s, 0
        self._window_bytes += size_bytes

    def is_short(self) -> bool:
        """Whether slow transfers now keep other callers from being served, or soon will."""
        if self.held_bytes > self.limit_bytes * READ_SHARE:
            return True
        return self._clock() - self._refused_at_s < SHORT_AFTER_REFUSAL_S

    def retry_after_s(self, size_bytes: int, share: float = 1.0) -> float:
        """Return when ``size_bytes`` will fit at the recent rate of releases, in seconds."""
        excess_bytes = self.held_bytes + size_bytes - self.limit_bytes * share
        if excess_bytes <= 0.0:
            return MIN_RETRY_S
        window_s = max(RATE_WINDOW_S, self._clock() - self._window_began_s)
        rate_per_s = max(self._window_bytes / window_s, self._rate_per_s)
        if excess_bytes >= rate_per_s * MAX_RETRY_S:
            return MAX_RETRY_S
        return max(MIN_RETRY_S, excess_bytes / rate_per_s)


class ByteLease:
    """The bytes that one request holds; closing it releases all of them.

    A context manager, so that they are released however the request ends.
    """

    __slots__ = ("_budget", "held_bytes")

    def __init__(self, budget: ByteBudget) -> None:
        """Hold nothing yet of ``budget``."""
        self._budget = budget
        self.held_bytes = 0

    def __enter__(self) -> "ByteLease":
        """Return the lease."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release everything."""
        self.replace(0)

    def try_hold(self, size_bytes: int, share: float = 1.0) -> bool:
        """Hold more bytes for new work; see :meth:`ByteBudget.try_hold`."""
        if not self._budget.try_hold(size_bytes, share):
            return False
        self.held_bytes += size_bytes
        return True

    def replace(self, size_bytes: int) -> None:
        """Hold ``size_bytes`` for accepted work, instead of everything that is held now."""
        if size_bytes > self.held_bytes:
            self._budget.hold(size_bytes - self.held_bytes)
        elif size_bytes < self.held_bytes:
            self._budget.release(self.held_bytes - size_bytes)
        self.held_bytes = size_bytes
