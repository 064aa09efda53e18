"""Logs, spans and histograms of one node, readable at the node itself."""

import logging
from collections import Counter, deque
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any, Final

from hdrh.histogram import HdrHistogram
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

SPANS_KEPT: Final = 500
LOWEST_US: Final = 1
HIGHEST_US: Final = 3_600_000_000
SIGNIFICANT_DIGITS: Final = 2
_PROPAGATOR: Final = TraceContextTextMapPropagator()


class _RecentSpans(SpanProcessor):
    """Keeps the newest ended spans in memory."""

    def __init__(self) -> None:
        self.spans: deque[ReadableSpan] = deque(maxlen=SPANS_KEPT)

    def on_end(self, span: ReadableSpan) -> None:
        self.spans.append(span)


class Observer:
    """What a node tells of itself; the parts get it from the composition root."""

    def __init__(self, node_id: str) -> None:
        """Name the node in all that is told."""
        self._recent = _RecentSpans()
        provider = TracerProvider(
            resource=Resource({"service.name": "samphirecleat", "node": node_id}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._recent)
        self._tracer = provider.get_tracer("samphirecleat")
        self._logger = logging.getLogger(f"samphirecleat.{node_id}")
        self._histograms: dict[str, HdrHistogram] = {}
        self.counters: Counter[str] = Counter()

    def log(self, part: str) -> logging.LoggerAdapter[logging.Logger]:
        """Return the log of a part, which sets the part's fixed prefix."""
        return _PrefixedLog(self._logger, {"part": part})

    @contextmanager
    def span(self, name: str, traceparent: str, **attributes: str) -> Iterator[str]:
        """Open a span below ``traceparent`` and yield the one to pass on."""
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        with self._tracer.start_as_current_span(name, parent, attributes=attributes) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, set_span_in_context(span))
            yield carrier.get("traceparent", "")

    def record_s(self, name: str, value_s: float) -> None:
        """Record a duration in the histogram ``name``, in whole microseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(value_s * 1e6))))

    def histograms(self) -> Mapping[str, str]:
        """Return every histogram in its encoded form, which can be merged."""
        return {name: h.encode().decode() for name, h in self._histograms.items()}

    def spans(self) -> Sequence[Mapping[str, Any]]:
        """Return the newest spans, oldest first."""
        return [_span_row(span) for span in self._recent.spans]


class _PrefixedLog(logging.LoggerAdapter):  # type: ignore[type-arg]
    def process(self, msg: Any, kwargs: Any) -> tuple[Any, Any]:
        assert self.extra is not None
        return f"[{self.extra['part']}] {msg}", kwargs


def _span_row(span: ReadableSpan) -> Mapping[str, Any]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "trace": f"{context.trace_id:032x}" if context else "",
        "span": f"{context.span_id:016x}" if context else "",
        "parent": f"{parent.span_id:016x}" if parent else "",
        "name": span.name,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }
