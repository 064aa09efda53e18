"""The logs, traces and metrics of one node, readable at the node without a collector."""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from ._logs import PrefixedLog
from ._metrics import Histograms, Metrics, summarize

if TYPE_CHECKING:
    from ._tracing import Tracing


class Observer:
    """Logs, spans, histograms and counters of a node, shared by all of its components."""

    def __init__(self, node_id: str) -> None:
        """Use ``node_id`` as the logger name and as a resource attribute of spans."""
        self._node_id = node_id
        self._tracing: Tracing | None = None
        self._logger = logging.getLogger(f"samphirecleat.{node_id}")
        self._histograms = Histograms()
        self.counters: Counter[str] = Counter()

    def log(self, part: str) -> logging.LoggerAdapter[logging.Logger]:
        """Return the logger of a component, which prefixes messages with ``[part]``."""
        return PrefixedLog(self._logger, part)

    @contextmanager
    def span(self, name: str, traceparent: str, **attributes: str) -> Iterator[str]:
        """Open a child span of ``traceparent`` and yield the new span's traceparent."""
        with self._get_tracing().span(name, traceparent, attributes) as child_traceparent:
            yield child_traceparent

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
        """Return one ``name value`` line per counter and per histogram statistic."""
        lines = [f"{name} {count}" for name, count in sorted(self.counters.items())]
        for name, row in sorted(summarize(self.metrics()).items()):
            lines.extend(f"{name}_{statistic} {value:g}" for statistic, value in row.items())
        return lines

    def spans(self, trace: str = "") -> Sequence[Mapping[str, Any]]:
        """Return the most recent spans, oldest first, of ``trace`` or of all traces."""
        return self._tracing.rows(trace) if self._tracing is not None else []

    def _get_tracing(self) -> "Tracing":
        """Return the tracer; its library is imported when the first span is opened."""
        if self._tracing is None:
            from ._tracing import Tracing

            self._tracing = Tracing(self._node_id)
        return self._tracing
