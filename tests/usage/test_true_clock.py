"""True time from what hosts take for the time of day."""

import pytest

from samphirecleat.usage import ClockSample, TrueClock


class Host:
    """A host's clocks, moved by hand."""

    def __init__(self, ahead_s: float = 0.0) -> None:
        self.loop_s = 10.0
        self.boot_s = 100.0
        self.ahead_s = ahead_s

    def day_s(self) -> float:
        return 1_000_000.0 + self.boot_s - 100.0 + self.ahead_s

    def clock(self) -> TrueClock:
        return TrueClock(lambda: self.loop_s, lambda: self.boot_s, self.day_s)

    def passes(self, by_s: float) -> None:
        self.loop_s += by_s
        self.boot_s += by_s


def samples(host: Host, *ahead_s: float, age_s: float = 0.0) -> list[ClockSample]:
    true_s = 1_000_000.0 + host.boot_s - 100.0
    return [ClockSample(true_s + ahead - age_s, host.loop_s - age_s) for ahead in ahead_s]


def test_a_host_whose_clock_is_wrong_follows_the_others() -> None:
    """Guards against a node that started while its time of day was off, and counts elsewhere."""
    host = Host(ahead_s=5.0)
    clock = host.clock()
    assert clock.now_s() == pytest.approx(1_000_005.0, rel=0.0, abs=0.01)
    assert clock.synchronize(samples(host, 5.0, 0.01, 0.0, -0.01, 0.0)) == pytest.approx(
        -5.0, rel=0.0, abs=0.02
    )
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.02)
    assert clock.time_at_s(host.loop_s - 3.0) == pytest.approx(999_997.0, rel=0.0, abs=0.02)


@pytest.mark.parametrize("step_s", [-2.0, 2.0, 1e6])
def test_a_jump_of_the_own_time_of_day_moves_nothing(step_s: float) -> None:
    """Guards against counts that land in another window because a clock was set."""
    host = Host()
    clock = host.clock()
    host.ahead_s = step_s
    host.passes(1.0)
    clock.synchronize(samples(host, step_s, 0.0, 0.0, 0.0, 0.0))
    assert clock.now_s() == pytest.approx(1_000_001.0, rel=0.0, abs=0.01)


def test_a_few_liars_do_not_move_the_others() -> None:
    host = Host()
    clock = host.clock()
    clock.synchronize(samples(host, 0.0, 0.001, -0.002, 30.0, 30.0))
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.01)


def test_two_hosts_can_not_outvote_each_other() -> None:
    host = Host()
    clock = host.clock()
    assert clock.synchronize(samples(host, 0.0, 9.0)) == 0.0


def test_old_samples_count_at_their_age() -> None:
    host = Host()
    clock = host.clock()
    clock.synchronize(samples(host, 0.0, 0.0, 0.0, age_s=4.0))
    assert clock.now_s() == pytest.approx(1_000_000.0, rel=0.0, abs=0.01)


def test_after_a_suspension_older_samples_are_worth_nothing() -> None:
    """Guards against a loop's clock that stood still: its old samples look too early by that."""
    host = Host()
    clock = host.clock()
    old = samples(host, 0.0, 0.0, 0.0, 0.0)
    host.boot_s += 6.0
    clock.synchronize(old)
    assert clock.now_s() == pytest.approx(1_000_006.0, rel=0.0, abs=0.01)
    host.passes(1.0)
    clock.synchronize(samples(host, 0.0, 0.0, 0.0))
    assert clock.now_s() == pytest.approx(1_000_007.0, rel=0.0, abs=0.01)
