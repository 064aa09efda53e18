"""Saves texts that are being made, so that another node goes on where this one fell.

Only work rests on it: what is lost is made again. So it is a plain topic whose old records
may vanish, read by nobody until a service gets a new runner.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from ..observe import Observer
from ._drafts import Draft, DraftPart, DraftShelf
from ._ports import AppendOutcome, LogUnavailableError, PlainLog

PROGRESS_TOPIC: Final = "progress"
# A lost runner costs at most this much of each text, about a dozen events.
SAVE_EVERY_S: Final = 0.5
# One record holds parts of about this size; the log takes records of a quarter megabyte.
RECORD_BYTES: Final = 100_000
# A new runner does not wait longer than this for what the last one saved.
RESTORE_WITHIN_S: Final = 1.0

_DECODER: Final = msgspec.msgpack.Decoder(list[DraftPart])


class ProgressJournal:
    """Writes the parts of drafts, and reads those of others."""

    def __init__(self, log: PlainLog, observer: Observer) -> None:
        """Keep the journal in ``log``."""
        self._log = log
        self._observer = observer
        self._words = observer.log("journal")

    async def keep(self, drafts: Callable[[], Sequence[Draft]]) -> None:
        """Save what grew, for as long as the node runs the service."""
        while True:
            await asyncio.sleep(SAVE_EVERY_S)
            await self.save(drafts())

    async def save(self, drafts: Sequence[Draft]) -> None:
        """Append what was made since the last save; a failure loses only that."""
        parts = [part for draft in drafts if (part := draft.unsaved()) is not None]
        if not parts:
            return
        result = await self._log.append_plain(PROGRESS_TOPIC, _pack(parts))
        if result.outcome is AppendOutcome.APPENDED:
            self._observer.counters["progress_parts"] += len(parts)
        else:
            self._words.warning("parts=%d not saved: %s", len(parts), result.detail)

    async def restore(self, drafts: DraftShelf) -> None:
        """Take what earlier runners saved into the drafts."""
        try:
            async with asyncio.timeout(RESTORE_WITHIN_S):
                records = await self._log.read_plain(PROGRESS_TOPIC)
        except (LogUnavailableError, TimeoutError) as error:
            self._words.warning("nothing restored: %s", error or type(error).__name__)
            return
        taken = 0
        for record in records:
            try:
                parts = _DECODER.decode(record)
            except msgspec.MsgspecError as error:
                self._words.error("a record is not understood: %s", error)
                continue
            taken += drafts.restore(parts)
        self._words.info("records=%d parts=%d restored", len(records), taken)


def _pack(parts: Sequence[DraftPart]) -> Sequence[bytes]:
    """Return records that hold the parts, in order, none much over the record size."""
    records: list[bytes] = []
    batch: list[DraftPart] = []
    size_bytes = 0
    for part in parts:
        part_bytes = sum(len(piece) for piece in part.pieces)
        if batch and size_bytes + part_bytes > RECORD_BYTES:
            records.append(msgspec.msgpack.encode(batch))
            batch, size_bytes = [], 0
        batch.append(part)
        size_bytes += part_bytes
    records.append(msgspec.msgpack.encode(batch))
    return records
