"""Errors for requests that aren't sent because targets crashed under them."""

from typing import Final

from ..errors import ErrorKind, RequestError
from ._suspect import SETTLE_S, CrashVerdict

# Retry delay for the caller of a held request: by then the reports of other nodes have arrived.
HELD_RETRY_S: Final = SETTLE_S


def is_blocked(verdict: CrashVerdict) -> bool:
    """Whether a request is blocked: held for now, or refused."""
    return verdict in (CrashVerdict.HELD, CrashVerdict.REFUSED)


def blocked_error(
    verdict: CrashVerdict, attempts_summary: str = "", retry_after_s: float = HELD_RETRY_S
) -> RequestError:
    """Return the error for a blocked request; ``attempts_summary`` describes earlier attempts.

    ``retry_after_s`` is the time after which a held request may be sent again.

    The error for a held request says that it hasn't run. Don't return it if an earlier attempt may
    have run the request.
    """
    if verdict is CrashVerdict.REFUSED:
        suffix = f": {attempts_summary}" if attempts_summary else ""
        detail = f"this request crashes the targets that run it; change it before retrying{suffix}"
        return RequestError(ErrorKind.CRASHES_TARGETS, detail)
    return RequestError(
        ErrorKind.CRASH_SUSPECTED,
        "targets crashed while running this request; the cause is still being determined",
        retry_after_s=retry_after_s,
    )
