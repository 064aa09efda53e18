"""The limiter of one target: its limit, when it is closed, and who may probe it."""

import pytest

from samphirecleat.dispatch._target_limiter import MAX_TARGET_BYTES, TargetLimiter
from samphirecleat.serving import SendOutcome

from .fakes import target


def room_with(calls: int, now_s: float = 1.0) -> TargetLimiter:
    limiter = TargetLimiter(target("t0"))
    for key in range(calls):
        limiter.start(key, 10, now_s, for_trainer=False)
    return limiter


def test_limit_falls_with_refusals_and_returns_with_answers() -> None:
    """Guards against sending on and on to a target that takes fewer calls than it has slots."""
    limiter = room_with(7)
    assert not limiter.accepts(10, 1.0)
    limiter.finish(0, 10, SendOutcome.REFUSED, 1.0)
    assert (limiter.limit, limiter.is_closed) == (6.0, False)
    for key in range(1, 5):
        limiter.finish(key, 10, SendOutcome.REFUSED, 1.0)
    assert limiter.limit == 2.0
    for key in range(5, 60):
        limiter.start(key, 10, 1.0, for_trainer=False) if key >= 7 else None
        limiter.finish(key, 10, SendOutcome.ANSWERED, 1.1)
    assert limiter.limit == 7.0


@pytest.mark.parametrize(
    ("outcome", "closed_s"),
    [(SendOutcome.REFUSED, [0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0]), (SendOutcome.FAILED, [1.0, 1.0])],
)
def test_closed_target_is_probed_by_one_call(outcome: SendOutcome, closed_s: list[float]) -> None:
    """Guards against all waiting calls being sent to a target that is known to refuse or crash."""
    limiter, now_s = room_with(1), 1.0
    for key, duration_s in enumerate(closed_s):
        limiter.finish(key, 10, outcome, now_s)
        assert limiter.failed == (outcome is SendOutcome.FAILED)
        assert not limiter.accepts(10, now_s + 0.99 * duration_s)
        now_s += 1.01 * duration_s
        assert limiter.accepts(10, now_s)
        assert limiter.start(key + 1, 10, now_s, for_trainer=False)
        assert not limiter.accepts(10, now_s)
    limiter.finish(len(closed_s), 10, SendOutcome.ANSWERED, now_s + 0.02)
    assert limiter.accepts(10, now_s + 0.02)
    assert not limiter.is_closed


def test_abandoned_calls_without_any_answer_count_as_silence() -> None:
    """Guards against a frozen target that keeps getting calls that are then hedged elsewhere."""
    limiter = room_with(3)
    limiter.finish(0, 10, SendOutcome.ABANDONED, 1.1)
    assert not limiter.is_closed
    limiter.finish(1, 10, SendOutcome.ABANDONED, 1.9)
    assert limiter.is_closed


def test_bodies_in_flight_are_bounded() -> None:
    """Guards against a target that crashes because the requests it holds exceed its memory."""
    limiter = TargetLimiter(target("t0"))
    assert limiter.accepts(2 * MAX_TARGET_BYTES, 1.0)
    limiter.start(1, MAX_TARGET_BYTES - 10, 1.0, for_trainer=False)
    assert limiter.accepts(10, 1.0)
    assert not limiter.accepts(11, 1.0)


def test_target_that_stops_answering_is_recognized_before_its_calls_end() -> None:
    """Guards against estimates that count on a frozen target until its calls time out."""
    limiter = room_with(2)
    limiter.finish(0, 10, SendOutcome.ANSWERED, 1.02)
    assert limiter.mean_s(0.03, 1.03, for_trainer=False) == pytest.approx(0.02)
    assert limiter.mean_s(0.03, 2.0, for_trainer=False) > 0.4
    # Trainers' calls take longer; they don't make the target look slow for callers.
    limiter = room_with(1)
    limiter.start(9, 10, 1.0, for_trainer=True)
    limiter.finish(9, 10, SendOutcome.ANSWERED, 1.2)
    limiter.finish(0, 10, SendOutcome.ANSWERED, 1.02)
    assert limiter.mean_s(0.03, 1.2, for_trainer=False) < 0.05
