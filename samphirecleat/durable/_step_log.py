"""The step log at one node: keeps the fold up to date and appends records."""

import asyncio
import random
import secrets
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import Final

from ..observe import Observer
from ._entry_applier import EntryApplier
from ._fold import NO_CLAIM, StepFold
from ._follower import TopicFollower, no_pause
from ._item_store import ItemStore
from ._listing import ResultLister, WriteResult
from ._ports import AppendOutcome, KeyedLog, LogEntry, PeerTexts
from ._records import (
    FinishedItem,
    ItemSpec,
    Record,
    RecordAssembler,
    ResultsListed,
    RunnerClaimed,
    StepAccepted,
    StepEnded,
    StepRequest,
    accepted_record,
    key_prefix,
    split_record,
    subject_prefix,
    writer_incarnation,
)
from ._texts import NO_PEERS, TextStore, drop_prefix

STEP_TOPIC: Final = "keyed.steps"
# A fold that was confirmed this recently is used without asking the log again. This is half of
# the time within which a listed result must be visible at every node.
FRESH_WITHIN_S: Final = 0.9
# How long an ended step stays readable at this node, longer than the platform requires.
ENDED_STEP_RETENTION_S: Final = 180.0
# A step that is open for longer was abandoned by its trainer; none takes that long.
OPEN_STEP_RETENTION_S: Final = 3600.0
# Attempts to write the items of a step before the step is rejected. An append whose response was
# lost is repeated, because the location of the items must be known; unreferenced items are ignored.
ITEM_WRITE_ATTEMPTS: Final = 3
# IDs of forgotten steps that have yet to be deleted from the log.
MAX_FORGOTTEN_STEPS: Final = 512
# Subjects of records that this node could not apply.
MAX_UNREADABLE_SUBJECTS: Final = 1024


def always_true() -> bool:
    """Return True."""
    return True


class StepLog:
    """Folds the step log of the fleet and appends to it; every node has one instance."""

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
        """Create the step log of the process ``incarnation``.

        ``pause_s`` returns the pause in seconds after each read that returned entries.
        ``store_items_separately`` says whether the items of a step are written as a separate
        blob. Texts that the log cannot return are requested from ``peer_texts``.
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
        self._applier = EntryApplier(
            STEP_TOPIC, self._apply_one, observer, self._remember_unreadable
        )
        self._unreadable_subjects: deque[str] = deque(maxlen=MAX_UNREADABLE_SUBJECTS)
        self._applied_at_s = 0.0
        self._applies_history = True
        self._changed = asyncio.Event()
        self.texts = TextStore(log, self._writer_id, observer, peer_texts)
        self._items = ItemStore(self.texts)
        self._lister = ResultLister(self.fold, self.texts, self._write_results, observer)
        self.forgotten: deque[str] = deque(maxlen=MAX_FORGOTTEN_STEPS)
        self.last_write_at_s: dict[str, float] = {}
        self.claimed_at_s: dict[str, float] = {}

    @property
    def caught_up(self) -> bool:
        """Whether the log has been folded to its end at least once."""
        return self._follower.caught_up

    def is_fresh(self, within_s: float = FRESH_WITHIN_S) -> bool:
        """Whether the fold was confirmed to be complete within the last ``within_s`` seconds."""
        return self._follower.age_s() <= within_s

    def is_uncertain(self, step_id: str) -> bool:
        """Whether the log has a record on a step that this node could not apply.

        Only nodes write to the step log, so the record is one of a newer build or was damaged. It
        may be the acceptance of the step, or hold results whose positions this node would give
        away a second time. The other steps, and claims, do not depend on it: a claim that its own
        writer can't apply is never acted on.
        """
        if not self._unreadable_subjects:
            return False
        return key_prefix(step_id) in self._unreadable_subjects

    async def run(self) -> None:
        """Follow the log and list results until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._lister.run())

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Read the log without pauses while the context is active.

        The nodes of a large fleet pause between reads. Without this, a trainer that waits at a
        node would receive the last result of its step late by that pause.
        """
        self._readers += 1
        self._follower.skip_pause()
        try:
            yield
        finally:
            self._readers -= 1

    async def catch_up(self, timeout_s: float) -> None:
        """Fold the entries that arrived during a pause, within ``timeout_s`` seconds at most."""
        if self._follower.pausing:
            await self.confirm(timeout_s)

    def _pause_s(self) -> float:
        return 0.0 if self._readers else self._pause_between_reads_s()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the fold changes, for ``timeout_s`` seconds at most."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    async def confirm(self, timeout_s: float) -> bool:
        """Fold everything that is in the log now; return False if that could not be confirmed."""
        return await self._follower.confirm(timeout_s)

    async def accept(self, request: StepRequest) -> WriteResult:
        """Append a step; the outcome is APPENDED once the step is known to be stored.

        Items that are stored separately are written first, so that a stored step always has
        its items. Items without a step are ignored; they are deleted with the step of that ID.
        """
        if not self._store_items_separately():
            return await self._write(accepted_record(request, None), request.step_id)
        for _attempt in range(ITEM_WRITE_ATTEMPTS):
            items_at = await self._items.write(request.step_id, request.items)
            if items_at is not None:
                return await self._write(accepted_record(request, items_at), request.step_id)
        return WriteResult(
            AppendOutcome.NOT_APPENDED, "the items of the step are not confirmed as stored"
        )

    async def read_items(self, step: StepAccepted) -> Mapping[str, ItemSpec]:
        """Return the item specifications of a step by item ID.

        :raises LogUnavailableError: when they cannot be read now.
        """
        if step.items_at is None:
            return {item.item_id: item for item in step.items}
        return await self._items.read(step.items_at)

    async def end(self, step_id: str) -> WriteResult:
        """Append the end of a step."""
        return await self._write(StepEnded(step_id), step_id)

    async def claim(self, service: str, node_id: str, incarnation: str) -> WriteResult:
        """Append a claim of a service for a node; the fold shows whether the claim is valid."""
        current = self.fold.claims.get(service)
        replaces = current.offset if current is not None else NO_CLAIM
        return await self._write(RunnerClaimed(service, node_id, incarnation, replaces), service)

    async def drop(self, step_id: str) -> bool:
        """Delete a step from the log; return False if that could not be confirmed.

        Records that refer to its texts are deleted first, so that a newly started reader does
        not look for missing texts.
        """
        prefix = key_prefix(step_id)
        return await drop_prefix(self._log, STEP_TOPIC, prefix) and await self.texts.drop(step_id)

    def list_result(self, item: FinishedItem) -> None:
        """Queue an item for listing; it stays in memory until the log has accepted it."""
        self._lister.add(item)

    @property
    def unlisted_count(self) -> int:
        """The number of results that are not listed yet."""
        return self._lister.waiting

    async def _write_results(self, records: Sequence[ResultsListed]) -> WriteResult:
        return await self._write_all([(record, record.step_id) for record in records])

    async def _write(self, record: Record, subject: str) -> WriteResult:
        return await self._write_all([(record, subject)])

    async def _write_all(self, records: Sequence[tuple[Record, str]]) -> WriteResult:
        """Append records atomically, each keyed by its subject (a step or service ID)."""
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

    def _apply_entries(self, entries: Sequence[LogEntry], historical: bool) -> None:
        now_s = self._applied_at_s = asyncio.get_running_loop().time()
        self._applies_history = historical
        self._applier.apply(entries)
        for step_id in self.fold.forget_before(
            now_s, ENDED_STEP_RETENTION_S, OPEN_STEP_RETENTION_S
        ):
            self.forgotten.append(step_id)
        changed_event, self._changed = self._changed, asyncio.Event()
        changed_event.set()

    def _apply_one(self, entry: LogEntry) -> None:
        """Fold one entry.

        :raises MalformedError: when the record that it completes cannot be decoded.
        """
        if not entry.value:
            return
        now_s = self._applied_at_s
        self.last_write_at_s[writer_incarnation(entry.key)] = now_s
        record = self._assembler.add(entry.key, entry.value)
        if record is None:
            return
        changed = self.fold.apply(record, entry.offset, now_s)
        if changed and isinstance(record, RunnerClaimed) and not self._applies_history:
            self.claimed_at_s[record.service] = now_s
        self._count(record, changed=changed)
        if self._is_own_entry(entry.key):
            self._log_record(record, entry.offset, changed=changed)

    def _remember_unreadable(self, entry: LogEntry) -> None:
        """Remember the step of a record that was passed over."""
        subject = subject_prefix(entry.key)
        if subject not in self._unreadable_subjects:
            self._unreadable_subjects.append(subject)

    def _is_own_entry(self, key: str) -> bool:
        return f"/{self._writer_id}/" in key

    def _count(self, record: Record, *, changed: bool) -> None:
        match record:
            case ResultsListed():
                self._observer.counters["items_folded"] += changed * len(record.results)
            case StepAccepted():
                self._observer.counters["steps_folded"] += changed

    def _log_record(self, record: Record, offset: int, *, changed: bool) -> None:
        """Log the effect of a record at its writer only; every node folds the same records."""
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
