"""Which targets this node has a connection to that waits for a call.

Load pattern answered: few calls a second at each node of a large fleet. Spread over all targets,
each connection idles until its target closes it, and nearly every call pays for a new one.
"""

from collections.abc import Callable
from typing import Final

from ._types import Target

# Before a target has said how long it keeps an idle connection.
FIRST_KEPT_S: Final = 3.0


def _first_kept_s(service: str) -> float:
    """Return the time that holds for a service whose targets have said nothing."""
    del service
    return FIRST_KEPT_S


class WarmConnections:
    """Idle connections by instance, as the pool of connections keeps them."""

    def __init__(self) -> None:
        """Start without connections."""
        self.keep_alive_s: Callable[[str], float] = _first_kept_s
        self._idle_since_s: dict[str, list[float]] = {}

    def taken(self, target: Target) -> None:
        """Note that a call takes a connection, the one used last if any is idle."""
        idle = self._idle_since_s.get(target.instance)
        if idle:
            idle.pop()

    def returned(self, target: Target, now_s: float) -> None:
        """Note that a call ended with a whole answer, whose connection is kept."""
        self._idle_since_s.setdefault(target.instance, []).append(now_s)

    def has(self, target: Target, now_s: float) -> bool:
        """Whether a connection to the target is idle and still kept."""
        idle = self._idle_since_s.get(target.instance)
        if not idle:
            return False
        # The newest is the last one; the older ones in front of it are closed first.
        kept_s = self.keep_alive_s(target.service)
        if now_s - idle[-1] > kept_s:
            idle.clear()
            return False
        return True

    def forget(self, instance: str) -> None:
        """Drop what is known of a target that is gone."""
        self._idle_since_s.pop(instance, None)
