"""A monotonic clock that includes the time during which the host was suspended.

The event loop's clock stops while the host is suspended. After a resume, state that was
confirmed just before the suspension would appear fresh, although other nodes may have changed
it since. The age of state that other nodes can change is therefore measured with this clock.
"""

import time


def boot_time_s() -> float:
    """Return the seconds since the host booted, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
