"""Accounting of the bytes that a node holds for callers."""

from collections.abc import Sequence
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.connections._byte_budget import MAX_RETRY_S, MIN_RETRY_S, ByteBudget, ByteLease


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.booleans(), st.integers(0, 150), st.sampled_from((0.75, 1)))
    )
)
def test_total_is_sum_of_leases_and_new_work_stays_within_bounds(
    steps: Sequence[tuple[int, bool, int, float]],
) -> None:
    """Guards against drift of the total: a node would refuse all work, or hold without a bound."""
    budget = ByteBudget(100, Clock())
    leases = [ByteLease(budget) for _ in range(4)]
    for number, is_new, size_bytes, share in steps:
        before_bytes = budget.held_bytes
        if not is_new:
            leases[number].replace(size_bytes)
        elif leases[number].try_hold(size_bytes, share):
            assert before_bytes <= 50 or budget.held_bytes <= 100 * share
        else:
            assert budget.held_bytes == before_bytes > 50
        assert budget.held_bytes == sum(lease.held_bytes for lease in leases)
    for lease in leases:
        with suppress(RuntimeError), lease:
            raise RuntimeError
    assert budget.held_bytes == 0


def test_body_above_the_limit_is_admitted_alone() -> None:
    """Guards against a body that is refused for ever because other calls are always open."""
    budget = ByteBudget(100, Clock())
    budget.hold(50)
    assert budget.try_hold(400)
    assert not budget.try_hold(0)


def test_reads_leave_space_for_calls() -> None:
    """Guards against callers that read pages slowly and so have every other call refused."""
    budget = ByteBudget(100, Clock())
    while budget.try_hold(10, 0.75):
        pass
    assert budget.try_hold(10)


def test_space_is_short_when_nearly_full_and_after_a_refusal() -> None:
    """Guards against slow transfers that are kept although a large body was refused."""
    clock = Clock()
    budget = ByteBudget(100, clock)
    budget.hold(60)
    assert not budget.is_short()
    assert not budget.try_hold(50)
    assert budget.is_short()
    clock.now_s = 10.0
    assert not budget.is_short()
    budget.hold(20)
    assert budget.is_short()


def test_time_to_retry_follows_the_rate_of_releases() -> None:
    """Guards against a constant time to retry, after which there is still no space."""
    clock = Clock()
    budget = ByteBudget(100, clock)
    budget.hold(200)
    assert budget.retry_after_s(10) == MAX_RETRY_S
    for number in range(10):
        clock.now_s = number * 0.1
        budget.release(10)
    assert budget.retry_after_s(100) == pytest.approx(1.0, rel=0.3)
    assert budget.retry_after_s(1) == MIN_RETRY_S
