"""Lists results in the step log: their texts first, then that they are there."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, NamedTuple

from ..observe import Observer
from ._fold import StepFold
from ._ports import AppendOutcome
from ._records import FinishedItem, ItemListed, Record, ResultsListed, TextRef
from ._texts import TextShelf

# What one append of texts may carry; the log takes two megabytes, and a slow link takes a
# moment for it. Texts count as written out, of which packing leaves two thirds or less.
APPEND_BYTES: Final = 1_000_000
# Between tries to list results while the log gives no answer.
RELIST_S: Final = 0.2


class Written(NamedTuple):
    """What became of one record that was written."""

    outcome: AppendOutcome
    detail: str = ""


Write = Callable[[Record, str], Awaitable[Written]]


class ResultLister:
    """Keeps finished items in memory until the log has listed them.

    A result is listed only after its text is known to be kept, so that no position ever
    names a text that is not there.
    """

    def __init__(self, fold: StepFold, texts: TextShelf, write: Write, observer: Observer) -> None:
        """Write records with ``write``; ``fold`` tells which results still count."""
        self._fold = fold
        self._texts = texts
        self._write = write
        self._observer = observer
        self._words = observer.log("listing")
        self._waiting: list[FinishedItem] = []
        self._written: dict[tuple[str, str], TextRef] = {}
        self._ready = asyncio.Event()

    def add(self, item: FinishedItem) -> None:
        """Have an item listed as soon as the log takes it."""
        self._waiting.append(item)
        self._ready.set()

    @property
    def waiting(self) -> int:
        """How many items are not listed yet."""
        return len(self._waiting)

    async def run(self) -> None:
        """List all that became ready during an append in the next one."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            while batch := self._next_batch():
                began_s = asyncio.get_running_loop().time()
                if await self._list(batch):
                    took_s = asyncio.get_running_loop().time() - began_s
                    self._observer.record_s("step_listing", took_s)
                else:
                    await asyncio.sleep(RELIST_S)

    def _next_batch(self) -> Sequence[FinishedItem]:
        """Return items of one step that still count, up to the size of an append."""
        self._waiting = [item for item in self._waiting if self._counts(item)]
        names = {(item.step_id, item.item_id) for item in self._waiting}
        self._written = {name: ref for name, ref in self._written.items() if name in names}
        batch: list[FinishedItem] = []
        size_bytes = 0
        for item in self._waiting:
            if item.step_id != self._waiting[0].step_id:
                continue
            size_bytes += _most_bytes(item.text or "")
            if batch and size_bytes > APPEND_BYTES:
                break
            batch.append(item)
        return batch

    def _counts(self, item: FinishedItem) -> bool:
        step = self._fold.steps.get(item.step_id)
        return step is not None and not step.ended and item.item_id in step.unlisted

    async def _list(self, batch: Sequence[FinishedItem]) -> bool:
        """Write a batch of one step; False when that is not known to be done."""
        step_id = batch[0].step_id
        unwritten = [
            i for i in batch if i.text is not None and (step_id, i.item_id) not in self._written
        ]
        if unwritten:
            refs = await self._texts.write(step_id, unwritten)
            if refs is None:
                return False
            self._written.update({(step_id, name): ref for name, ref in refs.items()})
        rows = [
            ItemListed(
                item.item_id, item.versions, item.score, self._written.get((step_id, item.item_id))
            )
            for item in batch
        ]
        written = await self._write(ResultsListed(step_id, rows), step_id)
        if written.outcome is not AppendOutcome.APPENDED:
            self._words.warning(
                "step=%s results=%d outcome=%s detail=%s; tried again",
                step_id,
                len(batch),
                written.outcome.value,
                written.detail,
            )
            return False
        done = {item.item_id for item in batch}
        self._waiting = [
            item for item in self._waiting if item.step_id != step_id or item.item_id not in done
        ]
        return True


def _most_bytes(text: str) -> int:
    """Return the most that a text takes when it is written; packing may leave all of it."""
    return len(text) if text.isascii() else 4 * len(text)
