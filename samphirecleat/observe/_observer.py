"""What one node tells of itself; readable at the node, without a collector."""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any, Final

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ._logs import PrefixedLog
from ._metrics import Histograms, Metrics, summarize
from ._spans import RecentSpans

_PROPAGATOR: Final = TraceContextTextMapPropagator()


class Observer:
    """Logs, spans, histograms and counters; the parts get it from the composition root."""

    def __init__(self, node_id: str) -> None:
        """Name the node in all that is told."""
        self._spans = RecentSpans()
        provider = TracerProvider(
            resource=Resource({"service.name": "samphirecleat", "node": node_id}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._spans)
        self._tracer = provider.get_tracer("samphirecleat")
        self._logger = logging.getLogger(f"samphirecleat.{node_id}")
        self._histograms = Histograms()
        self.counters: Counter[str] = Counter()

    def log(self, part: str) -> logging.LoggerAdapter[logging.Logger]:
        """Return the log of a part, which sets the part's fixed prefix."""
        return PrefixedLog(self._logger, part)

    @contextmanager
    def span(self, name: str, traceparent: str, **attributes: str) -> Iterator[str]:
        """Open a span below ``traceparent`` and yield the one to pass on."""
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        with self._tracer.start_as_current_span(name, parent, attributes=attributes) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, set_span_in_context(span))
            yield carrier.get("traceparent", "")

    def record_s(self, name: str, value_s: float) -> None:
        """Record a duration in the histogram ``name``."""
        self._histograms.record_s(name, value_s)

    def histograms(self) -> Mapping[str, str]:
        """Return every histogram in its encoded form, which can be merged."""
        return self._histograms.encoded()

    def metrics(self) -> Metrics:
        """Return this node's counters and encoded histograms."""
        return Metrics(dict(self.counters), self.histograms())

    def metric_lines(self) -> Sequence[str]:
        """Return ``name value`` lines of all counters and of the histograms' percentiles."""
        lines = [f"{name} {count}" for name, count in sorted(self.counters.items())]
        for name, row in sorted(summarize(self.metrics()).items()):
            lines.extend(f"{name}_{part} {value:g}" for part, value in row.items())
        return lines

    def spans(self, trace: str = "") -> Sequence[Mapping[str, Any]]:
        """Return the newest spans, oldest first, of one trace or of all."""
        return [row._asdict() for row in self._spans.rows(trace)]
