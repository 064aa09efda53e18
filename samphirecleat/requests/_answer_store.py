"""Memory bound for all answers that a node buffers."""

from ._answer_log import AnswerLog


class AnswerStore:
    """Creates answer logs and limits their combined size to ``max_bytes``.

    Above the limit, closed answers are discarded: those without readers first,
    and in the order in which they were closed. Open answers are never discarded;
    while they alone reach the limit, :attr:`has_room` is false and no new request
    may start.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty store."""
        self._max_bytes = max_bytes
        self._closed_logs: dict[int, AnswerLog] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Combined estimated size of all answers."""
        return self._total_bytes

    @property
    def has_room(self) -> bool:
        """Whether a new answer may be started."""
        return self._total_bytes < self._max_bytes

    def create_log(self) -> AnswerLog:
        """Return a new log whose size counts toward the limit."""
        return AnswerLog(self._record_resize)

    def release(self, log: AnswerLog) -> None:
        """Discard a closed answer that will not be requested again."""
        log.discard()
        self._closed_logs.pop(id(log), None)

    def _record_resize(self, log: AnswerLog, delta_bytes: int) -> None:
        self._total_bytes += delta_bytes
        if log.closed and log.size_bytes:
            self._closed_logs.setdefault(id(log), log)
        elif log.closed:
            self._closed_logs.pop(id(log), None)
        if self._total_bytes > self._max_bytes:
            self._discard_excess()

    def _discard_excess(self) -> None:
        for log in sorted(self._closed_logs.values(), key=lambda closed: closed.readers > 0):
            if self._total_bytes <= self._max_bytes:
                return
            log.discard()
