"""Bounds the memory that all answers of a node hold together."""

from ._answer_log import AnswerLog


class AnswerStore:
    """Makes answer logs and keeps what they hold together within ``max_bytes``.

    Answers that have ended are discarded, the oldest end first, and among them
    those that nobody reads before those that somebody does. Answers still being
    made are never touched; while they alone pass the bound, :attr:`has_room` is
    false and nothing new may start.
    """

    def __init__(self, max_bytes: int) -> None:
        """Start empty."""
        self._max_bytes = max_bytes
        self._ended: dict[int, AnswerLog] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """What all answers hold now."""
        return self._held_bytes

    @property
    def has_room(self) -> bool:
        """Whether one more answer may be started."""
        return self._held_bytes < self._max_bytes

    def create_log(self) -> AnswerLog:
        """Return a new log whose size is counted here."""
        return AnswerLog(self._note)

    def release(self, log: AnswerLog) -> None:
        """Let go of an ended answer that nobody will ask for again."""
        log.discard()
        self._ended.pop(id(log), None)

    def _note(self, log: AnswerLog, grown_bytes: int) -> None:
        self._held_bytes += grown_bytes
        if log.closed and log.size_bytes:
            self._ended.setdefault(id(log), log)
        elif log.closed:
            self._ended.pop(id(log), None)
        if self._held_bytes > self._max_bytes:
            self._shrink()

    def _shrink(self) -> None:
        for log in sorted(self._ended.values(), key=lambda ended: ended.readers > 0):
            if self._held_bytes <= self._max_bytes:
                return
            log.discard()
