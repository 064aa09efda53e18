"""True time, as most hosts have it.

Windows of usage follow true time, and a host's time of day may jump. The clock that counts since
the host's start does not; what has to be known is by how much the two differ. Each node says what
its own time of day is, and the median over the fleet decides: a host that is wrong moves it by no
more than the others differ.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

# With fewer samples than this nobody can be outvoted, and the own clock stands.
LEAST_SAMPLES: Final = 3
# Samples that were taken before the host stood still say nothing of the time after it.
STOOD_STILL_S: Final = 0.05


class ClockSample(NamedTuple):
    """What a node took for the time of day, and when that was on this node's loop."""

    time_of_day_s: float
    at_loop_s: float


class TrueClock:
    """Turns this node's loop time into true time."""

    def __init__(
        self,
        loop_time_s: Callable[[], float],
        boot_time_s: Callable[[], float],
        time_of_day_s: Callable[[], float],
    ) -> None:
        """Start from the host's own time of day."""
        self._loop_time_s = loop_time_s
        self._boot_time_s = boot_time_s
        self._offset_s = time_of_day_s() - boot_time_s()
        self._lag_s = boot_time_s() - loop_time_s()
        self._samples_count_from_s = -1.0

    def synchronize(self, samples: Sequence[ClockSample]) -> float:
        """Take what the nodes of the fleet, this one among them, say; return the correction."""
        now_loop_s, now_boot_s = self._loop_time_s(), self._boot_time_s()
        lag_s = now_boot_s - now_loop_s
        if abs(lag_s - self._lag_s) > STOOD_STILL_S:
            self._samples_count_from_s = now_loop_s
        self._lag_s = lag_s
        offsets_s = [
            sample.time_of_day_s + (now_loop_s - sample.at_loop_s) - now_boot_s
            for sample in samples
            if sample.at_loop_s > self._samples_count_from_s
        ]
        if len(offsets_s) < LEAST_SAMPLES:
            return 0.0
        before_s, self._offset_s = self._offset_s, _median(offsets_s)
        return self._offset_s - before_s

    def now_s(self) -> float:
        """Return the true time, in seconds since 1970."""
        return self._offset_s + self._boot_time_s()

    def time_at_s(self, loop_s: float) -> float:
        """Return the true time at a time of the loop that is not long ago."""
        return self.now_s() - (self._loop_time_s() - loop_s)


def _median(values: Sequence[float]) -> float:
    """Return the median; the library's module for it would take a megabyte at every node."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[-middle - 1]) / 2.0
