"""Tests of how the callers' client retries after a failed send."""

import pytest

from samphirecleat.client._retry_decision import (
    AnswerLost,
    ConnectFailed,
    ErrorAnswer,
    Fail,
    RetryNewKey,
    RetrySameKey,
    SendFailure,
    decide_retry,
)
from samphirecleat.errors import ErrorKind, Ran, RequestError


def error_answer(kind: ErrorKind, ran: Ran | None = None, *, by_owner: bool = True) -> ErrorAnswer:
    return ErrorAnswer(RequestError(kind, "", ran=ran), by_owner)


@pytest.mark.parametrize(
    ("failure", "sent_before", "non_idempotent", "idempotent", "started"),
    [
        (ConnectFailed(), False, RetryNewKey, RetryNewKey, RetryNewKey),
        (ConnectFailed(), True, RetrySameKey, RetrySameKey, RetrySameKey),
        (AnswerLost(), False, RetrySameKey, RetrySameKey, RetrySameKey),
        (
            error_answer(ErrorKind.NOT_READY),
            False,
            RetryNewKey,
            RetryNewKey,
            RetryNewKey,
        ),
        (error_answer(ErrorKind.LEAVING), False, RetryNewKey, RetryNewKey, RetryNewKey),
        (error_answer(ErrorKind.OVERLOADED), False, Fail, Fail, Fail),
        (error_answer(ErrorKind.MALFORMED), False, Fail, Fail, Fail),
        (error_answer(ErrorKind.TARGET_FAILED), False, Fail, Fail, Fail),
        (error_answer(ErrorKind.OUTCOME_UNKNOWN), False, Fail, Fail, Fail),
        (error_answer(ErrorKind.DEADLINE_EXCEEDED), False, Fail, Fail, Fail),
        (
            error_answer(ErrorKind.KEY_EXPIRED),
            False,
            RetryNewKey,
            RetryNewKey,
            RetryNewKey,
        ),
        (error_answer(ErrorKind.KEY_EXPIRED), True, Fail, RetryNewKey, Fail),
        (error_answer(ErrorKind.ANSWER_DISCARDED), True, Fail, RetryNewKey, Fail),
        (
            error_answer(ErrorKind.KEY_OWNER_GONE),
            False,
            RetryNewKey,
            RetryNewKey,
            RetryNewKey,
        ),
        (error_answer(ErrorKind.KEY_OWNER_GONE), True, RetrySameKey, RetrySameKey, RetrySameKey),
        (
            error_answer(ErrorKind.NOT_READY, Ran.UNKNOWN),
            False,
            RetrySameKey,
            RetrySameKey,
            RetrySameKey,
        ),
        (
            error_answer(ErrorKind.NOT_READY, Ran.UNKNOWN, by_owner=False),
            True,
            RetrySameKey,
            RetrySameKey,
            RetrySameKey,
        ),
        (
            error_answer(ErrorKind.OUTCOME_UNKNOWN, by_owner=False),
            True,
            RetrySameKey,
            RetrySameKey,
            RetrySameKey,
        ),
        (error_answer(ErrorKind.TARGET_FAILED, by_owner=False), True, Fail, Fail, Fail),
    ],
)
def test_retry_decision_after_a_failed_send(
    failure: SendFailure,
    sent_before: bool,
    non_idempotent: type,
    idempotent: type,
    started: type,
) -> None:
    cases = ((False, False, non_idempotent), (True, False, idempotent), (True, True, started))
    for is_idempotent, answer_started, expected in cases:
        decision = decide_retry(
            failure,
            sent_before=sent_before,
            idempotent=is_idempotent,
            answer_started=answer_started,
        )
        assert isinstance(decision, expected), (is_idempotent, answer_started)
