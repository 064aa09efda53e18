"""Distributed tracing with one span per hop, stored at the node.

This is a separate module because the tracing library takes several megabytes of memory, and a
daemon that opens no spans does not need to import it.
"""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Any, Final

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ._spans import RecentSpans

_PROPAGATOR: Final = TraceContextTextMapPropagator()


class Tracing:
    """Opens spans for one node and stores the most recent ones."""

    def __init__(self, node_id: str) -> None:
        """Set ``node_id`` as a resource attribute of every span."""
        self._spans = RecentSpans()
        provider = TracerProvider(
            resource=Resource({"service.name": "samphirecleat", "node": node_id}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._spans)
        self._tracer = provider.get_tracer("samphirecleat")

    @contextmanager
    def span(self, name: str, traceparent: str, attributes: Mapping[str, str]) -> Iterator[str]:
        """Open a child span of ``traceparent`` and yield the new span's traceparent."""
        parent = _PROPAGATOR.extract({"traceparent": traceparent})
        with self._tracer.start_as_current_span(name, parent, attributes=attributes) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, set_span_in_context(span))
            yield carrier.get("traceparent", "")

    def rows(self, trace: str) -> Sequence[Mapping[str, Any]]:
        """Return the most recent spans, oldest first, of one trace or, if empty, of all."""
        return [row._asdict() for row in self._spans.rows(trace)]
