"""Bookings of refused callers' retries."""

from collections import Counter

import pytest

from samphirecleat.dispatch._returns import BUCKET_S, ReturnSchedule
from samphirecleat.dispatch._time_left import TimeLeft


@pytest.mark.parametrize("rate_per_s", [7.0, 100.0, 720.0])
def test_bookings_stay_below_the_capacity_of_each_time(rate_per_s: float) -> None:
    """Guards against callers that are told to retry together and are refused a second time."""
    returns = ReturnSchedule()
    at_s = []
    while not returns.overflows:
        delay_s = returns.book(10.0, 2.0, rate_per_s, drain_s=0.3)
        at_s.append(10.0 + delay_s)
        assert 0.3 <= delay_s <= 2.0 / 3 + 1e-9
    at_s.pop()
    assert len(at_s) >= 0.8 * rate_per_s * (2.0 / 3 - 0.3) * 0.8 - 1
    for span in (1, 7):
        by_span = Counter(int(s / (span * BUCKET_S)) for s in at_s)
        assert max(by_span.values()) <= max(1.0, 0.8 * rate_per_s * span * BUCKET_S + 1e-9)
    # Nobody is told a time later than a third of the time left.
    assert returns.book(10.0, 2.0, rate_per_s) <= 2.0 / 3 + 1e-9


def test_returning_caller_is_recognized_by_its_time_left() -> None:
    """Guards against refusing a caller twice because its retry looks like a first try."""
    left = TimeLeft()
    assert not any(left.is_returning(2.0 - 0.01 * (n % 5)) for n in range(50))
    # The shortest delay of a booking is long enough for its caller to be recognized.
    delay_s = ReturnSchedule().book(10.0, 2.0, 1000.0)
    assert left.is_returning(2.0 - delay_s)
