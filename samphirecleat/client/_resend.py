"""Decides what a caller's client does after a send that brought no answer.

A key binds a request to one process, so asking again with the same key is always
safe, through any node. A new key may start a second run: it is made only when the
first provably did not run, or when the request is idempotent.
"""

from dataclasses import dataclass
from typing import Final

from ..errors import ANSWERS, ErrorKind, Ran, RequestError, RetryAt


@dataclass(frozen=True)
class NeverLeft:
    """The connection was never made, so no byte of this send left the client."""


@dataclass(frozen=True)
class AnswerLost:
    """The request may have arrived, and no answer came."""


@dataclass(frozen=True)
class Answered:
    """A node answered with an error; ``by_owner`` when the key names that node."""

    error: RequestError
    by_owner: bool


SendOutcome = NeverLeft | AnswerLost | Answered


@dataclass(frozen=True)
class AskElsewhere:
    """Send the same key again, through another node."""


@dataclass(frozen=True)
class NewKey:
    """Send the request with a new key, to another node."""


@dataclass(frozen=True)
class Stop:
    """Tell the code that calls."""

    error: RequestError


Resend = AskElsewhere | NewKey | Stop

PASSED_ON_KINDS: Final = frozenset(
    {
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.NOT_READY,
        ErrorKind.LEAVING,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_METHOD,
        ErrorKind.KEY_OWNER_GONE,
    }
)
"""Kinds by which a node that does not own the key may speak for itself alone."""

ONLY_COPY_ENDED_KINDS: Final = frozenset({ErrorKind.KEY_EXPIRED, ErrorKind.KEY_OWNER_GONE})
"""Kinds by which a node says that the copy it was sent will start nowhere."""


def decide_resend(
    outcome: SendOutcome, *, sent_before: bool, idempotent: bool, answer_started: bool
) -> Resend:
    """Decide what follows one send of a key.

    ``sent_before`` tells whether an earlier send of the same key may have
    arrived; ``answer_started`` whether a part of the answer was passed on, which
    a new run would contradict.
    """
    may_run_again = idempotent and not answer_started
    match outcome:
        case NeverLeft():
            return AskElsewhere() if sent_before else NewKey()
        case AnswerLost():
            return AskElsewhere()
        case Answered(error=error, by_owner=by_owner):
            return _after_error(error, by_owner, sent_before, may_run_again)


def decide_without_nodes(*, idempotent: bool, answer_started: bool) -> Resend:
    """Decide what follows when no node is left to ask for a key that was sent."""
    if idempotent and not answer_started:
        return NewKey()
    return Stop(
        RequestError(ErrorKind.OUTCOME_UNKNOWN, "every node that could answer for it is gone")
    )


def _after_error(
    error: RequestError, by_owner: bool, sent_before: bool, may_run_again: bool
) -> Resend:
    if error.ran is Ran.NO:
        elsewhere = ANSWERS[error.kind].retry_at is RetryAt.ANY_NODE
        return NewKey() if elsewhere else Stop(error)
    if error.kind in ONLY_COPY_ENDED_KINDS and not sent_before:
        # The only copy of the key was refused: its process was replaced at its old
        # address, or the key had expired. It can start nowhere any more.
        return NewKey()
    # A process that replaced the owner at its address speaks for itself too.
    replaced = error.kind is not ErrorKind.OUTCOME_UNKNOWN
    if error.kind in PASSED_ON_KINDS and (replaced or not by_owner):
        return AskElsewhere()
    if error.kind in (ErrorKind.KEY_EXPIRED, ErrorKind.ANSWER_DISCARDED) and may_run_again:
        return NewKey()
    # The node has already retried what its targets failed at.
    return Stop(error)
