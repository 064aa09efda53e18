"""Limits on what the clients of a listener may send, and on how long they may take."""

from typing import Final, NamedTuple

# Added to the idle timeout. Clients reuse connections until the last moment of the timeout; a
# server that closes at that moment would lose a request that is already on its way.
IDLE_MARGIN_S: Final = 1.0


class ConnectionLimits(NamedTuple):
    """Limits on each connection of a listener.

    ``head_bytes`` counts from the end of a request to the end of the next request's head, empty
    lines included. ``head_timeout_s`` is the time from the first of these bytes to the last.
    A connection is closed if it carries nothing for ``idle_timeout_s``, between requests or within
    the body of one.
    """

    head_bytes: int = 16384
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
