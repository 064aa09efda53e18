"""Limits on what the clients of a listener may send, and on how long they may take."""

from typing import Final, NamedTuple

# Added to the idle timeout. Clients reuse connections until the last moment of the timeout; a
# server that closes at that moment would lose a request that is already on its way.
IDLE_MARGIN_S: Final = 1.0


class ConnectionLimits(NamedTuple):
    """Limits on each connection of a listener.

    ``head_bytes`` is the size of a head, ``head_timeout_s`` the time from the first byte after the
    request before to the last byte of a head.
    A connection is closed if it carries no request for ``idle_timeout_s``.
    """

    head_bytes: int = 16384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
