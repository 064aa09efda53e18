"""Estimates true time from the clocks of the fleet.

Usage windows follow true time, but the wall clock of a host may jump. The boot clock doesn't, so
only the offset between boot clock and true time is needed. Each node announces its wall clock, and
the median over the fleet is used: a wrong host shifts it by no more than the others differ.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, NamedTuple

from ..blackboard import MemberView

# With fewer samples there is no majority, and the offset stays unchanged.
MIN_SAMPLES: Final = 3
# The event loop's clock stops while the host is suspended, so samples from before a suspension
# longer than this are discarded.
SUSPENSION_THRESHOLD_S: Final = 0.05


class ClockSample(NamedTuple):
    """The wall clock of a node, and this node's event loop time at which it was received."""

    time_of_day_s: float
    at_loop_s: float


def clock_samples(members: Iterable[MemberView]) -> Sequence[ClockSample]:
    """Return the wall clocks that live members have told, without those that tell none."""
    return [
        ClockSample(view.member.time_of_day_ms / 1000.0, view.heard_at_s)
        for view in members
        if view.alive and view.member.time_of_day_ms
    ]


class TrueClock:
    """Converts this node's event loop time to true time."""

    def __init__(
        self,
        loop_time_s: Callable[[], float],
        boot_time_s: Callable[[], float],
        time_of_day_s: Callable[[], float],
    ) -> None:
        """Start from the host's own wall clock."""
        self._loop_time_s = loop_time_s
        self._boot_time_s = boot_time_s
        self._offset_s = time_of_day_s() - boot_time_s()
        self._loop_lag_s = boot_time_s() - loop_time_s()
        self._samples_valid_from_s = -1.0

    def synchronize(self, samples: Sequence[ClockSample]) -> float:
        """Update the offset from samples of all nodes, including this one.

        Returns the change of the offset in seconds, 0.0 if there were too few valid samples.
        """
        now_loop_s, now_boot_s = self._loop_time_s(), self._boot_time_s()
        loop_lag_s = now_boot_s - now_loop_s
        if abs(loop_lag_s - self._loop_lag_s) > SUSPENSION_THRESHOLD_S:
            self._samples_valid_from_s = now_loop_s
        self._loop_lag_s = loop_lag_s
        offsets_s = [
            sample.time_of_day_s + (now_loop_s - sample.at_loop_s) - now_boot_s
            for sample in samples
            if sample.at_loop_s > self._samples_valid_from_s
        ]
        if len(offsets_s) < MIN_SAMPLES:
            return 0.0
        previous_s, self._offset_s = self._offset_s, _median(offsets_s)
        return self._offset_s - previous_s

    def now_s(self) -> float:
        """Return the true time in seconds since the Unix epoch."""
        return self._offset_s + self._boot_time_s()

    def time_at_s(self, loop_s: float) -> float:
        """Return the true time at a recent event loop time."""
        return self.now_s() - (self._loop_time_s() - loop_s)


def _median(values: Sequence[float]) -> float:
    """Return the median; importing ``statistics`` would cost a megabyte of memory per node."""
    ordered = sorted(values)
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[-middle - 1]) / 2.0
