"""A clock that goes on while the host stands still.

The loop's clock does not count time in which a host was suspended. What was confirmed just
before would look fresh on waking, although others may have acted in between; so the age of
what others may change is taken on this clock.
"""

import time


def boot_time_s() -> float:
    """Return seconds since the host started, those of a suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
