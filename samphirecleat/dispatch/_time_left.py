"""Recognizes callers that have been refused before by how little time they have left.

Load addressed: a refused caller retries once, with a new request id and on any node. Nothing in its
request says so, but it has less time left than the other callers of its route.
"""

from collections import deque
from typing import Final

# Share of the usual time left below which a caller counts as returning.
RETURNING_SHARE: Final = 0.9
# Calls from which the usual time is taken, and after how many it is computed again. The percentile
# is the usual time also while up to three quarters of the callers are returning ones.
WINDOW: Final = 256
REFRESH_CALLS: Final = 32
USUAL_PERCENTILE: Final = 0.75


class TimeLeft:
    """The time that recent calls of one route had left on arrival."""

    def __init__(self) -> None:
        """Start without calls; none counts as returning until some have arrived."""
        self._lefts_s: deque[float] = deque(maxlen=WINDOW)
        self._usual_s = 0.0
        self._until_refresh = 1

    def is_returning(self, left_s: float) -> bool:
        """Record a call; return whether it has clearly less time left than is usual."""
        self._lefts_s.append(left_s)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._until_refresh = min(REFRESH_CALLS, len(self._lefts_s))
            ordered = sorted(self._lefts_s)
            self._usual_s = ordered[int(USUAL_PERCENTILE * (len(ordered) - 1))]
        return left_s < RETURNING_SHARE * self._usual_s
