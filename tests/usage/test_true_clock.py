"""Estimation of true time from the wall clocks of hosts."""

import pytest

from samphirecleat.usage import ClockSample, TrueClock


class Host:
    """Clocks of a host, advanced by the test."""

    def __init__(self, ahead_s: float = 0.0) -> None:
        self.loop_s = 10.0
        self.boot_s = 100.0
        self.ahead_s = ahead_s

    def wall_clock_s(self) -> float:
        return 1_000_000.0 + self.boot_s - 100.0 + self.ahead_s

    def clock(self) -> TrueClock:
        return TrueClock(lambda: self.loop_s, lambda: self.boot_s, self.wall_clock_s)

    def advance(self, duration_s: float) -> None:
        self.loop_s += duration_s
        self.boot_s += duration_s


def samples(host: Host, *ahead_s: float, age_s: float = 0.0) -> list[ClockSample]:
    true_s = 1_000_000.0 + host.boot_s - 100.0
    return [ClockSample(true_s + ahead - age_s, host.loop_s - age_s) for ahead in ahead_s]


def test_a_wrong_wall_clock_is_corrected_by_the_other_hosts() -> None:
    """Guards against calls counted in the wrong window by a node whose wall clock was off."""
    host = Host(ahead_s=5.0)
    clock = host.clock()
    assert clock.now_s() == pytest.approx(1_000_005.0, rel=0.0, abs=0.01)
    assert clock.synchronize(samples(host, 5.0, 0.01, 0.0, -0.01, 0.0)) == pytest.approx(
        -5.0, rel=0.0, abs=0.02
    )
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.02)
    assert clock.time_at_s(host.loop_s - 3.0) == pytest.approx(999_997.0, rel=0.0, abs=0.02)


@pytest.mark.parametrize("step_s", [-2.0, 2.0, 1e6])
def test_a_jump_of_the_own_wall_clock_has_no_effect(step_s: float) -> None:
    """Guards against calls counted in the wrong window after the wall clock was set."""
    host = Host()
    clock = host.clock()
    host.ahead_s = step_s
    host.advance(1.0)
    clock.synchronize(samples(host, step_s, 0.0, 0.0, 0.0, 0.0))
    assert clock.now_s() == pytest.approx(1_000_001.0, rel=0.0, abs=0.01)


def test_a_minority_of_wrong_clocks_has_no_effect() -> None:
    host = Host()
    clock = host.clock()
    clock.synchronize(samples(host, 0.0, 0.001, -0.002, 30.0, 30.0))
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.01)


def test_two_samples_have_no_effect() -> None:
    host = Host()
    clock = host.clock()
    assert clock.synchronize(samples(host, 0.0, 9.0)) == 0.0


def test_the_age_of_samples_is_added() -> None:
    host = Host()
    clock = host.clock()
    clock.synchronize(samples(host, 0.0, 0.0, 0.0, age_s=4.0))
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.01)


def test_samples_from_before_a_suspension_are_discarded() -> None:
    """Guards against a wrong offset: old samples seem too early by the time of the suspension."""
    host = Host()
    clock = host.clock()
    old = samples(host, 0.0, 0.0, 0.0, 0.0)
    host.boot_s += 6.0
    clock.synchronize(old)
    assert clock.now_s() == pytest.approx(1_000_006.0, rel=0.0, abs=0.01)
    host.advance(1.0)
    clock.synchronize(samples(host, 0.0, 0.0, 0.0))
    assert clock.now_s() == pytest.approx(1_000_007.0, rel=0.0, abs=0.01)
