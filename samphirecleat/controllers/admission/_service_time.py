"""Estimates how long calls of one service take at this node.

A separate module, so that the estimate can be tested alone: a wrong one either
refuses calls that could be answered or starts calls that miss their deadline.
"""

from typing import Final

SMOOTHING: Final = 0.1
INITIAL_MEAN_S: Final = 0.1
DEVIATIONS_ABOVE_MEAN: Final = 2.0


class ServiceTime:
    """Exponential moving averages of call durations and of their absolute deviation."""

    def __init__(self) -> None:
        """Start with an initial estimate that the first call replaces."""
        self._count = 0
        self._mean_s = INITIAL_MEAN_S
        self._deviation_s = 0.0

    @property
    def mean_s(self) -> float:
        """The recent mean duration."""
        return self._mean_s

    @property
    def high_estimate_s(self) -> float:
        """A duration that few calls exceed: the mean plus two mean deviations."""
        return self._mean_s + DEVIATIONS_ABOVE_MEAN * self._deviation_s

    def record(self, duration_s: float) -> None:
        """Record a duration; the first few are weighted as in an arithmetic mean."""
        self._count += 1
        weight = max(SMOOTHING, 1.0 / self._count)
        distance_s = duration_s - self._mean_s
        self._mean_s += weight * distance_s
        if self._count > 1:
            self._deviation_s += weight * (abs(distance_s) - self._deviation_s)
