"""Tracks the targets to which this node holds an idle connection.

In a large fleet each node sends few calls per second. If a node spread them over all targets, the
targets would close its connections as idle, and nearly every call would open a new one.
"""

from collections.abc import Callable
from typing import Final

from ._types import Target

# Keep-alive time assumed until a target has announced its own.
DEFAULT_KEEP_ALIVE_S: Final = 3.0


def _default_keep_alive_s(service: str) -> float:
    """Return the keep-alive time of a service whose targets have announced none."""
    del service
    return DEFAULT_KEEP_ALIVE_S


class WarmConnections:
    """Idle connections by instance, mirroring the connection pool."""

    def __init__(self) -> None:
        """Start without connections."""
        self.keep_alive_s: Callable[[str], float] = _default_keep_alive_s
        self._idle_since_s: dict[str, list[float]] = {}

    def record_taken(self, target: Target) -> None:
        """Record that a call uses a connection: the most recently used idle one, or a new one."""
        idle = self._idle_since_s.get(target.instance)
        if idle:
            idle.pop()

    def record_returned(self, target: Target, now_s: float) -> None:
        """Record that a call got a complete answer and its connection is kept open."""
        self._idle_since_s.setdefault(target.instance, []).append(now_s)

    def has(self, target: Target, now_s: float) -> bool:
        """Whether there is an idle connection to the target that is still kept open."""
        idle = self._idle_since_s.get(target.instance)
        if not idle:
            return False
        # The list is ordered by age, and older connections expire first.
        keep_alive_s = self.keep_alive_s(target.service)
        if now_s - idle[-1] > keep_alive_s:
            idle.clear()
            return False
        return True

    def forget(self, instance: str) -> None:
        """Remove the connections of a target that is gone."""
        self._idle_since_s.pop(instance, None)
