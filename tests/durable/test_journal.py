"""The journal of drafts while the log fails."""

import asyncio
from collections.abc import Sequence

import pytest

from samphirecleat.durable import AppendOutcome, AppendResult, ProgressJournal
from samphirecleat.durable._drafts import Draft, DraftStore
from samphirecleat.observe import Observer


class PlainLogFake:
    """A plain topic in memory; ``outcome`` is that of the next append, stored if ``stores``."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.outcome = AppendOutcome.APPENDED
        self.stores = True

    async def append_plain(self, topic: str, records: Sequence[bytes]) -> AppendResult:
        del topic
        if self.stores:
            self.records.extend(records)
        return AppendResult(self.outcome, offset=len(self.records))

    async def trim_plain(self, topic: str, before: int) -> None:
        del topic, before

    async def read_plain(self, topic: str) -> Sequence[bytes]:
        del topic
        return self.records


@pytest.mark.parametrize(
    ("outcome", "stores"),
    [
        (AppendOutcome.NOT_APPENDED, False),
        (AppendOutcome.UNKNOWN, False),
        (AppendOutcome.UNKNOWN, True),
    ],
)
def test_draft_is_restored_whole_after_a_failed_save(outcome: AppendOutcome, stores: bool) -> None:
    """Guards against a gap after a failed save: all later events of the run would be unusable.

    If only the response was lost, events are saved twice and must be restored once.
    """

    async def body() -> None:
        log = PlainLogFake()
        journal = ProgressJournal(log, Observer("n"))
        draft = Draft("i")
        draft.begin_run("r")
        for number in range(1, 8):
            assert draft.add(number, f"e{number}", 1)
            log.outcome, log.stores = AppendOutcome.APPENDED, True
            if number in (3, 4):
                log.outcome, log.stores = outcome, stores
            await journal.save([draft])
        restored = DraftStore()
        await journal.restore(restored)
        assert restored.get("i").text() == draft.text()
        records = len(log.records)
        await journal.save([draft])
        assert len(log.records) == records

    asyncio.run(body())
