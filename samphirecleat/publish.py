"""Publishes a service text: one append, then reading until its outcome is known."""

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
RETRY_S: Final = 0.3


class PublishOutcome(Enum):
    """What became of a publication; the value is the command's exit code."""

    ACCEPTED = 0
    REJECTED = 1
    UNKNOWN = 3


class PublishResult(NamedTuple):
    """The outcome, its publication's id, and the revision if it was accepted."""

    outcome: PublishOutcome
    publication_id: str
    revision: int
    detail: str


def judge(
    state: ConfigState, records: Sequence[LogRecord], publication_id: str
) -> PublishResult | None:
    """Return what the folded records say of a publication, None while they are silent.

    Of an id that stands in the log several times, an accepted one decides.
    """
    outcome = state.outcomes.get(publication_id)
    if outcome is not None and outcome.accepted:
        detail = f"revision {outcome.offset} is in force"
        return PublishResult(PublishOutcome.ACCEPTED, publication_id, outcome.offset, detail)
    if outcome is not None:
        return PublishResult(PublishOutcome.REJECTED, publication_id, -1, outcome.reason)
    offsets = [record.offset for record in records if _is_publication(record, publication_id)]
    if offsets and state.certain and state.revision > offsets[0]:
        detail = f"revision {state.revision} by {state.operator} came after it"
        return PublishResult(PublishOutcome.UNKNOWN, publication_id, -1, detail)
    return None


class Publisher:
    """Reads the configuration stream from its start, and publishes once."""

    def __init__(self, log: Log, *, timeout_s: float) -> None:
        """Spend at most about ``timeout_s`` on one publication."""
        self._log = log
        self._timeout_s = timeout_s
        self._read_timeout = AdaptiveReadTimeout()
        self._state = ConfigState()
        self._records: list[LogRecord] = []

    async def publish(self, text: str, operator: str, base: int | None) -> PublishResult:
        """Publish ``text`` in place of revision ``base``, or of the one in force.

        :raises samphirecleat.config.DocumentError: for a text with faults; nothing
            is appended then.
        """
        read_service_text(text)
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        publication_id = f"pub-{secrets.token_hex(8)}"
        if base is None:
            base = await self._find_base(deadline_s)
        if base is None:
            detail = "the log does not show what is in force; nothing was appended (name --base)"
            return PublishResult(PublishOutcome.REJECTED, publication_id, -1, detail)
        publication = Publication(publication_id, base, text, operator)
        appended = await self._log.append(CONFIG_STREAM, publication_payload(publication))
        if appended.outcome is AppendOutcome.NOT_APPENDED:
            detail = f"the log refused it; nothing was appended: {appended.detail}"
            return PublishResult(PublishOutcome.REJECTED, publication_id, -1, detail)
        # APPENDED or UNKNOWN: it may be there in both cases, and a second append
        # could put an old text in force again later. Only reading is safe now.
        return await self._await_outcome(publication_id, deadline_s)

    async def resume(self, publication_id: str) -> PublishResult:
        """Say what became of an earlier publication; nothing is appended."""
        deadline_s = asyncio.get_running_loop().time() + self._timeout_s
        return await self._await_outcome(publication_id, deadline_s)

    async def _find_base(self, deadline_s: float) -> int | None:
        """Return the revision in force at the log's end, None if that can't be told."""
        while asyncio.get_running_loop().time() < deadline_s:
            batch_size = await self._read(0.0)
            if batch_size == 0:
                return self._state.revision if self._state.certain else None
        return None

    async def _await_outcome(self, publication_id: str, deadline_s: float) -> PublishResult:
        while asyncio.get_running_loop().time() < deadline_s:
            await self._read(READ_WAIT_S)
            result = judge(self._state, self._records, publication_id)
            if result is not None:
                return result
        found = any(_is_publication(record, publication_id) for record in self._records)
        detail = (
            "it stands in the log, which no longer shows what was in force before it"
            if found
            else "the log has not shown it so far"
        )
        return PublishResult(PublishOutcome.UNKNOWN, publication_id, -1, detail)

    async def _read(self, wait_s: float) -> int | None:
        """Fold what is new; return how many records, or None when the log is silent."""
        from_offset = self._state.folded_to + 1
        try:
            batch = await self._read_timeout.read(self._log, CONFIG_STREAM, from_offset, wait_s)
        except LogUnavailableError:
            await asyncio.sleep(RETRY_S)
            return None
        self._state = fold_records(self._state, batch.records, batch.first_kept_offset)
        self._records.extend(batch.records)
        return len(batch.records)


def _is_publication(record: LogRecord, publication_id: str) -> bool:
    publication = read_record(record.payload)
    return isinstance(publication, Publication) and publication.publication_id == publication_id
