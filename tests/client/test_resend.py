"""What a caller's client does after a send that brought no answer."""

import pytest

from samphirecleat.client._resend import (
    Answered,
    AnswerLost,
    AskElsewhere,
    NeverLeft,
    NewKey,
    SendOutcome,
    Stop,
    decide_resend,
)
from samphirecleat.errors import ErrorKind, Ran, RequestError


def answered(kind: ErrorKind, ran: Ran | None = None, *, by_owner: bool = True) -> Answered:
    return Answered(RequestError(kind, "", ran=ran), by_owner)


@pytest.mark.parametrize(
    ("outcome", "sent_before", "once", "idempotent", "started"),
    [
        (NeverLeft(), False, NewKey, NewKey, NewKey),
        (NeverLeft(), True, AskElsewhere, AskElsewhere, AskElsewhere),
        (AnswerLost(), False, AskElsewhere, AskElsewhere, AskElsewhere),
        (answered(ErrorKind.NOT_READY), False, NewKey, NewKey, NewKey),
        (answered(ErrorKind.LEAVING), False, NewKey, NewKey, NewKey),
        (answered(ErrorKind.OVERLOADED), False, Stop, Stop, Stop),
        (answered(ErrorKind.MALFORMED), False, Stop, Stop, Stop),
        (answered(ErrorKind.TARGET_FAILED), False, Stop, Stop, Stop),
        (answered(ErrorKind.OUTCOME_UNKNOWN), False, Stop, Stop, Stop),
        (answered(ErrorKind.DEADLINE_EXCEEDED), False, Stop, Stop, Stop),
        (answered(ErrorKind.KEY_EXPIRED), False, NewKey, NewKey, NewKey),
        (answered(ErrorKind.KEY_EXPIRED), True, Stop, NewKey, Stop),
        (answered(ErrorKind.ANSWER_DISCARDED), True, Stop, NewKey, Stop),
        (answered(ErrorKind.KEY_OWNER_GONE), False, NewKey, NewKey, NewKey),
        (answered(ErrorKind.KEY_OWNER_GONE), True, AskElsewhere, AskElsewhere, AskElsewhere),
        (
            answered(ErrorKind.NOT_READY, Ran.UNKNOWN),
            False,
            AskElsewhere,
            AskElsewhere,
            AskElsewhere,
        ),
        (
            answered(ErrorKind.NOT_READY, Ran.UNKNOWN, by_owner=False),
            True,
            AskElsewhere,
            AskElsewhere,
            AskElsewhere,
        ),
        (
            answered(ErrorKind.OUTCOME_UNKNOWN, by_owner=False),
            True,
            AskElsewhere,
            AskElsewhere,
            AskElsewhere,
        ),
        (answered(ErrorKind.TARGET_FAILED, by_owner=False), True, Stop, Stop, Stop),
    ],
)
def test_what_follows_a_send(
    outcome: SendOutcome, sent_before: bool, once: type, idempotent: type, started: type
) -> None:
    cases = ((False, False, once), (True, False, idempotent), (True, True, started))
    for may_repeat, answer_started, expected in cases:
        resend = decide_resend(
            outcome,
            sent_before=sent_before,
            idempotent=may_repeat,
            answer_started=answer_started,
        )
        assert isinstance(resend, expected), (may_repeat, answer_started)
