"""Statistics that a runner keeps of each engine: event intervals, weight versions, backoff.

Load pattern: engines of a service differ in speed by a factor of two or more for good, and each of
them is several times slower for fractions of a second, or makes no event for a second while it
loads weights. A single moving average shows both alike. Therefore there are two estimates of an
engine's event interval: the lasting one, which a short slowdown does not change, and the current
one. Decisions use the lasting one.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Final

# Weight of the newest interval in an engine's exponentially weighted mean.
EWMA_WEIGHT: Final = 0.25
# Assumed before any event was measured; current engines emit one about every 40 ms.
DEFAULT_EVENT_INTERVAL_S: Final = 0.04
# The lasting interval is the median over this many buckets with events. A slowdown of 600 ms takes
# at most four of them.
BUCKET_S: Final = 0.2
BUCKET_COUNT: Final = 10
# Engines within this distance of the median count as equally fast, so that the variation of events
# does not decide where a text goes.
EQUAL_SLOWNESS: Final = 0.15


@dataclass
class EngineStats:
    """Statistics of one engine.

    ``current_interval_s`` is the weighted mean time between events, ``lasting_interval_s`` the
    median over the last buckets; both are 0.0 before the first interval. An engine without runs
    keeps its lasting interval. ``versions`` holds the highest version in its streams, by model.
    ``groups`` are those whose items ran on it.
    """

    current_interval_s: float = 0.0
    lasting_interval_s: float = 0.0
    backoff_until_s: float = 0.0
    versions: dict[str, int] = field(default_factory=dict)
    groups: set[str] = field(default_factory=set)
    _buckets_s: deque[float] = field(default_factory=lambda: deque(maxlen=BUCKET_COUNT))
    _bucket_number: int = -1
    _bucket_sum_s: float = 0.0
    _bucket_events: int = 0

    def record_version(self, model: str, version: int) -> None:
        """Record the version that generated an event."""
        self.versions[model] = max(version, self.versions.get(model, 0))

    def record_event_interval(self, interval_s: float, now_s: float) -> None:
        """Record the time between two events of one run; the second came at ``now_s``."""
        if self.current_interval_s == 0.0:
            self.current_interval_s = interval_s
        self.current_interval_s += EWMA_WEIGHT * (interval_s - self.current_interval_s)
        bucket_number = int(now_s / BUCKET_S)
        if bucket_number != self._bucket_number:
            self._close_bucket()
            self._bucket_number = bucket_number
        self._bucket_sum_s += interval_s
        self._bucket_events += 1
        if not self._buckets_s:
            self.lasting_interval_s = self._bucket_sum_s / self._bucket_events

    def _close_bucket(self) -> None:
        if self._bucket_events:
            self._buckets_s.append(self._bucket_sum_s / self._bucket_events)
            self.lasting_interval_s = _lower_median(self._buckets_s)
        self._bucket_sum_s = 0.0
        self._bucket_events = 0


class EngineStatsTable:
    """Statistics by instance."""

    def __init__(self) -> None:
        """Start without any engine."""
        self._engine_stats: dict[str, EngineStats] = {}

    def of(self, instance: str) -> EngineStats:
        """Return the statistics of an engine, creating empty ones for a new engine."""
        return self._engine_stats.setdefault(instance, EngineStats())

    def median_event_interval_s(self) -> float:
        """Return the median of the lasting event intervals over all measured engines."""
        known = [
            stats.lasting_interval_s
            for stats in self._engine_stats.values()
            if stats.lasting_interval_s > 0.0
        ]
        return _lower_median(known) if known else DEFAULT_EVENT_INTERVAL_S

    def slowness(self, instance: str, median_event_interval_s: float = 0.0) -> float:
        """Return the ratio of an engine's lasting event interval to the median.

        It is below 1.0 for an engine faster than the median, and exactly 1.0 for one that was
        never measured or is within ``EQUAL_SLOWNESS`` of the median. Callers that query many
        engines pass the median, since computing it scans all engines.
        """
        interval_s = self.of(instance).lasting_interval_s
        if not interval_s:
            return 1.0
        ratio = interval_s / (median_event_interval_s or self.median_event_interval_s())
        return 1.0 if abs(ratio - 1.0) < EQUAL_SLOWNESS else ratio

    def current_slowness(self, instance: str, median_event_interval_s: float = 0.0) -> float:
        """Return the ratio of an engine's current event interval to the median, 1.0 if unknown."""
        interval_s = self.of(instance).current_interval_s
        if not interval_s:
            return 1.0
        return interval_s / (median_event_interval_s or self.median_event_interval_s())


def _lower_median(values: "deque[float] | list[float]") -> float:
    return sorted(values)[(len(values) - 1) // 2]
