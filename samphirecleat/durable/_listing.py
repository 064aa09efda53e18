"""Lists results in the step log: writes their texts first, then the records that refer to them."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Final, NamedTuple

from ..observe import Observer
from ._fold import StepFold
from ._item_decisions import ItemName
from ._ports import AppendOutcome
from ._records import FinishedItem, ItemListed, ResultsListed, TextRef
from ._texts import TextStore

# Size of one append of texts. The log accepts 2 MB, but a slow link needs time for that. Texts
# count with their uncompressed size; compression reduces it to two thirds or less.
MAX_APPEND_BYTES: Final = 1_000_000
# Delay before results are listed again after an append that was not confirmed.
RETRY_DELAY_S: Final = 0.2


class WriteResult(NamedTuple):
    """The outcome of writing records to the step log."""

    outcome: AppendOutcome
    detail: str = ""


Write = Callable[[Sequence[ResultsListed]], Awaitable[WriteResult]]
"""Appends records atomically."""


class ResultLister:
    """Keeps finished items in memory until their results are listed in the log.

    A result is listed only after its text is known to be stored, so that no position refers
    to a missing text.

    Items of several steps finish continuously, trainers wait for the last results of a step, and
    an append takes from a few milliseconds to 250 ms. Therefore the texts of different steps are
    written concurrently with each other and with the listing of texts that were written before:
    a result waits for at most two appends before its own.
    """

    def __init__(self, fold: StepFold, texts: TextStore, write: Write, observer: Observer) -> None:
        """Append records with ``write``; ``fold`` shows which results are still wanted."""
        self._fold = fold
        self._texts = texts
        self._write = write
        self._observer = observer
        self._logger = observer.log("listing")
        self._waiting: dict[ItemName, FinishedItem] = {}
        self._written: dict[ItemName, TextRef] = {}
        self._writing: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()

    def add(self, item: FinishedItem) -> None:
        """Queue an item for listing."""
        self._waiting.setdefault((item.step_id, item.item_id), item)
        self._changed.set()

    @property
    def waiting(self) -> int:
        """The number of items that are not listed yet."""
        return len(self._waiting)

    async def run(self) -> None:
        """List items until cancelled; results that become ready during an append share the next."""
        # After a failed run, items may wait that nothing announces again.
        self._changed.set()
        try:
            while True:
                await self._changed.wait()
                self._changed.clear()
                self._discard_obsolete()
                self._write_texts()
                rows = self._rows_to_list()
                if not rows:
                    continue
                # Results that become ready during the append are listed in the next one.
                self._changed.set()
                if not await self._list(rows):
                    await asyncio.sleep(RETRY_DELAY_S)
        finally:
            for task in list(self._writing.values()):
                task.cancel()

    def _discard_obsolete(self) -> None:
        for name in [name for name in self._waiting if not self._is_wanted(name)]:
            del self._waiting[name]
            self._written.pop(name, None)

    def _is_wanted(self, name: ItemName) -> bool:
        step = self._fold.steps.get(name[0])
        return step is not None and not step.ended and name[1] in step.unlisted

    def _write_texts(self) -> None:
        """Start a write for each step that has unwritten texts and no write in progress."""
        unwritten: dict[str, list[FinishedItem]] = {}
        for name, item in self._waiting.items():
            if item.text is not None and name not in self._written:
                unwritten.setdefault(item.step_id, []).append(item)
        for step_id, items in unwritten.items():
            if step_id not in self._writing:
                work = self._write_batch(step_id, _first_append(items))
                self._writing[step_id] = asyncio.ensure_future(work)

    async def _write_batch(self, step_id: str, items: Sequence[FinishedItem]) -> None:
        try:
            refs = await self._texts.write(step_id, items)
            if refs is None:
                await asyncio.sleep(RETRY_DELAY_S)
                return
            for item_id, ref in refs.items():
                if (step_id, item_id) in self._waiting:
                    self._written[step_id, item_id] = ref
        finally:
            del self._writing[step_id]
            self._changed.set()

    def _rows_to_list(self) -> Mapping[str, Sequence[ItemListed]]:
        """Return the rows to list by step: items that were given up or whose text is stored."""
        rows: dict[str, list[ItemListed]] = {}
        for name, item in self._waiting.items():
            ref = self._written.get(name)
            if item.text is None or ref is not None:
                row = ItemListed(item.item_id, item.versions, item.score, ref)
                rows.setdefault(item.step_id, []).append(row)
        return rows

    async def _list(self, rows: Mapping[str, Sequence[ItemListed]]) -> bool:
        """Append the rows of all steps; return False if that could not be confirmed."""
        began_s = asyncio.get_running_loop().time()
        written = await self._write(
            [ResultsListed(step_id, items) for step_id, items in rows.items()]
        )
        if written.outcome is not AppendOutcome.APPENDED:
            self._logger.warning(
                "steps=%s results=%d outcome=%s detail=%s; retrying",
                ",".join(rows),
                sum(len(items) for items in rows.values()),
                written.outcome.value,
                written.detail,
            )
            return False
        self._observer.record_s("step_listing", asyncio.get_running_loop().time() - began_s)
        for step_id, items in rows.items():
            for row in items:
                self._waiting.pop((step_id, row.item_id), None)
                self._written.pop((step_id, row.item_id), None)
        return True


def _first_append(items: Sequence[FinishedItem]) -> Sequence[FinishedItem]:
    """Return the leading items, at least one, whose texts fit into one append."""
    size_bytes = 0
    for index, item in enumerate(items):
        size_bytes += _max_utf8_bytes(item.text or "")
        if index and size_bytes > MAX_APPEND_BYTES:
            return items[:index]
    return items


def _max_utf8_bytes(text: str) -> int:
    """Return an upper bound of the stored size of a text, which may not be compressible."""
    return len(text) if text.isascii() else 4 * len(text)
