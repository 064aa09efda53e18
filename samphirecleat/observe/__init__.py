"""Logs, traces and metrics."""

from typing import TYPE_CHECKING

from .._lazy_exports import lazy_exports
from ._logs import JsonFormatter, PrefixedLog, RateLimitedHandler, make_formatter
from ._metrics import (
    Histograms,
    Metrics,
    MetricsFormatError,
    merge_metrics,
    read_metrics,
    summarize,
)
from ._observer import Observer

if TYPE_CHECKING:
    from ._spans import RecentSpans, SpanRow

__all__ = [
    "RateLimitedHandler",
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

# Loaded lazily because the spans import the tracing library.
__getattr__ = lazy_exports(__name__, {"RecentSpans": "_spans", "SpanRow": "_spans"})
