"""Publishes a service text: appends it once and reads the log until its outcome is known."""

import asyncio
import secrets
from collections.abc import Sequence
from enum import Enum
from typing import Final, NamedTuple

from .config import (
    ConfigState,
    LogRecord,
    Publication,
    fold_records,
    publication_payload,
    read_record,
    read_service_text,
)
from .platform import AdaptiveReadTimeout, AppendOutcome, Log, LogUnavailableError

CONFIG_STREAM: Final = "config"
READ_WAIT_S: Final = 1.0
RETRY_DELAY_S: Final = 0.3


class PublishOutcome(Enum):
    """The outcome of a publication; the value is the exit code of the command."""

    ACCEPTED = 0
    REJECTED = 1
    UNKNOWN = 3


class PublishResult(NamedTuple):
    """The result of a publication; ``revision`` is -1 unless it was accepted."""

    outcome: PublishOutcome
    publication_id: str
    revision: int
    detail: str


def find_result(
    state: ConfigState, records: Sequence[LogRecord], publication_id: str
) -> PublishResult | None:
    """Return the result of a publication, or None if the records do not decide it yet.

    If the id occurs in the log several times, an accepted occurrence takes precedence.
    """
    outcome = state.outcomes.get(publication_id)
    if outcome is not None and outcome.accepted:
        detail = f"revision {outcome.offset} is in force"
        return PublishResult(PublishOutcome.ACCEPTED, publication_id, outcome.offset, detail)
    if outcome is not None:
        return PublishResult(PublishOutcome.REJECTED, publication_id, -1, outcome.reason)
    offsets = [record.offset for record in records if _is_publication(record, publication_id)]
    if offsets and state.certain and state.revision > offsets[0]:
        detail = f"revision {state.revision} by {state.operator} was accepted after it"
        return PublishResult(PublishOutcome.UNKNOWN, publication_id, -1, detail)
    return None


class Publisher:
    """Publishes one service text; reads the configuration stream from its start."""

    def __init__(self, log: Log, *, timeout_s: float) -> None:
        """Limit one publication to about ``timeout_s`` seconds."""
        self._log = log
        self._timeout_s = timeout_s
        self._read_timeout = AdaptiveReadTimeout()
        self._state = ConfigState()
        self._records: list[LogRecord] = []

    async def publish(self, text: str, operator: str, base: int | None) -> PublishResult:
        """Publish ``text`` to replace revision ``base``, or by default the one in force.

        :raises samphirecleat.config.DocumentError: if the text is invalid; nothing is
            appended.
        """
        read_service_text(text)
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        publication_id = f"pub-{secrets.token_hex(8)}"
        if base is None:
            base = await self._find_base(deadline_s)
        if base is None:
            detail = "the log does not show what is in force; nothing was appended (pass --base)"
            return PublishResult(PublishOutcome.REJECTED, publication_id, -1, detail)
        publication = Publication(publication_id, base, text, operator)
        appended = await self._log.append(CONFIG_STREAM, publication_payload(publication))
        if appended.outcome is AppendOutcome.NOT_APPENDED:
            detail = f"the log rejected the append; nothing was appended: {appended.detail}"
            return PublishResult(PublishOutcome.REJECTED, publication_id, -1, detail)
        # With both APPENDED and UNKNOWN, the record may be in the log. A second append
        # could put this text in force again after a later one, so it is only read.
        return await self._await_outcome(publication_id, deadline_s)

    async def resume(self, publication_id: str) -> PublishResult:
        """Return the result of an earlier publication; nothing is appended."""
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        return await self._await_outcome(publication_id, deadline_s)

    async def _find_base(self, deadline_s: float) -> int | None:
        """Return the revision in force at the end of the log, or None if it is not known."""
        while asyncio.get_running_loop().time() < deadline_s:
            batch_size = await self._read(0.0)
            if batch_size == 0:
                return self._state.revision if self._state.certain else None
        return None

    async def _await_outcome(self, publication_id: str, deadline_s: float) -> PublishResult:
        while asyncio.get_running_loop().time() < deadline_s:
            await self._read(READ_WAIT_S)
            result = find_result(self._state, self._records, publication_id)
            if result is not None:
                return result
        found = any(_is_publication(record, publication_id) for record in self._records)
        detail = (
            "it is in the log, which no longer shows what was in force before it"
            if found
            else "it was not found in the log so far"
        )
        return PublishResult(PublishOutcome.UNKNOWN, publication_id, -1, detail)

    async def _read(self, wait_s: float) -> int | None:
        """Fold new records; return how many, or None if the log is unavailable."""
        from_offset = self._state.folded_to + 1
        try:
            batch = await self._read_timeout.read(self._log, CONFIG_STREAM, from_offset, wait_s)
        except LogUnavailableError:
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        self._state = fold_records(self._state, batch.records, batch.first_kept_offset)
        self._records.extend(batch.records)
        return len(batch.records)


def _is_publication(record: LogRecord, publication_id: str) -> bool:
    publication = read_record(record.payload)
    return isinstance(publication, Publication) and publication.publication_id == publication_id
