"""A keyed log in memory, with the failures that the platform's store may show."""

import asyncio
from collections.abc import Sequence

from samphirecleat.durable import (
    UNCONDITIONAL,
    AppendOutcome,
    AppendResult,
    HistoryGoneError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
)


class MemoryLog:
    """One topic's entries; ``answers`` says what becomes of the next appends.

    ``lost``: done and not answered. ``late``: not answered, done by :meth:`catch_up`.
    ``refused``: nothing is done. An empty list: all works.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.first_kept = 0
        self.down = False
        self.answers: list[str] = []
        self.appends = 0
        self.trimmed_to = 0
        self._late: list[tuple[Sequence[tuple[str, bytes]], int]] = []
        self._news = asyncio.Event()

    @property
    def end(self) -> int:
        return len(self.entries)

    async def newest(self, topic: str, after: str = "") -> LogSlice:
        del topic
        if self.down:
            raise LogUnavailableError("down")
        newest = {entry.key: entry for entry in self.entries if entry.key > after}
        return LogSlice([newest[key] for key in sorted(newest)], self.end)

    async def read(self, topic: str, from_offset: int, wait_s: float) -> LogSlice:
        del topic
        if self.down:
            raise LogUnavailableError("down")
        if from_offset < self.first_kept:
            raise HistoryGoneError(self.first_kept)
        if from_offset >= self.end and wait_s > 0.0:
            news = self._news
            try:
                async with asyncio.timeout(wait_s):
                    await news.wait()
            except TimeoutError:
                pass
        if self.down:
            raise LogUnavailableError("down")
        return LogSlice(self.entries[from_offset:], self.end)

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        del topic
        self.appends += 1
        answer = self.answers.pop(0) if self.answers else ""
        if self.down or answer == "refused":
            return AppendResult(AppendOutcome.NOT_APPENDED, detail="refused")
        if answer == "late":
            self._late.append((entries, at))
            return AppendResult(AppendOutcome.UNKNOWN, detail="no answer")
        result = self.do_append(entries, at)
        if answer == "lost":
            return AppendResult(AppendOutcome.UNKNOWN, detail="no answer")
        return result

    def do_append(self, entries: Sequence[tuple[str, bytes]], at: int) -> AppendResult:
        """Append now, whatever is to be answered."""
        if at != UNCONDITIONAL and at != self.end:
            return AppendResult(AppendOutcome.CONDITION_FAILED)
        offset = self.end
        self.entries.extend(
            LogEntry(offset + number, key, value) for number, (key, value) in enumerate(entries)
        )
        news, self._news = self._news, asyncio.Event()
        news.set()
        return AppendResult(AppendOutcome.APPENDED, offset)

    def catch_up(self) -> None:
        """Carry out the appends that are late."""
        late, self._late = self._late, []
        for entries, at in late:
            self.do_append(entries, at)

    def forget_history(self) -> None:
        """Drop every record that is not the newest of its key from what can be read on."""
        self.first_kept = self.end
