"""Saves texts that are being made, so that another node goes on where this one fell.

Only work rests on it: what is lost is made again. So it is a plain topic whose old records
may vanish, read by nobody until a service gets a new runner.
"""

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from ..observe import Observer
from ._drafts import Draft, DraftPart, DraftShelf
from ._ports import AppendOutcome, LogUnavailableError, PlainLog
from ._records import RecordFormatError, compress, decompress

PROGRESS_TOPIC: Final = "progress"
# A lost runner costs at most this much of each text, about a dozen events.
SAVE_EVERY_S: Final = 0.5
# One record holds parts of about this size; the log takes records of a quarter megabyte.
RECORD_BYTES: Final = 100_000
# A new runner does not wait longer than this for what the last one saved.
RESTORE_WITHIN_S: Final = 1.0
# Older records are dropped: an item that was begun longer ago is late whatever is kept of
# it, and a new runner waits for the reading of all that is kept.
KEEP_S: Final = 9.0
TRIM_EVERY_S: Final = 3.0

_DECODER: Final = msgspec.msgpack.Decoder(list[DraftPart])


class ProgressJournal:
    """Writes the parts of drafts, and reads those of others."""

    def __init__(self, log: PlainLog, observer: Observer) -> None:
        """Keep the journal in ``log``."""
        self._log = log
        self._observer = observer
        self._words = observer.log("journal")
        self._saved: deque[tuple[float, int]] = deque()
        self._trimmed_at_s = 0.0

    async def keep(self, drafts: Callable[[], Sequence[Draft]]) -> None:
        """Save what grew, for as long as the node runs the service."""
        while True:
            await asyncio.sleep(SAVE_EVERY_S)
            await self.save(drafts())
            await self._trim()

    async def save(self, drafts: Sequence[Draft]) -> None:
        """Append what was made since the last save; a failure loses only that."""
        parts = [part for draft in drafts for part in draft.unsaved()]
        if not parts:
            return
        result = await self._log.append_plain(PROGRESS_TOPIC, _pack(parts))
        if result.outcome is AppendOutcome.APPENDED:
            self._observer.counters["progress_parts"] += len(parts)
            self._saved.append((asyncio.get_running_loop().time(), result.offset))
        else:
            self._words.warning("parts=%d not saved: %s", len(parts), result.detail)

    async def _trim(self) -> None:
        """Drop what is too old to be of use, up to the newest of it that this node wrote."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._trimmed_at_s < TRIM_EVERY_S:
            return
        before = -1
        while self._saved and now_s - self._saved[0][0] > KEEP_S:
            before = self._saved.popleft()[1]
        if before > 0:
            self._trimmed_at_s = now_s
            await self._log.trim_plain(PROGRESS_TOPIC, before)

    async def restore(self, drafts: DraftShelf) -> None:
        """Take what earlier runners saved into the drafts."""
        try:
            async with asyncio.timeout(RESTORE_WITHIN_S):
                records = await self._log.read_plain(PROGRESS_TOPIC)
        except (LogUnavailableError, TimeoutError) as error:
            self._words.warning("nothing restored: %s", error or type(error).__name__)
            return
        parts: list[DraftPart] = []
        for record in records:
            try:
                parts.extend(_DECODER.decode(decompress(record)))
            except (msgspec.MsgspecError, RecordFormatError) as error:
                self._words.error("a record is not understood: %s", error)
        # All at once: a run's parts lie in many records, and only the whole run tells
        # whether it made the longer text.
        used = drafts.restore(parts)
        self._words.info("records=%d parts=%d runs=%d restored", len(records), len(parts), used)


def _pack(parts: Sequence[DraftPart]) -> Sequence[bytes]:
    """Return records that hold the parts, in order, none much over the record size."""
    records: list[bytes] = []
    batch: list[DraftPart] = []
    size_bytes = 0
    for part in parts:
        part_bytes = sum(len(piece) for piece in part.pieces)
        if batch and size_bytes + part_bytes > RECORD_BYTES:
            records.append(compress(msgspec.msgpack.encode(batch)))
            batch, size_bytes = [], 0
        batch.append(part)
        size_bytes += part_bytes
    records.append(compress(msgspec.msgpack.encode(batch)))
    return records
