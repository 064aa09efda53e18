"""The closed list of error kinds and the response to each kind.

Every error that callers, trainers or operators can receive is an :class:`ErrorKind`.
:data:`ANSWERS` maps each kind to its HTTP status, to whether the request ran, and to
whether and where the client may retry. :mod:`tests.test_errors` checks that no kind is
missing from it.
"""

from collections.abc import Mapping
from enum import Enum
from typing import Final, NamedTuple, TypedDict

from ._decoding import MALFORMED_INPUT_ERRORS


class ErrorKind(Enum):
    """The kind of an error, from the perspective of the client."""

    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_METHOD = "unknown_method"
    UNKNOWN_STEP = "unknown_step"
    STEP_CONFLICT = "step_conflict"
    KEY_MALFORMED = "key_malformed"
    KEY_CONFLICT = "key_conflict"
    KEY_EXPIRED = "key_expired"
    KEY_TABLE_FULL = "key_table_full"
    KEY_OWNER_GONE = "key_owner_gone"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    ANSWER_DISCARDED = "answer_discarded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CRASHES_TARGETS = "crashes_targets"
    CRASH_SUSPECTED = "crash_suspected"
    UNAUTHENTICATED = "unauthenticated"
    INTERNAL = "internal"


class Ran(Enum):
    """Whether the request reached a target and started to run."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class RetryAt(Enum):
    """Whether and where the client may retry the same request."""

    NEVER = "never"
    SAME_NODE = "same_node"
    ANY_NODE = "any_node"
    LATER = "later"


class Answer(NamedTuple):
    """The response to an error kind."""

    status: int
    ran: Ran
    retry_at: RetryAt


ANSWERS: Final[Mapping[ErrorKind, Answer]] = {
    ErrorKind.MALFORMED: Answer(400, Ran.NO, RetryAt.NEVER),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, RetryAt.NEVER),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO, RetryAt.NEVER),
    ErrorKind.UNKNOWN_METHOD: Answer(404, Ran.NO, RetryAt.NEVER),
    ErrorKind.UNKNOWN_STEP: Answer(404, Ran.NO, RetryAt.ANY_NODE),
    ErrorKind.STEP_CONFLICT: Answer(409, Ran.NO, RetryAt.NEVER),
    ErrorKind.KEY_MALFORMED: Answer(400, Ran.NO, RetryAt.NEVER),
    ErrorKind.KEY_CONFLICT: Answer(409, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.KEY_EXPIRED: Answer(410, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.KEY_TABLE_FULL: Answer(503, Ran.NO, RetryAt.LATER),
    ErrorKind.KEY_OWNER_GONE: Answer(502, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.DEADLINE_PASSED: Answer(400, Ran.NO, RetryAt.NEVER),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.OVERLOADED: Answer(429, Ran.NO, RetryAt.LATER),
    ErrorKind.NO_TARGET: Answer(503, Ran.NO, RetryAt.LATER),
    ErrorKind.NOT_READY: Answer(503, Ran.NO, RetryAt.ANY_NODE),
    ErrorKind.LEAVING: Answer(503, Ran.NO, RetryAt.ANY_NODE),
    ErrorKind.TARGET_REFUSED: Answer(503, Ran.NO, RetryAt.LATER),
    ErrorKind.TARGET_FAILED: Answer(502, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.ANSWER_DISCARDED: Answer(410, Ran.YES, RetryAt.NEVER),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, Ran.UNKNOWN, RetryAt.NEVER),
    # The same request ran before under another id, so "not run" cannot be guaranteed.
    ErrorKind.CRASHES_TARGETS: Answer(502, Ran.UNKNOWN, RetryAt.NEVER),
    ErrorKind.CRASH_SUSPECTED: Answer(503, Ran.NO, RetryAt.LATER),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NO, RetryAt.NEVER),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, RetryAt.NEVER),
}


class ErrorBody(TypedDict):
    """The JSON body of an error response."""

    kind: str
    ran: str
    retry_at: str
    retry_after_s: float
    detail: str


class RequestError(Exception):
    """A request failed.

    ``ran`` defaults to the value in :data:`ANSWERS`. The raising code may only weaken it
    from :attr:`Ran.NO` to :attr:`Ran.UNKNOWN`, or set it to :attr:`Ran.NO` if no byte of
    the request was sent to a target.
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        ran: Ran | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        """Create the error; ``detail`` tells the client what to do about it."""
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail
        self.ran = ran if ran is not None else ANSWERS[kind].ran
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return ANSWERS[self.kind].status

    def body(self) -> ErrorBody:
        """Return the JSON body of the response."""
        return {
            "kind": self.kind.value,
            "ran": self.ran.value,
            "retry_at": ANSWERS[self.kind].retry_at.value,
            "retry_after_s": self.retry_after_s,
            "detail": self.detail,
        }

    @classmethod
    def from_body(cls, body: ErrorBody) -> "RequestError":
        """Rebuild the error from the body of an error response.

        An unknown kind, as from a newer node, becomes :attr:`ErrorKind.OUTCOME_UNKNOWN`.
        """
        try:
            kind = ErrorKind(body["kind"])
            ran = Ran(body["ran"])
        except MALFORMED_INPUT_ERRORS:
            return cls(ErrorKind.OUTCOME_UNKNOWN, f"cannot parse the error response: {body!r}")
        return cls(
            kind,
            str(body.get("detail", "")),
            ran=ran,
            retry_after_s=float(body.get("retry_after_s", 0.0)),
        )
