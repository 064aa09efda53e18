"""Logs, traces and metrics."""

from ._logs import BoundedHandler, JsonFormatter, PrefixedLog, make_formatter
from ._metrics import (
    Histograms,
    Metrics,
    MetricsFormatError,
    merge_metrics,
    read_metrics,
    summarize,
)
from ._observer import Observer
from ._spans import RecentSpans, SpanRow

__all__ = [
    "BoundedHandler",
    "Histograms",
    "JsonFormatter",
    "Metrics",
    "MetricsFormatError",
    "Observer",
    "PrefixedLog",
    "RecentSpans",
    "SpanRow",
    "make_formatter",
    "merge_metrics",
    "read_metrics",
    "summarize",
]
