"""What the caller of a request is told that is not sent since targets ended under it."""

from typing import Final

from ..errors import ErrorKind, RequestError
from ._suspect import SETTLE_S, CrashVerdict

# What the caller of a held request is told to wait: until what other nodes saw has arrived.
HELD_RETRY_S: Final = SETTLE_S


def is_barred(verdict: CrashVerdict) -> bool:
    """Whether a request is not sent for now, or for good."""
    return verdict in (CrashVerdict.HELD, CrashVerdict.REFUSED)


def barred_error(verdict: CrashVerdict, tried: str = "") -> RequestError:
    """Return the error of a request that is barred; ``tried`` says what came of earlier attempts.

    One that is held has not run under its id, unless an attempt before may have.
    """
    if verdict is CrashVerdict.REFUSED:
        told = f": {tried}" if tried else ""
        detail = f"targets end when they run this request; change it{told}"
        return RequestError(ErrorKind.CRASHES_TARGETS, detail)
    return RequestError(
        ErrorKind.CRASH_SUSPECTED,
        "targets ended while they ran this request; whether by it is being found out",
        retry_after_s=HELD_RETRY_S,
    )
