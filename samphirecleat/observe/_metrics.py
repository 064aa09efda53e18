"""Histograms and counters of a node, and merging them across nodes."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple

from hdrh.histogram import HdrHistogram

from .._decoding import MALFORMED_INPUT_ERRORS

MIN_VALUE_US: Final = 1
MAX_VALUE_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Metrics(NamedTuple):
    """Counters and encoded HdrHistograms, by name."""

    counters: Mapping[str, int]
    histograms: Mapping[str, str]


class MetricsFormatError(Exception):
    """Metrics received from another node cannot be decoded."""


class Histograms:
    """Histograms of durations by name, with microsecond resolution."""

    def __init__(self) -> None:
        """Start empty; a histogram is created when its first value is recorded."""
        self._histograms: dict[str, HdrHistogram] = {}

    def record_s(self, name: str, value_s: float) -> None:
        """Record a duration; values above one hour are recorded as one hour."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = _new_histogram()
            self._histograms[name] = histogram
        histogram.record_value(max(MIN_VALUE_US, min(MAX_VALUE_US, int(value_s * 1e6))))

    def encoded(self) -> Mapping[str, str]:
        """Return every histogram in its encoded form, which :func:`merge_metrics` can merge."""
        return {name: h.encode().decode() for name, h in self._histograms.items()}


def merge_metrics(node_metrics: Iterable[Metrics]) -> Metrics:
    """Merge the metrics of several nodes.

    :raises MetricsFormatError: if a histogram cannot be decoded.
    """
    counters: Counter[str] = Counter()
    histograms: dict[str, HdrHistogram] = {}
    for metrics in node_metrics:
        counters.update(metrics.counters)
        for name, encoded in metrics.histograms.items():
            histograms.setdefault(name, _new_histogram()).add(_decode(name, encoded))
    merged = {name: histogram.encode().decode() for name, histogram in histograms.items()}
    return Metrics(dict(counters), merged)


def summarize(metrics: Metrics) -> Mapping[str, Mapping[str, float]]:
    """Return the count, mean and percentiles of each histogram, in milliseconds.

    :raises MetricsFormatError: if a histogram cannot be decoded.
    """
    return {name: _summary(_decode(name, text)) for name, text in metrics.histograms.items()}


def read_metrics(body: Mapping[str, Any]) -> Metrics:
    """Return the metrics in the body of a node's JSON response.

    :raises MetricsFormatError: if the body is malformed.
    """
    try:
        counters = {str(name): int(count) for name, count in body["counters"].items()}
        histograms = {str(name): str(text) for name, text in body["histograms"].items()}
    except MALFORMED_INPUT_ERRORS as error:
        raise MetricsFormatError(repr(error)) from error
    return Metrics(counters, histograms)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS)


def _decode(name: str, encoded: str) -> HdrHistogram:
    try:
        return HdrHistogram.decode(encoded)
    except Exception as error:
        # The library raises exceptions of many types for undecodable input.
        raise MetricsFormatError(f"cannot decode histogram {name}: {error!r}") from error


def _summary(histogram: HdrHistogram) -> Mapping[str, float]:
    summary = {"count": float(histogram.get_total_count())}
    summary["mean_ms"] = histogram.get_mean_value() / 1000.0
    for percentile in PERCENTILES:
        value_us = histogram.get_value_at_percentile(percentile)
        summary[f"p{percentile:g}_ms"] = value_us / 1000.0
    return summary
