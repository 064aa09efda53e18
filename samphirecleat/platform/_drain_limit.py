"""Ends what a draining node has taken before the node stops, and takes nothing that can't end."""

import asyncio
import math
from typing import Final

from ..errors import ErrorKind, Ran, RequestError

# For this share of the drain, a request is taken that may last longer than what is left: nearly
# all end long before their deadline, and callers learn only then that the node is leaving.
UNLIMITED_SHARE: Final = 0.4
# Time that is kept for writing the last answers.
ANSWER_MARGIN_S: Final = 0.2
# Another node takes the request at once.
RETRY_AFTER_S: Final = 0.05


class DrainLimit:
    """The time that is left for requests; without a bound until the drain begins.

    Without it, a request that is taken late in the grace period runs when its node stops. Its
    connection is cut without an answer, and if it may not be repeated, nobody may send it again.
    """

    def __init__(self) -> None:
        """Start without a bound."""
        self._ends_at_s = math.inf
        self._unlimited_until_s = math.inf
        self._open: set[asyncio.Timeout] = set()

    @property
    def is_draining(self) -> bool:
        """Whether the drain has begun."""
        return self._ends_at_s < math.inf

    def begin(self, stops_at_s: float) -> None:
        """Begin the drain of a node that stops at a time of the event loop."""
        now_s = asyncio.get_running_loop().time()
        self._ends_at_s = max(now_s, stops_at_s - ANSWER_MARGIN_S)
        self._unlimited_until_s = now_s + UNLIMITED_SHARE * (self._ends_at_s - now_s)
        for timeout in self._open:
            timeout.reschedule(self._ends_at_s)

    def open(self) -> asyncio.Timeout:
        """Return the timeout of a new request, which ends with the drain.

        The caller passes it to :meth:`close` in the end.
        """
        timeout = asyncio.timeout_at(self._ends_at_s if self.is_draining else None)
        self._open.add(timeout)
        return timeout

    def close(self, timeout: asyncio.Timeout) -> None:
        """Forget the timeout of a request that has ended."""
        self._open.discard(timeout)

    def exempt(self, timeout: asyncio.Timeout) -> None:
        """Let a request go on without a bound, because its answer begins."""
        self._open.discard(timeout)
        if not timeout.expired():
            timeout.reschedule(None)

    def left_s(self) -> float:
        """Return the time until requests are ended."""
        return max(0.0, self._ends_at_s - asyncio.get_running_loop().time())

    def check_time_for(self, longest_s: float) -> None:
        """Check that a request, which lasts ``longest_s`` at most, may be taken.

        :raises RequestError: LEAVING, if it might not end in time.
        """
        if longest_s <= self.left_s():
            return
        if asyncio.get_running_loop().time() < self._unlimited_until_s:
            return
        raise RequestError(
            ErrorKind.LEAVING,
            f"this node stops in {self.left_s():.2f} s; use another node",
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )


def stopped_error() -> RequestError:
    """Return the error of a request that was ended because its node stops."""
    detail = "the node stops before the request has ended"
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)
