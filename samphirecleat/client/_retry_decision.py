"""Decides how the callers' client retries a request after a failed send.

A key binds a request to one process, so a retry with the same key is always safe,
through any node. A new key may start a second run, so it is used only if the first
request provably did not run or if the request is idempotent.
"""

from dataclasses import dataclass
from typing import Final

from ..errors import ANSWERS, ErrorKind, Ran, RequestError, RetryAt


@dataclass(frozen=True)
class ConnectFailed:
    """The connection could not be established, so nothing was sent."""


@dataclass(frozen=True)
class AnswerLost:
    """The request may have been received, but no response arrived."""


@dataclass(frozen=True)
class ErrorAnswer:
    """A node responded with an error; ``by_owner`` tells whether that node owns the key."""

    error: RequestError
    by_owner: bool


SendFailure = ConnectFailed | AnswerLost | ErrorAnswer


@dataclass(frozen=True)
class RetrySameKey:
    """Retry with the same key through another node."""


@dataclass(frozen=True)
class RetryNewKey:
    """Retry with a new key at another node."""


@dataclass(frozen=True)
class Fail:
    """Do not retry; raise ``error`` to the application."""

    error: RequestError


RetryDecision = RetrySameKey | RetryNewKey | Fail

NODE_LOCAL_KINDS: Final = frozenset(
    {
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.NOT_READY,
        ErrorKind.LEAVING,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_METHOD,
        ErrorKind.KEY_OWNER_GONE,
    }
)
"""Kinds that, from a node that does not own the key, may hold for that node only."""

SEND_NOT_RUN_KINDS: Final = frozenset({ErrorKind.KEY_EXPIRED, ErrorKind.KEY_OWNER_GONE})
"""Kinds by which a node confirms that the send it received will not start a run anywhere."""


def decide_retry(
    failure: SendFailure, *, sent_before: bool, idempotent: bool, answer_started: bool
) -> RetryDecision:
    """Return how to continue after one failed send of a key.

    ``sent_before`` tells whether an earlier send of the same key may have been
    received. ``answer_started`` tells whether a part of the answer was already yielded
    to the application, which the answer of a new run would contradict.
    """
    may_run_again = idempotent and not answer_started
    match failure:
        case ConnectFailed():
            return RetrySameKey() if sent_before else RetryNewKey()
        case AnswerLost():
            return RetrySameKey()
        case ErrorAnswer(error=error, by_owner=by_owner):
            return _after_error(error, by_owner, sent_before, may_run_again)


def decide_without_nodes(*, idempotent: bool, answer_started: bool) -> RetryDecision:
    """Return how to continue when no node is left through which to retry a sent key."""
    if idempotent and not answer_started:
        return RetryNewKey()
    return Fail(
        RequestError(ErrorKind.OUTCOME_UNKNOWN, "no node is left that can report the outcome")
    )


def _after_error(
    error: RequestError, by_owner: bool, sent_before: bool, may_run_again: bool
) -> RetryDecision:
    if error.ran is Ran.NO:
        retry_at_any_node = ANSWERS[error.kind].retry_at is RetryAt.ANY_NODE
        return RetryNewKey() if retry_at_any_node else Fail(error)
    if error.kind in SEND_NOT_RUN_KINDS and not sent_before:
        # The only send of the key was refused, because the owner's process was replaced
        # at its address or the key had expired. It can no longer start anywhere.
        return RetryNewKey()
    # The owner's address may now belong to a process that replaced the owner; its error
    # then says nothing about the request.
    may_be_replaced = error.kind is not ErrorKind.OUTCOME_UNKNOWN
    if error.kind in NODE_LOCAL_KINDS and (may_be_replaced or not by_owner):
        return RetrySameKey()
    if error.kind in (ErrorKind.KEY_EXPIRED, ErrorKind.ANSWER_DISCARDED) and may_run_again:
        return RetryNewKey()
    # The node has already retried failures of its targets.
    return Fail(error)
