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

    A bucket's bookings are bounded by ``BOOKED_SHARE`` of what the service can do in it. Callers
    for whom no bucket had capacity are expected at the end of their longest delay; ``overflows``
    is their number.
    """

    def __init__(self) -> None:
        """Start without bookings."""
        self._booked: dict[int, int] = {}
        self._expected: dict[int, int] = {}
        self._first = 0
        self._last = 0
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
        bucket = int((now_s + delay_s) / BUCKET_S)
        self._expected[bucket] = self._expected.get(bucket, 0) + 1
        self._last = max(self._last, bucket)
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

    def record_return(self, now_s: float) -> None:
        """Count a returning caller's arrival, so that it is not expected any longer."""
        bucket = int(now_s / BUCKET_S)
        for nearest in (bucket, bucket - 1, bucket + 1):
            if self._expected.get(nearest, 0) > 0:
                self._expected[nearest] -= 1
                return

    def drain_s(self, now_s: float, calls: float, rate_per_s: float, horizon_s: float) -> float:
        """Return the time until ``calls`` calls and the returns due before it have started.

        It is infinite if that takes longer than ``horizon_s``. After the last expected return, as
        many are assumed as before: an overload that lasts brings more callers.
        """
        if rate_per_s <= 0.0:
            return math.inf
        if not self._expected:
            return calls / rate_per_s if calls <= rate_per_s * horizon_s else math.inf
        later = self._expected_later(now_s)
        at_s = now_s
        while at_s <= now_s + horizon_s:
            bucket = int(at_s / BUCKET_S)
            end_s = (bucket + 1) * BUCKET_S
            span_s = max(1e-6, end_s - at_s)
            # What is left of the current bucket brings what is still expected of it.
            expected = self._expected.get(bucket, later if bucket > self._last else 0)
            free = span_s * rate_per_s - expected
            if calls <= free:
                return at_s + calls * span_s / max(free, 1e-9) - now_s
            calls -= free
            at_s = end_s + 1e-9
        return math.inf

    def _expected_later(self, now_s: float) -> float:
        """Return the mean number of returns in the buckets that lie ahead."""
        current = int(now_s / BUCKET_S)
        if self._last <= current:
            return 0.0
        ahead = sum(n for bucket, n in self._expected.items() if bucket > current)
        return ahead / (self._last - current)

    def _drop_past(self, now_s: float) -> None:
        """Remove past buckets, except for the latest one, whose callers may still arrive."""
        current = int(now_s / BUCKET_S)
        if current == self._first:
            return
        self._first = current
        for buckets in (self._booked, self._expected):
            for bucket in [b for b in buckets if b < current - 1]:
                del buckets[bucket]
