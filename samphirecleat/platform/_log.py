"""Interface and HTTP client of the platform's append-only log."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, Final, NamedTuple, Protocol

import aiohttp

from ..config import LogRecord
from ._answers import RESPONSE_ERRORS

MIN_READ_TIMEOUT_S: Final = 1.0
MAX_READ_TIMEOUT_S: Final = 16.0


class AppendOutcome(Enum):
    """Whether an append took effect, as far as the response tells."""

    APPENDED = "appended"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"


class AppendResult(NamedTuple):
    """The result of one append; ``offset`` is -1 unless ``outcome`` is APPENDED."""

    outcome: AppendOutcome
    offset: int = -1
    detail: str = ""


class LogBatch(NamedTuple):
    """Records read from a stream, in offset order.

    ``first_kept_offset`` is the oldest offset that the log retains; ``next_offset`` is where the
    next read starts.
    """

    records: Sequence[LogRecord]
    first_kept_offset: int
    next_offset: int


class LogUnavailableError(Exception):
    """The log could not be read because it is down, slow or unreachable."""


class Log(Protocol):
    """Append and read operations of the log."""

    async def append(self, stream: str, payload: Mapping[str, Any]) -> AppendResult:
        """Append one record; a failure of the log is reported in the result, never raised."""
        ...

    async def read(
        self, stream: str, from_offset: int, wait_s: float, *, timeout_s: float
    ) -> LogBatch:
        """Read records from an offset on, waiting up to ``wait_s`` for a first record.

        The response may take ``timeout_s`` longer than the wait. The offsets of a stream have no
        gaps.

        :raises LogUnavailableError: when the log gives no usable response.
        """
        ...


class HttpLog:
    """Client of the log over HTTP; the process shares one session."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, *, timeout_s: float = 3.0
    ) -> None:
        """Use the log at ``base_url``; ``timeout_s`` limits each append."""
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
                    # The log sends these without appending the record.
                    return AppendResult(
                        AppendOutcome.NOT_APPENDED, detail=f"HTTP {response.status}"
                    )
                return AppendResult(AppendOutcome.UNKNOWN, detail=f"HTTP {response.status}")
        except aiohttp.ClientConnectorError as error:
            return AppendResult(AppendOutcome.NOT_APPENDED, detail=str(error))
        except RESPONSE_ERRORS as error:
            # The record may have been appended although the response was lost.
            return AppendResult(AppendOutcome.UNKNOWN, detail=str(error) or type(error).__name__)

    async def read(
        self, stream: str, from_offset: int, wait_s: float, *, timeout_s: float = 3.0
    ) -> LogBatch:
        """Read records from an offset on; see :meth:`Log.read`."""
        url = f"{self._base_url}/v1/streams/{stream}/records"
        query = {"from": str(from_offset), "wait_s": str(wait_s)}
        timeout = aiohttp.ClientTimeout(total=wait_s + timeout_s)
        try:
            async with self._session.get(url, params=query, timeout=timeout) as response:
                if response.status != 200:
                    raise LogUnavailableError(f"HTTP {response.status}")
                return _read_batch(await response.json())
        except RESPONSE_ERRORS as error:
            raise LogUnavailableError(str(error) or type(error).__name__) from error


class AdaptiveReadTimeout:
    """Read timeout of one reader, short at first and longer while the log is slow.

    A fixed long timeout would block a reader for as long on a dead connection; with a fixed short
    one, a slow log could not be read at all.
    """

    def __init__(self) -> None:
        """Start with the shortest timeout."""
        self.timeout_s = MIN_READ_TIMEOUT_S
        self._failed_before = False

    async def read(self, log: Log, stream: str, from_offset: int, wait_s: float) -> LogBatch:
        """Read with the current timeout, and adapt it to the outcome.

        :raises LogUnavailableError: when the log gives no usable response.
        """
        try:
            batch = await log.read(stream, from_offset, wait_s, timeout_s=self.timeout_s)
        except LogUnavailableError:
            # A single failure may come from a dead connection; the next read opens a new one.
            if self._failed_before:
                self.timeout_s = min(MAX_READ_TIMEOUT_S, self.timeout_s * 2.0)
            self._failed_before = True
            raise
        self._failed_before = False
        self.timeout_s = max(MIN_READ_TIMEOUT_S, self.timeout_s * 0.9)
        return batch


def _read_batch(body: Any) -> LogBatch:
    """Return the typed batch.

    :raises ValueError: or another of ``RESPONSE_ERRORS``, when the body is malformed.
    """
    records = [LogRecord(int(row["offset"]), row["payload"]) for row in body["records"]]
    return LogBatch(records, int(body["first_kept_offset"]), int(body["next_offset"]))
