"""A bounded in-memory store of the most recent spans of a node."""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor

MAX_SPANS: Final = 1000


class SpanRow(NamedTuple):
    """A finished span; times are nanoseconds since the epoch on this host's clock."""

    trace: str
    span: str
    parent: str
    name: str
    start_ns: int
    end_ns: int
    attributes: Mapping[str, Any]


class RecentSpans(SpanProcessor):
    """Stores the most recent finished spans.

    The spans of the SDK also hold events, links and resources, several kilobytes each.
    Only the fields that operators read are stored.
    """

    def __init__(self) -> None:
        """Start without spans."""
        self._rows: deque[SpanRow] = deque(maxlen=MAX_SPANS)

    def on_end(self, span: ReadableSpan) -> None:
        """Store a finished span."""
        self._rows.append(_make_row(span))

    def rows(self, trace: str = "") -> Sequence[SpanRow]:
        """Return the spans, oldest first, of ``trace`` or of all traces."""
        return [row for row in self._rows if not trace or row.trace == trace]


def _make_row(span: ReadableSpan) -> SpanRow:
    context = span.get_span_context()
    parent = span.parent
    return SpanRow(
        trace=f"{context.trace_id:032x}" if context else "",
        span=f"{context.span_id:016x}" if context else "",
        parent=f"{parent.span_id:016x}" if parent else "",
        name=span.name,
        start_ns=span.start_time or 0,
        end_ns=span.end_time or 0,
        attributes=dict(span.attributes or {}),
    )
