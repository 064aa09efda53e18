"""Decides whether a failed call is sent to another target, within a budget."""

from dataclasses import dataclass
from typing import Final

from ..errors import ErrorKind, Ran, RequestError
from ..requests import Call
from ..targets import Failed, Lost, NotSent, Refused, TargetFailure

BUDGET_CAP: Final = 20.0
MAX_ATTEMPTS: Final = 4


class RetryBudget:
    """Lets retries be a bounded share of first attempts.

    Without it, a service whose targets all fail would get every request several
    times over just when it is weakest.
    """

    def __init__(self, ratio: float) -> None:
        """Start with a full budget and earn ``ratio`` of a retry per first attempt."""
        self._ratio = ratio
        self._tokens = BUDGET_CAP

    def note_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; False when the budget is empty."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class TryElsewhere:
    """Send the call to another target."""


@dataclass(frozen=True)
class GiveUp:
    """Answer with this error."""

    error: RequestError


RetryDecision = TryElsewhere | GiveUp


def decide_retry(
    call: Call, failure: TargetFailure, *, attempt: int, answer_started: bool, now_s: float
) -> RetryDecision:
    """Decide what follows a failed attempt, before the budget is asked.

    A call that provably did not run may always be sent elsewhere. One that may
    have run is repeated only if it is idempotent and no part of its answer has
    been passed on, since a second run answers with other tokens.
    """
    error = _final_error(failure)
    if attempt >= MAX_ATTEMPTS or now_s >= call.deadline_at_s:
        return GiveUp(error)
    if error.ran is Ran.NO:
        return TryElsewhere()
    if call.idempotent and not answer_started:
        return TryElsewhere()
    return GiveUp(error)


def _final_error(failure: TargetFailure) -> RequestError:
    match failure:
        case NotSent(detail=detail):
            return RequestError(ErrorKind.NO_TARGET, detail, retry_after_s=1.0)
        case Refused(detail=detail, not_run=True):
            return RequestError(ErrorKind.TARGET_REFUSED, detail, retry_after_s=1.0)
        case Refused(detail=detail):
            return RequestError(ErrorKind.TARGET_REFUSED, detail, ran=Ran.UNKNOWN)
        case Failed(detail=detail):
            return RequestError(ErrorKind.TARGET_FAILED, detail)
        case Lost(detail=detail):
            return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail)
