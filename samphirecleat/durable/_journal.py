"""Saves drafts to the log, so that another node can resume them after a failover.

Losing records costs only repeated work, so the journal is a plain topic whose old records may be
dropped. It is read only when a service gets a new runner.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from .._decoding import MalformedError, decode_msgpack
from ..observe import Observer
from ._drafts import Draft, DraftPart, DraftStore
from ._ports import AppendOutcome, LogUnavailableError, PlainLog
from ._records import compress, decompress

PROGRESS_TOPIC: Final = "progress"
# The failure of a runner loses at most this much of each text, about a dozen events.
SAVE_INTERVAL_S: Final = 0.5
# Approximate size of a record; the log accepts records of up to a quarter megabyte.
TARGET_RECORD_BYTES: Final = 100_000
# A new runner waits no longer than this for the journal.
RESTORE_TIMEOUT_S: Final = 1.0
# Older records are dropped: an item that started earlier is late even if its draft is restored, and
# a new runner has to wait until all kept records are read.
RETENTION_S: Final = 9.0
TRIM_INTERVAL_S: Final = 3.0

_DECODER: Final = msgspec.msgpack.Decoder(list[DraftPart])


class ProgressJournal:
    """Saves parts of drafts, and restores those that earlier runners saved."""

    def __init__(self, log: PlainLog, observer: Observer) -> None:
        """Store the journal in ``log``."""
        self._log = log
        self._observer = observer
        self._logger = observer.log("journal")
        # Time in seconds and offset of each confirmed append.
        self._saved: deque[tuple[float, int]] = deque()
        self._trimmed_at_s = 0.0

    async def save_periodically(self, drafts: Callable[[], Sequence[Draft]]) -> None:
        """Save new events and trim old records periodically until cancelled."""
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save(drafts())
            await self._trim()

    async def save(self, drafts: Sequence[Draft]) -> None:
        """Append the events since the last save that succeeded."""
        taken = [(draft, draft.take_unsaved()) for draft in drafts]
        parts = [part for _, unsaved in taken for part in unsaved]
        if not parts:
            return
        if not await self._append(parts):
            for draft, unsaved in taken:
                draft.put_back(unsaved)

    async def _append(self, parts: Sequence[DraftPart]) -> bool:
        """Append parts; return False if they are not known to be saved."""
        result = await self._log.append_plain(PROGRESS_TOPIC, _pack(parts))
        if result.outcome is not AppendOutcome.APPENDED:
            self._logger.warning("parts=%d not saved: %s", len(parts), result.detail)
            return False
        self._observer.counters["progress_parts"] += len(parts)
        self._saved.append((asyncio.get_running_loop().time(), result.offset))
        return True

    async def _trim(self) -> None:
        """Drop expired records, up to the newest expired one written by this node."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._trimmed_at_s < TRIM_INTERVAL_S:
            return
        before = -1
        while self._saved and now_s - self._saved[0][0] > RETENTION_S:
            before = self._saved.popleft()[1]
        if before > 0:
            self._trimmed_at_s = now_s
            await self._log.trim_plain(PROGRESS_TOPIC, before)

    async def restore(self, drafts: DraftStore) -> None:
        """Restore drafts from the records of earlier runners; failures are only logged."""
        try:
            async with asyncio.timeout(RESTORE_TIMEOUT_S):
                records = await self._log.read_plain(PROGRESS_TOPIC)
        except (LogUnavailableError, TimeoutError) as error:
            self._logger.warning("drafts not restored: %s", error or type(error).__name__)
            return
        parts: list[DraftPart] = []
        for record in records:
            try:
                parts.extend(decode_draft_parts(record))
            except MalformedError as error:
                self._logger.error("skipped a record that cannot be decoded: %s", error)
        # Restore everything at once: a run's parts are spread over many records, and only the
        # joined run shows whether its text is longer.
        used = drafts.restore(parts)
        self._logger.info("records=%d parts=%d runs=%d restored", len(records), len(parts), used)


def decode_draft_parts(record: bytes) -> Sequence[DraftPart]:
    """Return the parts of drafts in a record.

    :raises MalformedError: when the record cannot be decoded.
    """
    parts: Sequence[DraftPart] = decode_msgpack(_DECODER, decompress(record))
    return parts


def _pack(parts: Sequence[DraftPart]) -> Sequence[bytes]:
    """Return records that contain the parts in order, each of about the target size."""
    records: list[bytes] = []
    batch: list[DraftPart] = []
    size_bytes = 0
    for part in parts:
        part_bytes = sum(len(data) for data in part.event_data)
        if batch and size_bytes + part_bytes > TARGET_RECORD_BYTES:
            records.append(compress(msgspec.msgpack.encode(batch)))
            batch, size_bytes = [], 0
        batch.append(part)
        size_bytes += part_bytes
    records.append(compress(msgspec.msgpack.encode(batch)))
    return records
