"""Statistics that a runner keeps of each engine: event interval, weight versions, backoff."""

from dataclasses import dataclass, field
from typing import Final

# Weight of the newest interval in an engine's exponentially weighted mean.
EWMA_WEIGHT: Final = 0.25
# Assumed before any event was measured; current engines emit one about every 40 ms.
DEFAULT_EVENT_INTERVAL_S: Final = 0.04


@dataclass
class EngineStats:
    """Statistics of one engine.

    ``event_interval_s`` is the weighted mean time between events, 0.0 before the first interval.
    ``versions`` holds the highest version in its streams, by model. ``groups`` are those whose
    items ran on it.
    """

    event_interval_s: float = 0.0
    backoff_until_s: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)
    groups: set[str] = field(default_factory=set)

    def record_version(self, model: str, version: int) -> None:
        """Record the version that generated an event."""
        self.versions[model] = max(version, self.versions.get(model, 0))

    def record_event_interval(self, interval_s: float) -> None:
        """Record the time between two events of one run."""
        if self.event_interval_s == 0.0:
            self.event_interval_s = interval_s
        self.event_interval_s += EWMA_WEIGHT * (interval_s - self.event_interval_s)


class EngineStatsTable:
    """Statistics by instance."""

    def __init__(self) -> None:
        """Start without any engine."""
        self._engine_stats: dict[str, EngineStats] = {}

    def of(self, instance: str) -> EngineStats:
        """Return the statistics of an engine, creating empty ones for a new engine."""
        return self._engine_stats.setdefault(instance, EngineStats())

    def median_event_interval_s(self) -> float:
        """Return the median event interval over all measured engines."""
        known = sorted(
            stats.event_interval_s
            for stats in self._engine_stats.values()
            if stats.event_interval_s > 0.0
        )
        return known[(len(known) - 1) // 2] if known else DEFAULT_EVENT_INTERVAL_S

    def slowness(self, instance: str, median_event_interval_s: float = 0.0) -> float:
        """Return the ratio of an engine's event interval to the median, at least 1.0.

        Callers that query many engines pass the median, since computing it scans all engines.
        """
        event_interval_s = self.of(instance).event_interval_s
        if not event_interval_s:
            return 1.0
        return max(
            1.0, event_interval_s / (median_event_interval_s or self.median_event_interval_s())
        )
