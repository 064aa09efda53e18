"""How fast each target answers this node, against the others of its service.

An engine can be slow while its reported load is low; only the time that calls
take there tells.
"""

from collections.abc import Iterable, Mapping
from statistics import median
from typing import Final

SMOOTHING: Final = 0.2
SLOWEST: Final = 8.0
FORGET_AFTER_S: Final = 10.0


class PaceKeeper:
    """Keeps a moving mean of the seconds per unit of work by target address."""

    def __init__(self) -> None:
        """Know nothing of any target."""
        self._seconds_per_unit: dict[str, float] = {}
        self._noted_at_s: dict[str, float] = {}

    def note(self, address: str, took_s: float, units: int, now_s: float) -> None:
        """Record an answer of ``units`` tokens (1 for a plain call)."""
        sample = took_s / max(1, units)
        known = self._seconds_per_unit.get(address, sample)
        self._seconds_per_unit[address] = known + SMOOTHING * (sample - known)
        self._noted_at_s[address] = now_s

    def paces(self, addresses: Iterable[str], now_s: float) -> Mapping[str, float]:
        """Return, for those known, how many times slower than their median each is.

        What was last noted over ``FORGET_AFTER_S`` ago is forgotten: a target that
        was slow and got no more calls could not show otherwise that it is well.
        """
        known = {
            address: self._seconds_per_unit[address]
            for address in addresses
            if now_s - self._noted_at_s.get(address, -FORGET_AFTER_S) < FORGET_AFTER_S
        }
        if len(known) < 2:
            return {}
        middle = median(known.values())
        if middle <= 0.0:
            return {}
        return {address: min(SLOWEST, value / middle) for address, value in known.items()}
