"""Interfaces that durable steps depend on: the keyed log and the engines that stream tokens."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..serving import Target

UNCONDITIONAL: Final = -1
# Size of one read; the log returns at most 1 MiB.
MAX_READ_BYTES: Final = 1 << 20


class LogEntry(NamedTuple):
    """One record of a keyed topic; an empty ``value`` deletes its key."""

    offset: int
    key: str
    value: bytes


class LogSlice(NamedTuple):
    """Entries in offset order, and the end offset of the topic when they were read."""

    entries: Sequence[LogEntry]
    end: int


class AppendOutcome(Enum):
    """The outcome of an append; UNKNOWN when the response was lost."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    CONDITION_FAILED = "condition_failed"
    UNKNOWN = "unknown"


class AppendResult(NamedTuple):
    """The outcome of one append; ``offset`` is -1 unless the outcome is APPENDED."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class LogUnavailableError(Exception):
    """The log could not be reached or gave no usable response."""


class HistoryGoneError(Exception):
    """The requested offset has been compacted away; read the newest entry of each key instead."""


class KeyedLog(Protocol):
    """A compacted log, which retains the newest record of each key indefinitely."""

    async def newest(self, topic: str, prefix: str = "") -> LogSlice:
        """Return the newest entry of every key that begins with ``prefix``.

        ``end`` was taken before the first entry was read, so a reader that continues from it
        misses no entry.

        :raises LogUnavailableError: when there is no usable response.
        """
        ...

    async def read(
        self, topic: str, from_offset: int, wait_s: float, *, max_bytes: int = MAX_READ_BYTES
    ) -> LogSlice:
        """Return the entries from an offset, at least one if there is any.

        Waits up to ``wait_s`` seconds for the first entry and returns about ``max_bytes`` at most.

        :raises LogUnavailableError: when there is no usable response.
        :raises HistoryGoneError: when the offset is no longer retained.
        """
        ...

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        """Append entries atomically; if ``at`` is given, only if the topic ends at that offset.

        Failures of the log are reported in the result and never raised.
        """
        ...


class PeerTexts(Protocol):
    """Access to texts that other nodes have in memory."""

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        """Return the compressed texts of those ``keys`` that an incarnation has cached.

        Returns none of them, and does not raise, when the process is gone or does not respond.
        """
        ...


class PlainLog(Protocol):
    """Topics without keys, whose old records expire; for data that may be lost."""

    async def append_plain(self, topic: str, records: Sequence[bytes]) -> AppendResult:
        """Append records; failures of the log are reported in the result and never raised."""
        ...

    async def trim_plain(self, topic: str, before: int) -> None:
        """Delete the records before an offset; after a failure they remain until the next call."""
        ...

    async def read_plain(self, topic: str) -> Sequence[bytes]:
        """Return all records that are still retained.

        :raises LogUnavailableError: when there is no usable response.
        """
        ...


class GenerationEvent(NamedTuple):
    """One event of a generation: its ID, its data and the version of the weights."""

    event_id: int
    data: str
    version: int


class GenerationCall(NamedTuple):
    """One run of an item at an engine; resumes after ``last_event_id`` unless it is 0.

    ``budget_s`` is in seconds. ``workspace`` owns the step of the item, "" if none does.
    """

    item_id: str
    host: str
    raw_path: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    last_event_id: int
    budget_s: float
    priority: int
    workspace: str = ""


class GenerationError(Exception):
    """A run that ended before its text was complete."""

    def __init__(
        self, detail: str, reason: "GenerationFailure", *, connection_closed: bool = False
    ) -> None:
        """Create the error; ``connection_closed`` says whether the engine closed the connection."""
        super().__init__(detail)
        self.connection_closed = connection_closed
        self.detail = detail
        self.reason = reason


class GenerationFailure(Enum):
    """Why a run ended before its text was complete; MOVED if its runner ended it."""

    MOVED = "moved"
    REFUSED = "refused"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    BROKEN = "broken"
    WRONG_INSTANCE = "wrong_instance"
    SILENT = "silent"


class GenerationChannel(Protocol):
    """Streams the tokens of one item from one engine."""

    def generate(
        self, call: GenerationCall, target: Target
    ) -> AsyncGenerator[GenerationEvent, None]:
        """Yield events until the engine reports that the text is complete.

        :raises GenerationError: when the run ends before that.
        """
        ...
