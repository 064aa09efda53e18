"""Books the times at which refused callers may retry.

Load addressed: callers arrive several times faster than a service can serve them, and each refused
caller retries once. If all are given the same delay, most of them are refused a second time.
"""

import math
from typing import Final

BUCKET_S: Final = 0.05
# Share of a bucket's capacity that may be booked; the rest is left to callers that come for the
# first time and to errors of the estimate.
BOOKED_SHARE: Final = 0.8
# A caller waits for at most this share of the time it has left.
MAX_DELAY_SHARE: Final = 1.0 / 3.0
# The delay is at least this share of the time left. A caller that returns sooner has about as much
# time left as callers that come for the first time, and would be queued as one of them.
MIN_DELAY_SHARE: Final = 0.12


class ReturnSchedule:
    """Refused callers that are expected back, by buckets of time.

    A bucket's bookings are bounded by ``BOOKED_SHARE`` of the capacity that is left for them in it.
    ``overflows`` is the number of callers for whom no bucket had capacity.
    """

    def __init__(self) -> None:
        """Start without bookings."""
        self._booked: dict[int, int] = {}
        self._first = 0
        self.overflows = 0

    def book(self, now_s: float, left_s: float, rate_per_s: float, drain_s: float = 0.0) -> float:
        """Book a retry and return its delay in seconds.

        It is the first time with free capacity that is no sooner than ``drain_s``, and at most a
        third of ``left_s``. If there is none, the delay is that third.
        """
        delay_s = self.free_delay_s(now_s, left_s, rate_per_s, drain_s)
        if delay_s is None:
            self.overflows += 1
            delay_s = left_s * MAX_DELAY_SHARE
        else:
            bucket = int((now_s + delay_s) / BUCKET_S)
            self._booked[bucket] = self._booked.get(bucket, 0) + 1
        return delay_s

    def free_delay_s(
        self, now_s: float, left_s: float, rate_per_s: float, drain_s: float = 0.0
    ) -> float | None:
        """Return the delay that ``book`` would book, None if no bucket has free capacity."""
        self._drop_past(now_s)
        earliest_s = now_s + max(drain_s, left_s * MIN_DELAY_SHARE)
        latest_s = now_s + left_s * MAX_DELAY_SHARE
        capacity = BOOKED_SHARE * rate_per_s * BUCKET_S
        if capacity <= 0.0 or earliest_s > latest_s:
            return None
        # Below one call per bucket, several buckets share one call.
        stride = max(1, math.ceil(1.0 / capacity))
        for bucket in range(int(earliest_s / BUCKET_S), int(latest_s / BUCKET_S) + 1):
            booked = self._booked.get(bucket, 0)
            if stride > 1:
                booked = sum(self._booked.get(bucket + n, 0) for n in range(1 - stride, stride))
            if booked + 1 > capacity * stride:
                continue
            # Numbers are spread evenly over the bucket in the order of booking.
            at_s = (bucket + (booked + 0.5) / max(1.0, capacity)) * BUCKET_S
            return min(latest_s, max(earliest_s, at_s)) - now_s
        return None

    def _drop_past(self, now_s: float) -> None:
        """Remove past buckets."""
        current = int(now_s / BUCKET_S)
        if current == self._first:
            return
        self._first = current
        for bucket in [b for b in self._booked if b < current - 1]:
            del self._booked[bucket]
