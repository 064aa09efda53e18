"""What durable steps need from outside: a keyed log, and engines that stream tokens."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..serving import Target

UNCONDITIONAL: Final = -1
# One answer of the log; it sends a megabyte at most.
MAX_READ_BYTES: Final = 1 << 20


class LogEntry(NamedTuple):
    """One record of a keyed topic; an empty ``value`` drops its key."""

    offset: int
    key: str
    value: bytes


class LogSlice(NamedTuple):
    """Entries in offset order, and where the log ended when they were read."""

    entries: Sequence[LogEntry]
    end: int


class AppendOutcome(Enum):
    """What is known of an append after its answer, or the lack of one."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    CONDITION_FAILED = "condition_failed"
    UNKNOWN = "unknown"


class AppendResult(NamedTuple):
    """The outcome of one append; ``offset`` is -1 unless it is APPENDED."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class LogUnavailableError(Exception):
    """The log gave no usable answer."""


class HistoryGoneError(Exception):
    """The records that were asked for are no longer kept; read the newest of each key."""


class KeyedLog(Protocol):
    """A log that keeps the newest record of each key for good."""

    async def newest(self, topic: str, prefix: str = "") -> LogSlice:
        """Return the newest entry of every key, or of every key that begins with ``prefix``.

        ``end`` is from before the first entry was read, so that reading on from it
        misses nothing.

        :raises LogUnavailableError: when there is no usable answer.
        """
        ...

    async def read(
        self, topic: str, from_offset: int, wait_s: float, *, max_bytes: int = MAX_READ_BYTES
    ) -> LogSlice:
        """Return entries from an offset on, at least one if there is any.

        Waits up to ``wait_s`` for a first; of what there is, about ``most_bytes``.

        :raises LogUnavailableError: when there is no usable answer.
        :raises HistoryGoneError: when the offset is no longer kept.
        """
        ...

    async def append(
        self, topic: str, entries: Sequence[tuple[str, bytes]], at: int = UNCONDITIONAL
    ) -> AppendResult:
        """Append entries all or none, only if the topic ends at ``at`` where it is given.

        Never raises for a failure of the log.
        """
        ...


class PeerTexts(Protocol):
    """Texts that another node still has in memory."""

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        """Return those of ``keys`` that the process of an incarnation has, packed as written.

        Never raises for a process that is gone or does not answer; it has none.
        """
        ...


class PlainLog(Protocol):
    """A topic without keys whose old records vanish, for what may be lost."""

    async def append_plain(self, topic: str, records: Sequence[bytes]) -> AppendResult:
        """Append records; never raises for a failure of the log."""
        ...

    async def trim_plain(self, topic: str, before: int) -> None:
        """Drop the records before an offset; a failure leaves them for the next time."""
        ...

    async def read_plain(self, topic: str) -> Sequence[bytes]:
        """Return all records that are still kept.

        :raises LogUnavailableError: when there is no usable answer.
        """
        ...


class GenerationEvent(NamedTuple):
    """One event of a generation: its id, its data, and the weights that made it."""

    event_id: int
    data: str
    version: int


class GenerationCall(NamedTuple):
    """One run of an item at an engine; resumes behind ``last_event_id`` unless it is 0.

    ``workspace`` is whose step the item belongs to, "" for nobody's.
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
    """A run that ended without its end."""

    def __init__(self, detail: str, reason: "GenerationFailure", *, cut: bool = False) -> None:
        """Say what was seen of the engine; ``cut`` if it closed the connection."""
        super().__init__(detail)
        self.cut = cut
        self.detail = detail
        self.reason = reason


class GenerationFailure(Enum):
    """Why a run ended early."""

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
        """Yield pieces until the engine said that the text is whole.

        :raises GenerationError: when the run ends before that.
        """
        ...
