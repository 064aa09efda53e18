"""The newest spans of a node, kept small enough to stay in memory."""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor

SPANS_KEPT: Final = 1000


class SpanRow(NamedTuple):
    """An ended span; times are in nanoseconds of this host's clock."""

    trace: str
    span: str
    parent: str
    name: str
    start_ns: int
    end_ns: int
    attributes: Mapping[str, Any]


class RecentSpans(SpanProcessor):
    """Keeps the newest ended spans.

    What the SDK hands over holds events, links and resources as well, several
    kilobytes a span; only what an operator reads is kept.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._rows: deque[SpanRow] = deque(maxlen=SPANS_KEPT)

    def on_end(self, span: ReadableSpan) -> None:
        """Keep a span that ended."""
        self._rows.append(_make_row(span))

    def rows(self, trace: str = "") -> Sequence[SpanRow]:
        """Return the spans, oldest first, of one trace or of all."""
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
