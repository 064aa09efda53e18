"""An in-memory keyed log that simulates the failures of the platform's store."""

import asyncio
from collections import defaultdict
from collections.abc import Sequence

from samphirecleat.durable import (
    MAX_READ_BYTES,
    UNCONDITIONAL,
    AppendOutcome,
    AppendResult,
    HistoryGoneError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
)
from samphirecleat.durable._step_log import STEP_TOPIC


class MemoryTopic:
    """The entries of one topic; ``answers`` holds the outcomes of the next appends.

    ``lost``: applied, but the response is lost. ``late``: no response, applied by
    :meth:`apply_delayed`. ``refused``: not applied. Appends succeed once the list is empty.
    An append blocks until the ``gate`` event is set.
    """

    def __init__(self) -> None:
        self.entries: list[LogEntry] = []
        self.first_retained_offset = 0
        self.down = False
        self.answers: list[str] = []
        self.appends = 0
        self.reads = 0
        self.trimmed_to = 0
        self._delayed_appends: list[tuple[Sequence[tuple[str, bytes]], int]] = []
        self._appended = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()

    @property
    def end(self) -> int:
        return len(self.entries)

    async def newest(self, prefix: str) -> LogSlice:
        if self.down:
            raise LogUnavailableError("down")
        newest = {entry.key: entry for entry in self.entries if entry.key.startswith(prefix)}
        kept = [newest[key] for key in sorted(newest) if newest[key].value]
        return LogSlice(kept, self.end)

    async def read(self, from_offset: int, wait_s: float, max_bytes: int) -> LogSlice:
        if self.down:
            raise LogUnavailableError("down")
        if from_offset < self.first_retained_offset:
            raise HistoryGoneError(self.first_retained_offset)
        if from_offset >= self.end and wait_s > 0.0:
            appended = self._appended
            try:
                async with asyncio.timeout(wait_s):
                    await appended.wait()
            except TimeoutError:
                pass
        if self.down:
            raise LogUnavailableError("down")
        self.reads += 1
        sent: list[LogEntry] = []
        for entry in self.entries[from_offset:]:
            max_bytes -= len(entry.value) + len(entry.key)
            if sent and max_bytes < 0:
                break
            sent.append(entry)
        return LogSlice(sent, self.end)

    async def append(self, entries: Sequence[tuple[str, bytes]], at: int) -> AppendResult:
        self.appends += 1
        await self.gate.wait()
        answer = self.answers.pop(0) if self.answers else ""
        if self.down or answer == "refused":
            return AppendResult(AppendOutcome.NOT_APPENDED, detail="refused")
        if answer == "late":
            self._delayed_appends.append((entries, at))
            return AppendResult(AppendOutcome.UNKNOWN, detail="no answer")
        result = self.do_append(entries, at)
        if answer == "lost":
            return AppendResult(AppendOutcome.UNKNOWN, detail="no answer")
        return result

    def do_append(self, entries: Sequence[tuple[str, bytes]], at: int) -> AppendResult:
        """Apply an append now, whatever response is simulated."""
        if at != UNCONDITIONAL and at != self.end:
            return AppendResult(AppendOutcome.CONDITION_FAILED)
        offset = self.end
        self.entries.extend(
            LogEntry(offset + number, key, value) for number, (key, value) in enumerate(entries)
        )
        appended, self._appended = self._appended, asyncio.Event()
        appended.set()
        return AppendResult(AppendOutcome.APPENDED, offset)

    def apply_delayed(self) -> None:
        """Apply the delayed appends."""
        delayed, self._delayed_appends = self._delayed_appends, []
        for entries, at in delayed:
            self.do_append(entries, at)

    def compact(self) -> None:
        """Simulate compaction: earlier entries remain readable only as the newest of their key."""
        self.first_retained_offset = self.end


class MemoryLog(MemoryTopic):
    """A keyed log; it is itself the step topic and holds the others in ``topics``."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: defaultdict[str, MemoryTopic] = defaultdict(MemoryTopic)

    def topic(self, name: str) -> MemoryTopic:
        """Return a topic; while the log is down, all its topics are."""
        if name == STEP_TOPIC:
            return self
        topic = self.topics[name]
        topic.down = self.down
        return topic

    async def newest(self, topic: str, prefix: str = "") -> LogSlice:  # type: ignore[override]
        return await MemoryTopic.newest(self.topic(topic), prefix)

    async def read(  # type: ignore[override]
        self, topic: str, from_offset: int, wait_s: float, *, max_bytes: int = MAX_READ_BYTES
    ) -> LogSlice:
        return await MemoryTopic.read(self.topic(topic), from_offset, wait_s, max_bytes)

    async def append(  # type: ignore[override]
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        return await MemoryTopic.append(self.topic(topic), entries, at)
