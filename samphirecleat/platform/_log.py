"""The platform's append-only log: what we need of it, and its HTTP client."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, Final, NamedTuple, Protocol

import aiohttp

from ..config import LogRecord
from ._answers import ANSWER_FAULTS

MIN_READ_TIMEOUT_S: Final = 1.0
MAX_READ_TIMEOUT_S: Final = 16.0


class AppendOutcome(Enum):
    """What is known of an append after its answer, or the lack of one."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


class AppendResult(NamedTuple):
    """The outcome of one append; ``offset`` is -1 unless it is APPENDED."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class LogBatch(NamedTuple):
    """Records read from a stream, in offset order.

    ``first_kept_offset`` is the oldest offset that the log still holds;
    ``next_offset`` is where the next read starts.
    """

    records: Sequence[LogRecord]
    first_kept_offset: int
    next_offset: int


class LogUnavailableError(Exception):
    """The log could not be read: it is down, slow, or out of reach."""


class Log(Protocol):
    """What the system needs of the log."""

    async def append(self, stream: str, payload: Mapping[str, Any]) -> AppendResult:
        """Append one record; never raises for a failure of the log."""
        ...

    async def read(
        self, stream: str, from_offset: int, wait_s: float, *, timeout_s: float
    ) -> LogBatch:
        """Read on from an offset, waiting up to ``wait_s`` for a first record.

        The answer may take ``timeout_s`` beyond the wait. Offsets of one stream
        follow each other without gaps.

        :raises LogUnavailableError: when the log gives no answer.
        """
        ...


class HttpLog:
    """The log over HTTP; one session is shared with the rest of the process."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, *, timeout_s: float = 3.0
    ) -> None:
        """Talk to the log at ``base_url``, at most ``timeout_s`` beyond any wait."""
        self._session = session
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def append(self, stream: str, payload: Mapping[str, Any]) -> AppendResult:
        """Append one record; see :meth:`Log.append`."""
        url = f"{self._base_url}/v1/streams/{stream}/records"
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.post(url, json=payload, timeout=timeout) as response:
                if response.status == 200:
                    body = await response.json()
                    return AppendResult(AppendOutcome.APPENDED, int(body["offset"]))
                if response.status in (400, 413, 429):
                    # The log answers these before it takes the record.
                    return AppendResult(
                        AppendOutcome.NOT_APPENDED, detail=f"HTTP {response.status}"
                    )
                return AppendResult(AppendOutcome.UNKNOWN, detail=f"HTTP {response.status}")
        except aiohttp.ClientConnectorError as error:
            return AppendResult(AppendOutcome.NOT_APPENDED, detail=str(error))
        except ANSWER_FAULTS as error:
            # The record may have been taken although its answer was lost.
            return AppendResult(AppendOutcome.UNKNOWN, detail=str(error) or type(error).__name__)

    async def read(
        self, stream: str, from_offset: int, wait_s: float, *, timeout_s: float = 3.0
    ) -> LogBatch:
        """Read on from an offset; see :meth:`Log.read`."""
        url = f"{self._base_url}/v1/streams/{stream}/records"
        query = {"from": str(from_offset), "wait_s": str(wait_s)}
        timeout = aiohttp.ClientTimeout(total=wait_s + timeout_s)
        try:
            async with self._session.get(url, params=query, timeout=timeout) as response:
                if response.status != 200:
                    raise LogUnavailableError(f"HTTP {response.status}")
                return _read_batch(await response.json())
        except ANSWER_FAULTS as error:
            raise LogUnavailableError(str(error) or type(error).__name__) from error


class AdaptiveReadTimeout:
    """How long one reader waits for answers: short, and longer while the log is slow.

    A connection that went silent would otherwise hold up a reader for as long as
    the slowest log may take; a log that is only slow would never be read.
    """

    def __init__(self) -> None:
        """Start with the shortest patience."""
        self.timeout_s = MIN_READ_TIMEOUT_S
        self._failed_before = False

    async def read(self, log: Log, stream: str, from_offset: int, wait_s: float) -> LogBatch:
        """Read with the present patience, and learn from the outcome.

        :raises LogUnavailableError: when the log gives no answer.
        """
        try:
            batch = await log.read(stream, from_offset, wait_s, timeout_s=self.timeout_s)
        except LogUnavailableError:
            # One read may have met a silent connection; the next has a new one.
            if self._failed_before:
                self.timeout_s = min(MAX_READ_TIMEOUT_S, self.timeout_s * 2.0)
            self._failed_before = True
            raise
        self._failed_before = False
        self.timeout_s = max(MIN_READ_TIMEOUT_S, self.timeout_s * 0.9)
        return batch


def _read_batch(body: Any) -> LogBatch:
    """Return the typed batch.

    :raises ValueError: and the like, when the body is no answer of the log.
    """
    records = [LogRecord(int(row["offset"]), row["payload"]) for row in body["records"]]
    return LogBatch(records, int(body["first_kept_offset"]), int(body["next_offset"]))
