"""How long calls of one service take at this node, with their spread.

Kept apart so that the estimate can be tested alone: a bad one either refuses
calls that could be answered or starts calls that end after their deadline.
"""

from typing import Final

SMOOTHING: Final = 0.1
FIRST_GUESS_S: Final = 0.1
SPREADS_ABOVE_MEAN: Final = 2.0


class ServiceTime:
    """A moving mean of durations and of their distance from it."""

    def __init__(self) -> None:
        """Begin with a guess that the first calls replace."""
        self._count = 0
        self._mean_s = FIRST_GUESS_S
        self._spread_s = 0.0

    @property
    def mean_s(self) -> float:
        """The mean duration of late."""
        return self._mean_s

    @property
    def upper_s(self) -> float:
        """A duration that few calls exceed."""
        return self._mean_s + SPREADS_ABOVE_MEAN * self._spread_s

    def note(self, took_s: float) -> None:
        """Record a duration; the first few weigh as in a plain mean."""
        self._count += 1
        weight = max(SMOOTHING, 1.0 / self._count)
        distance_s = took_s - self._mean_s
        self._mean_s += weight * distance_s
        if self._count > 1:
            self._spread_s += weight * (abs(distance_s) - self._spread_s)
