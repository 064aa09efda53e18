"""The step log at one node: the fold kept up to date, and records written to it."""

import asyncio
import random
import secrets
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Final

from ..observe import Observer
from ._fold import NO_CLAIM, StepFold
from ._follower import TopicFollower, no_pause
from ._item_shelf import ItemStore
from ._listing import ResultLister, WriteResult
from ._ports import AppendOutcome, KeyedLog, LogEntry, PeerTexts
from ._records import (
    FinishedItem,
    ItemSpec,
    Record,
    RecordAssembler,
    RecordFormatError,
    ResultsListed,
    RunnerClaimed,
    StepAccepted,
    StepEnded,
    StepRequest,
    accepted_record,
    key_prefix,
    split_record,
    writer_incarnation,
)
from ._texts import NO_PEERS, TextStore, drop_prefix

STEP_TOPIC: Final = "keyed.steps"
# A fold that was confirmed this recently needs no question to the log before it answers:
# half of the time within which a listed result must be seen at every node.
FRESH_WITHIN_S: Final = 0.9
# How long an ended step stays readable at this node: what the platform asks, and more.
ENDED_STEP_RETENTION_S: Final = 180.0
# A trainer that never ends its step is gone; no step is worked on for that long.
OPEN_STEP_RETENTION_S: Final = 3600.0
# Items whose answer was lost are written again so often before their step is refused: where they
# stand must be known, and what stands there in vain is no step.
ITEM_WRITE_ATTEMPTS: Final = 3
# Names of forgotten steps that are still to be dropped from the log.
MAX_FORGOTTEN_STEPS: Final = 512


def always_true() -> bool:
    """Say yes."""
    return True


class StepLog:
    """Folds the step log and appends to it; every node has one."""

    def __init__(
        self,
        log: KeyedLog,
        incarnation: str,
        observer: Observer,
        rng: random.Random,
        pause_s: Callable[[], float] = no_pause,
        store_items_separately: Callable[[], bool] = always_true,
        peer_texts: PeerTexts = NO_PEERS,
    ) -> None:
        """Write as ``incarnation``; after news of the log pause for ``pause_s``.

        ``items_apart`` says whether the items of a step are written apart from it. Texts that
        the log can't give are asked of ``peer_texts``.
        """
        self.fold = StepFold()
        self._log = log
        self._writer_id = f"{incarnation}{secrets.token_hex(2)}"
        self._next_key = 0
        self._observer = observer
        self._logger = observer.log("steps")
        self._assembler = RecordAssembler()
        self._pause_between_reads_s = pause_s
        self._store_items_separately = store_items_separately
        self._readers = 0
        self._follower = TopicFollower(
            log, STEP_TOPIC, self._apply_entries, observer, rng, ordered=True, pause_s=self._pause_s
        )
        self._changed = asyncio.Event()
        self.texts = TextStore(log, self._writer_id, observer, peer_texts)
        self._items = ItemStore(self.texts)
        self._lister = ResultLister(self.fold, self.texts, self._write_results, observer)
        self.forgotten: deque[str] = deque(maxlen=MAX_FORGOTTEN_STEPS)
        self.last_write_at_s: dict[str, float] = {}
        self.claimed_at_s: dict[str, float] = {}

    @property
    def caught_up(self) -> bool:
        """Whether the log was folded to its end at least once."""
        return self._follower.caught_up

    def is_fresh(self, within_s: float = FRESH_WITHIN_S) -> bool:
        """Whether the fold was confirmed to be whole within the last ``within_s``."""
        return self._follower.age_s() <= within_s

    async def run(self) -> None:
        """Follow the log and list results for as long as the node lives."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._lister.run())

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Read on in the log without pauses for as long as the block lasts.

        A large fleet's nodes pause between their reads. One that a trainer waits at would
        hold up the last result of a step for that pause.
        """
        self._readers += 1
        self._follower.skip_pause()
        try:
            yield
        finally:
            self._readers -= 1

    async def catch_up(self, timeout_s: float) -> None:
        """Fold what came during a pause; at most ``timeout_s`` are spent on it."""
        if self._follower.pausing:
            await self.confirm(timeout_s)

    def _pause_s(self) -> float:
        return 0.0 if self._readers else self._pause_between_reads_s()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the fold changes, at most ``timeout_s``."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    async def confirm(self, timeout_s: float) -> bool:
        """Fold all that is in the log now; False when that is not known to have worked."""
        return await self._follower.confirm(timeout_s)

    async def accept(self, request: StepRequest) -> WriteResult:
        """Write a step down; APPENDED as soon as it is known to be kept.

        Items that stand apart go first: a step that is kept has them. Items that are kept
        without their step are none; they go when the step of that id is dropped.
        """
        if not self._store_items_separately():
            return await self._write(accepted_record(request, None), request.step_id)
        for _attempt in range(ITEM_WRITE_ATTEMPTS):
            items_at = await self._items.write(request.step_id, request.items)
            if items_at is not None:
                return await self._write(accepted_record(request, items_at), request.step_id)
        return WriteResult(AppendOutcome.NOT_APPENDED, "its items are not known to be kept")

    async def read_items(self, step: StepAccepted) -> Mapping[str, ItemSpec]:
        """Return what the items of a step are made from, by id.

        :raises LogUnavailableError: when they can't be had now.
        """
        if step.items_at is None:
            return {item.item_id: item for item in step.items}
        return await self._items.read(step.items_at)

    async def end(self, step_id: str) -> WriteResult:
        """Write down that a step is ended."""
        return await self._write(StepEnded(step_id), step_id)

    async def claim(self, service: str, node_id: str, incarnation: str) -> WriteResult:
        """Claim a service for a node; the fold tells whether the claim counted."""
        held = self.fold.claims.get(service)
        replaces = held.offset if held is not None else NO_CLAIM
        return await self._write(RunnerClaimed(service, node_id, incarnation, replaces), service)

    async def drop(self, step_id: str) -> bool:
        """Drop a step from the log for good; False if that is not known to be done.

        What refers to its texts goes first, lest a reader that starts anew look for them.
        """
        prefix = key_prefix(step_id)
        return await drop_prefix(self._log, STEP_TOPIC, prefix) and await self.texts.drop(step_id)

    def list_result(self, item: FinishedItem) -> None:
        """Have an item listed as soon as the log takes it; kept in memory until then."""
        self._lister.add(item)

    @property
    def unlisted(self) -> int:
        """How many results wait to be listed."""
        return self._lister.waiting

    async def _write_results(self, records: Sequence[ResultsListed]) -> WriteResult:
        return await self._write_all([(record, record.step_id) for record in records])

    async def _write(self, record: Record, subject: str) -> WriteResult:
        return await self._write_all([(record, subject)])

    async def _write_all(self, records: Sequence[tuple[Record, str]]) -> WriteResult:
        """Append records with their subjects, all or none of them."""
        entries = [
            entry
            for record, subject in records
            for entry in split_record(record, self._new_key(subject))
        ]
        result = await self._log.append(STEP_TOPIC, entries)
        if result.outcome is not AppendOutcome.APPENDED:
            for record, subject in records:
                self._logger.warning(
                    "write=%s subject=%s outcome=%s detail=%s",
                    type(record).__name__,
                    subject,
                    result.outcome.value,
                    result.detail,
                )
        else:
            self._observer.counters["step_log_appends"] += 1
        return WriteResult(result.outcome, result.detail)

    def _new_key(self, subject: str) -> str:
        self._next_key += 1
        return f"{key_prefix(subject)}/{self._writer_id}/{self._next_key}"

    def _apply_entries(self, entries: Sequence[LogEntry], newest: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        for entry in entries:
            if not entry.value:
                continue
            self.last_write_at_s[writer_incarnation(entry.key)] = now_s
            try:
                record = self._assembler.add(entry.key, entry.value)
            except RecordFormatError as error:
                self._logger.error("entry offset=%d not understood: %s", entry.offset, error)
                continue
            if record is not None:
                changed = self.fold.apply(record, entry.offset, now_s)
                if changed and isinstance(record, RunnerClaimed) and not newest:
                    self.claimed_at_s[record.service] = now_s
                self._count(record, changed=changed)
                if self._is_own_entry(entry.key):
                    self._log_record(record, entry.offset, changed=changed)
        for step_id in self.fold.forget_before(
            now_s, ENDED_STEP_RETENTION_S, OPEN_STEP_RETENTION_S
        ):
            self.forgotten.append(step_id)
        changed_event, self._changed = self._changed, asyncio.Event()
        changed_event.set()

    def _is_own_entry(self, key: str) -> bool:
        return f"/{self._writer_id}/" in key

    def _count(self, record: Record, *, changed: bool) -> None:
        match record:
            case ResultsListed():
                self._observer.counters["items_folded"] += changed * len(record.results)
            case StepAccepted():
                self._observer.counters["steps_folded"] += changed

    def _log_record(self, record: Record, offset: int, *, changed: bool) -> None:
        """Tell what became of a record, at the node that wrote it: all others fold the same."""
        match record:
            case StepAccepted():
                self._logger.info(
                    "step=%s number=%d items=%d min_version=%d offset=%d new=%s",
                    record.step_id,
                    record.number,
                    len(record.item_ids),
                    record.min_version,
                    offset,
                    changed,
                )
            case StepEnded():
                self._logger.info("step=%s ended offset=%d new=%s", record.step_id, offset, changed)
            case RunnerClaimed():
                self._logger.info(
                    "service=%s runner=%s/%s offset=%d replaces=%d counts=%s",
                    record.service,
                    record.node_id,
                    record.incarnation,
                    offset,
                    record.replaces,
                    changed,
                )
            case ResultsListed():
                return
