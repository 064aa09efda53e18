"""Estimates how many calls per second arrive.

Load addressed: a surge begins and ends within a fraction of a second, and what capacity is left for
callers that return depends on how many calls arrive for the first time.
"""

import math
from typing import Final

# Time constants of the estimate. The short one shows a surge before the queue is full; the long one
# keeps the estimate from falling in the gaps of a surge.
TIME_CONSTANTS_S: Final = (0.05, 0.3)


class ArrivalRate:
    """The larger of two exponentially weighted rates, which rises fast and falls slowly."""

    def __init__(self) -> None:
        """Start at zero."""
        self._rates_per_s = [0.0 for _ in TIME_CONSTANTS_S]
        self._seen_at_s = 0.0

    def record(self, now_s: float) -> None:
        """Count an arrival."""
        decayed = self._decayed(now_s)
        self._rates_per_s = [
            rate + 1.0 / constant_s
            for rate, constant_s in zip(decayed, TIME_CONSTANTS_S, strict=True)
        ]
        self._seen_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the arrivals per second."""
        return max(self._decayed(now_s))

    def _decayed(self, now_s: float) -> list[float]:
        elapsed_s = max(0.0, now_s - self._seen_at_s)
        return [
            rate * math.exp(-elapsed_s / constant_s)
            for rate, constant_s in zip(self._rates_per_s, TIME_CONSTANTS_S, strict=True)
        ]
