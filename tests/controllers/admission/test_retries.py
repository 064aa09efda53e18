"""Tests of the retry decision and the retry budget."""

import pytest

from samphirecleat.controllers.admission._retries import (
    MAX_ATTEMPTS,
    GiveUp,
    TryElsewhere,
    decide_retry,
)
from samphirecleat.errors import Ran
from samphirecleat.requests import Call, RetryBudget, WorkClass
from samphirecleat.targets import Failed, Lost, NotSent, Refused, TargetFailure


def make_call(idempotent: bool) -> Call:
    return Call("cotizador", "price", {}, 10.0, 5, idempotent, "k", WorkClass.CALLER)


@pytest.mark.parametrize(
    ("failure", "idempotent", "answer_started", "repeats", "ran"),
    [
        (NotSent(""), False, False, True, Ran.NO),
        (Refused("", not_run=True), False, False, True, Ran.NO),
        (Refused("", not_run=False), False, False, False, Ran.UNKNOWN),
        (Refused("", not_run=False), True, False, True, Ran.UNKNOWN),
        (Lost(""), False, False, False, Ran.UNKNOWN),
        (Lost(""), True, False, True, Ran.UNKNOWN),
        (Lost(""), True, True, False, Ran.UNKNOWN),
        (Failed(""), False, False, False, Ran.UNKNOWN),
        (Failed(""), True, False, True, Ran.UNKNOWN),
        (Failed("", permanent=True), True, False, False, Ran.UNKNOWN),
    ],
)
def test_which_failures_are_retried(
    failure: TargetFailure, idempotent: bool, answer_started: bool, repeats: bool, ran: Ran
) -> None:
    call = make_call(idempotent)
    decision = decide_retry(call, failure, attempt=1, answer_started=answer_started, now_s=0.0)
    assert isinstance(decision, TryElsewhere) is repeats
    assert decision.error.ran is ran


@pytest.mark.parametrize(("attempt", "now_s"), [(MAX_ATTEMPTS, 0.0), (1, 10.0)])
def test_retries_end_at_max_attempts_and_deadline(attempt: int, now_s: float) -> None:
    decision = decide_retry(
        make_call(True), Lost(""), attempt=attempt, answer_started=False, now_s=now_s
    )
    assert isinstance(decision, GiveUp)


def test_retries_are_a_bounded_share_of_first_attempts() -> None:
    """All targets of a service fail; without a budget every call is sent several times."""
    budget = RetryBudget(0.2, 20.0)
    retries = 0
    for _ in range(1_000):
        budget.record_first_attempt()
        retries += sum(budget.try_spend() for _ in range(MAX_ATTEMPTS - 1))
    assert 200 <= retries <= 225
