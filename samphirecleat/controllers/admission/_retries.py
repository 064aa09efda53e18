"""Decides whether a failed call is retried at another target, within a retry budget.

Only one hop retries a given failure, so that retries never multiply. The node that
runs a call retries only failures of its targets. A node that forwards a call does
not retry. A caller's client retries failures of nodes: a lost answer with the same
key, and a "not run" answer that allows any node with a new key.
"""

from dataclasses import dataclass
from typing import Final

from ...errors import ErrorKind, Ran, RequestError
from ...requests import Call, RetryBudget
from ...targets import Failed, Lost, NotSent, Refused, TargetFailure

MAX_ATTEMPTS: Final = 4

__all__ = ["GiveUp", "MAX_ATTEMPTS", "RetryBudget", "RetryDecision", "TryElsewhere", "decide_retry"]


@dataclass(frozen=True)
class TryElsewhere:
    """Retry the call at another target; answer with ``error`` if there is none.

    ``spends_budget`` is false when the failed attempt never reached its target, so
    that one dead target does not exhaust the retry budget of its service.
    """

    error: RequestError
    spends_budget: bool = True


@dataclass(frozen=True)
class GiveUp:
    """Do not retry; answer with ``error``."""

    error: RequestError


RetryDecision = TryElsewhere | GiveUp


def decide_retry(
    call: Call, failure: TargetFailure, *, attempt: int, answer_started: bool, now_s: float
) -> RetryDecision:
    """Decide what follows a failed attempt; the caller then checks the budget.

    A call that provably did not run may always be retried. A call that may have run
    is retried only if it is idempotent and no part of its answer has been passed on,
    since a second run generates different tokens.
    """
    error = _final_error(failure)
    if attempt >= MAX_ATTEMPTS or now_s >= call.deadline_at_s:
        return GiveUp(error)
    if isinstance(failure, Failed) and failure.permanent:
        return GiveUp(error)
    if error.ran is Ran.NO:
        return TryElsewhere(error, spends_budget=not isinstance(failure, NotSent))
    if call.idempotent and not answer_started:
        return TryElsewhere(error)
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
