"""What a node knows of each owner: its last known wait, its last reply, and whether to avoid it.

Load: an owner is overloaded, frozen or gone, or the path to it is silent, while the membership
still lists it as ready. Nodes learn this from the replies to their own calls.
"""

import math
from typing import Final

from ._ownership import Owner

# A wait is trusted for this long: in it a queue changes by more than what nodes distinguish.
WAIT_TTL_S: Final = 0.25


class _OwnerState:
    __slots__ = ("avoided_until_s", "probed_at_s", "replied_at_s", "waits")

    def __init__(self) -> None:
        self.avoided_until_s = -math.inf
        self.probed_at_s = -math.inf
        self.replied_at_s = -math.inf
        self.waits: dict[str, tuple[float, float]] = {}


class OwnerStates:
    """This node's observations of owners by incarnation; a restarted owner starts without any."""

    def __init__(self) -> None:
        """Start without observations."""
        self._states: dict[str, _OwnerState] = {}

    def keep_only(self, incarnations: set[str]) -> None:
        """Drop the observations of all other processes."""
        for incarnation in self._states.keys() - incarnations:
            del self._states[incarnation]

    def record_reply(self, owner: Owner, now_s: float) -> None:
        """Record that an owner replied to anything; it is avoided no longer."""
        state = self._state(owner)
        state.replied_at_s = now_s
        # The loop's clock has a resolution of a millisecond, and a reply may come within it, so the
        # time of the probe doesn't tell whether it was sent before or after the reply.
        state.probed_at_s = -math.inf
        state.avoided_until_s = -math.inf

    def record_wait(self, owner: Owner, service: str, wait_s: float, now_s: float) -> None:
        """Record the wait that an owner reported."""
        self._state(owner).waits[service] = (wait_s, now_s)

    def avoid(self, owner: Owner, until_s: float) -> None:
        """Send no calls to an owner until ``until_s``, unless it replies before."""
        self._state(owner).avoided_until_s = until_s

    def is_avoided(self, owner: Owner, now_s: float) -> bool:
        """Whether the owner is currently avoided."""
        return self._state(owner).avoided_until_s > now_s

    def wait_s(self, owner: Owner, service: str, now_s: float) -> float:
        """Return the last known wait in seconds, 0.0 if it is unknown or outdated."""
        wait_s, known_at_s = self._state(owner).waits.get(service, (0.0, -math.inf))
        return wait_s if now_s - known_at_s <= WAIT_TTL_S else 0.0

    def silent_since_s(self, owner: Owner, sent_at_s: float) -> float:
        """Return since when a call sent at ``sent_at_s`` has seen no reply of any kind."""
        return max(sent_at_s, self._state(owner).replied_at_s)

    def start_probe(self, owner: Owner, silent_since_s: float, now_s: float) -> bool:
        """Return whether to probe the owner now; true once for each period of silence."""
        state = self._state(owner)
        if state.probed_at_s >= silent_since_s:
            return False
        state.probed_at_s = now_s
        return True

    def was_probed(self, owner: Owner, silent_since_s: float) -> bool:
        """Whether the owner was probed since ``silent_since_s``."""
        return self._state(owner).probed_at_s >= silent_since_s

    def _state(self, owner: Owner) -> _OwnerState:
        state = self._states.get(owner.incarnation)
        if state is None:
            state = self._states[owner.incarnation] = _OwnerState()
        return state
