"""Tracks the latency of each target relative to the others of its service.

An engine can be slow while its reported load is low, so the load alone does not
show it.
"""

from collections.abc import Iterable, Mapping
from statistics import median
from typing import Final

SMOOTHING: Final = 0.2
MAX_SLOWDOWN: Final = 8.0
SAMPLE_TTL_S: Final = 10.0


class LatencyTracker:
    """Keeps an exponential moving average of seconds per unit of work by target address."""

    def __init__(self) -> None:
        """Start without samples."""
        self._seconds_per_unit: dict[str, float] = {}
        self._recorded_at_s: dict[str, float] = {}

    def record(self, address: str, duration_s: float, units: int, now_s: float) -> None:
        """Record an answer of ``units`` tokens (0 or 1 for a plain call)."""
        sample = duration_s / max(1, units)
        known = self._seconds_per_unit.get(address, sample)
        self._seconds_per_unit[address] = known + SMOOTHING * (sample - known)
        self._recorded_at_s[address] = now_s

    def slowdowns(self, addresses: Iterable[str], now_s: float) -> Mapping[str, float]:
        """Return each known target's latency divided by the median of all of them.

        Averages older than ``SAMPLE_TTL_S`` are ignored: a target that was slow and
        therefore gets no calls could not show otherwise that it has recovered.
        """
        known = {
            address: self._seconds_per_unit[address]
            for address in addresses
            if now_s - self._recorded_at_s.get(address, -SAMPLE_TTL_S) < SAMPLE_TTL_S
        }
        if len(known) < 2:
            return {}
        median_value = median(known.values())
        if median_value <= 0.0:
            return {}
        return {
            address: min(MAX_SLOWDOWN, value / median_value) for address, value in known.items()
        }
