"""The failure of one hop of a call to an owner."""

from typing import Final

# Time for which a silent or unreachable owner is avoided: the membership finds a process dead
# within it.
AVOID_S: Final = 1.0


class HopError(Exception):
    """An owner gave no reply.

    ``sent`` is false only if the owner cannot have got the call. ``reason`` is a short word for
    counters. This node sends the owner no calls for ``avoid_s`` seconds, unless it replies before.
    """

    def __init__(self, reason: str, detail: str, *, sent: bool, avoid_s: float = AVOID_S) -> None:
        """Describe the failure in ``detail``."""
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.sent = sent
        self.avoid_s = avoid_s
