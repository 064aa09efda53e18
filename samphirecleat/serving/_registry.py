"""Tracks registered targets and keeps those whose registration may merely have expired.

Registrations of live targets expire while the store is unavailable and return within about two
seconds after it recovers. If such targets were dropped at once, the node would have no targets for
that time, and every run would move to another engine.
"""

from collections.abc import Callable, Mapping
from typing import Final

from .._boot_clock import boot_time_s
from ._types import Target

# Vanished registrations are still used for this long after the store was last unavailable.
VANISHED_TTL_S: Final = 2.2


class TargetRegistry:
    """Registered targets, and vanished ones whose registration may merely have expired."""

    def __init__(self, store_failed_at_s: Callable[[], float]) -> None:
        """Start without registrations.

        ``store_failed_at_s`` returns when the store last failed to answer, on the boot clock.
        """
        self._store_failed_at_s = store_failed_at_s
        self._registered: dict[str, Target] = {}
        self._vanished: dict[str, Target] = {}

    def put(self, target: Target) -> None:
        """Add or update a registration."""
        self._registered[target.instance] = target
        self._vanished.pop(target.instance, None)

    def remove(self, instance: str) -> None:
        """Record that a registration vanished."""
        target = self._registered.pop(instance, None)
        if target is not None and not target.draining:
            self._vanished[instance] = target

    def replace(self, registered: Mapping[str, Target]) -> None:
        """Replace all registrations; those missing from ``registered`` vanished."""
        for instance in [name for name in self._registered if name not in registered]:
            self.remove(instance)
        for target in registered.values():
            self.put(target)

    def usable_targets(self) -> Mapping[str, Target]:
        """Return the targets that are in use, including vanished ones that are still kept."""
        if self._vanished and boot_time_s() - self._store_failed_at_s() > VANISHED_TTL_S:
            self._vanished.clear()
        if not self._vanished:
            return dict(self._registered)
        # Drop vanished targets whose address has been taken over by a new one.
        addresses_in_use = {target.address for target in self._registered.values()}
        kept = {n: t for n, t in self._vanished.items() if t.address not in addresses_in_use}
        return {**kept, **self._registered}
