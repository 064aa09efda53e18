"""Histograms and counters of a node, and how those of many nodes become one."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_US: Final = 1
HIGHEST_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Metrics(NamedTuple):
    """Counters, and histograms in hdrhistogram's encoded form, by name."""

    counters: Mapping[str, int]
    histograms: Mapping[str, str]


class MetricsFormatError(Exception):
    """Metrics of another node that are not understood."""


class Histograms:
    """Durations by name, in whole microseconds."""

    def __init__(self) -> None:
        """Start with none; a histogram is made when its first value comes."""
        self._histograms: dict[str, HdrHistogram] = {}

    def record_s(self, name: str, value_s: float) -> None:
        """Record a duration; one beyond an hour counts as an hour."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = _new_histogram()
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(value_s * 1e6))))

    def encoded(self) -> Mapping[str, str]:
        """Return every histogram in its encoded form, which can be merged."""
        return {name: h.encode().decode() for name, h in self._histograms.items()}


def merge_metrics(parts: Iterable[Metrics]) -> Metrics:
    """Return the metrics of several nodes as one.

    :raises MetricsFormatError: when a part holds a histogram that cannot be read.
    """
    counters: Counter[str] = Counter()
    histograms: dict[str, HdrHistogram] = {}
    for part in parts:
        counters.update(part.counters)
        for name, encoded in part.histograms.items():
            histograms.setdefault(name, _new_histogram()).add(_decode(name, encoded))
    merged = {name: histogram.encode().decode() for name, histogram in histograms.items()}
    return Metrics(dict(counters), merged)


def summarize(metrics: Metrics) -> Mapping[str, Mapping[str, float]]:
    """Return count, mean and percentiles in milliseconds of each histogram.

    :raises MetricsFormatError: when a histogram cannot be read.
    """
    return {name: _summary(_decode(name, text)) for name, text in metrics.histograms.items()}


def read_metrics(body: Mapping[str, Any]) -> Metrics:
    """Return the metrics of a node's JSON answer.

    :raises MetricsFormatError: when it does not hold any.
    """
    try:
        counters = {str(name): int(count) for name, count in body["counters"].items()}
        histograms = {str(name): str(text) for name, text in body["histograms"].items()}
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MetricsFormatError(repr(error)) from error
    return Metrics(counters, histograms)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _decode(name: str, encoded: str) -> HdrHistogram:
    try:
        return HdrHistogram.decode(encoded)
    except Exception as error:
        # The library raises many kinds for a text that it cannot decode.
        raise MetricsFormatError(f"histogram {name}: {error!r}") from error


def _summary(histogram: HdrHistogram) -> Mapping[str, float]:
    summary = {"count": float(histogram.get_total_count())}
    summary["mean_ms"] = histogram.get_mean_value() / 1000.0
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}_ms"] = value_us / 1000.0
    return summary
