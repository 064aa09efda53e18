"""The step log at one node: the fold kept up to date, and records written to it."""

import asyncio
import random
import secrets
from collections.abc import Sequence
from typing import Final, NamedTuple

from .._boot_clock import boot_time_s
from ..observe import Observer
from ._fold import NO_CLAIM, StepFold
from ._follower import TopicFollower
from ._ports import AppendOutcome, KeyedLog, LogEntry, LogUnavailableError
from ._records import (
    ItemListed,
    Record,
    RecordAssembler,
    RecordFormatError,
    RunnerClaimed,
    StepAccepted,
    StepEnded,
    key_prefix,
    split_record,
)

STEP_TOPIC: Final = "keyed.steps"
# A fold that was confirmed this recently needs no question to the log before it answers:
# half of the time within which a listed result must be seen at every node.
FRESH_S: Final = 0.9
# What one append may carry; the log takes two megabytes, and a slow link takes a moment.
APPEND_BYTES: Final = 1_000_000
# Between tries to list results while the log gives no answer.
RELIST_S: Final = 0.2
# How long an ended step stays readable at this node: what the platform asks, and more.
KEEP_ENDED_S: Final = 180.0


class Written(NamedTuple):
    """What became of one record that was written."""

    outcome: AppendOutcome
    detail: str = ""


class StepLog:
    """Folds the step log and appends to it; every node has one."""

    def __init__(
        self, log: KeyedLog, incarnation: str, observer: Observer, rng: random.Random
    ) -> None:
        """Write as ``incarnation``."""
        self.fold = StepFold()
        self._log = log
        self._writer_id = f"{incarnation}{secrets.token_hex(2)}"
        self._next_key = 0
        self._observer = observer
        self._words = observer.log("steps")
        self._assembler = RecordAssembler()
        self._follower = TopicFollower(log, STEP_TOPIC, self._take, observer, rng, ordered=True)
        self._changed = asyncio.Event()
        self._waiting_results: list[ItemListed] = []
        self._results_ready = asyncio.Event()
        self.last_write_by: dict[str, float] = {}
        self.claimed_at_s: dict[str, float] = {}

    @property
    def caught_up(self) -> bool:
        """Whether the log was folded to its end at least once."""
        return self._follower.caught_up

    def is_fresh(self, within_s: float = FRESH_S) -> bool:
        """Whether the fold was confirmed to be whole within the last ``within_s``."""
        return self._follower.age_s() <= within_s

    async def run(self) -> None:
        """Follow the log and list results for as long as the node lives."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._list_results())

    async def wait_change(self, timeout_s: float) -> None:
        """Wait until the fold changes, at most ``timeout_s``."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    async def confirm(self, timeout_s: float) -> bool:
        """Fold all that is in the log now; False when that is not known to have worked."""
        began_s = boot_time_s()
        try:
            async with asyncio.timeout(timeout_s):
                while self._follower.confirmed_at_s < began_s:
                    await self._follower.advance(0.0)
        except (TimeoutError, LogUnavailableError):
            return False
        return True

    async def accept(self, spec: StepAccepted) -> Written:
        """Write a step down; APPENDED as soon as it is known to be kept."""
        return await self._write(spec, spec.step_id)

    async def end(self, step_id: str) -> Written:
        """Write down that a step is ended."""
        return await self._write(StepEnded(step_id), step_id)

    async def claim(self, service: str, node_id: str, incarnation: str) -> Written:
        """Claim a service for a node; the fold tells whether the claim counted."""
        held = self.fold.claims.get(service)
        replaces = held.offset if held is not None else NO_CLAIM
        return await self._write(RunnerClaimed(service, node_id, incarnation, replaces), service)

    def list_result(self, result: ItemListed) -> None:
        """Have a result listed as soon as the log takes it; kept in memory until then."""
        self._waiting_results.append(result)
        self._results_ready.set()

    @property
    def unlisted(self) -> int:
        """How many results wait to be listed."""
        return len(self._waiting_results)

    async def _write(self, record: Record, subject: str) -> Written:
        entries = split_record(record, self._new_key(subject))
        result = await self._log.append(STEP_TOPIC, entries)
        if result.outcome is not AppendOutcome.APPENDED:
            self._words.warning(
                "write=%s subject=%s outcome=%s detail=%s",
                type(record).__name__,
                subject,
                result.outcome.value,
                result.detail,
            )
        else:
            self._observer.counters["step_log_appends"] += 1
        return Written(result.outcome, result.detail)

    async def _list_results(self) -> None:
        """Append results, all that became ready during an append in the next one."""
        while True:
            await self._results_ready.wait()
            self._results_ready.clear()
            while self._waiting_results:
                batch = self._next_batch()
                if not batch:
                    continue
                entries = [
                    entry
                    for result in batch
                    for entry in split_record(result, self._new_key(result.step_id))
                ]
                began_s = asyncio.get_running_loop().time()
                outcome = await self._log.append(STEP_TOPIC, entries)
                self._observer.record_s(
                    "step_listing_append", asyncio.get_running_loop().time() - began_s
                )
                if outcome.outcome is AppendOutcome.APPENDED:
                    self._drop_listed(batch)
                    continue
                self._words.warning(
                    "listing results=%d outcome=%s detail=%s; tried again",
                    len(batch),
                    outcome.outcome.value,
                    outcome.detail,
                )
                await asyncio.sleep(RELIST_S)

    def _next_batch(self) -> Sequence[ItemListed]:
        """Return results that still count, up to the size of an append."""
        wanted = []
        for result in self._waiting_results:
            step = self.fold.steps.get(result.step_id)
            if step is not None and not step.ended and result.item_id in step.unlisted:
                wanted.append(result)
        self._waiting_results = wanted
        batch: list[ItemListed] = []
        size_bytes = 0
        for result in wanted:
            size_bytes += len(result.packed_text)
            if batch and size_bytes > APPEND_BYTES:
                break
            batch.append(result)
        return batch

    def _drop_listed(self, batch: Sequence[ItemListed]) -> None:
        done = {(result.step_id, result.item_id) for result in batch}
        self._waiting_results = [
            r for r in self._waiting_results if (r.step_id, r.item_id) not in done
        ]

    def _new_key(self, subject: str) -> str:
        self._next_key += 1
        return f"{key_prefix(subject)}/{self._writer_id}/{self._next_key}"

    def _take(self, entries: Sequence[LogEntry], newest: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        for entry in entries:
            if not entry.value:
                continue
            self.last_write_by[entry.key.split("/")[1][:8] if "/" in entry.key else ""] = now_s
            try:
                record = self._assembler.add(entry.key, entry.value)
            except RecordFormatError as error:
                self._words.error("entry offset=%d not understood: %s", entry.offset, error)
                continue
            if record is not None:
                changed = self.fold.apply(record, entry.offset, now_s)
                self._log_record(record, entry.offset, changed=changed, past=newest)
        for step_id in self.fold.forget_before(now_s, KEEP_ENDED_S):
            self._words.info("step=%s forgotten", step_id)
        changed_event, self._changed = self._changed, asyncio.Event()
        changed_event.set()

    def _log_record(self, record: Record, offset: int, *, changed: bool, past: bool) -> None:
        match record:
            case StepAccepted():
                self._words.info(
                    "step=%s number=%d items=%d min_version=%d offset=%d new=%s",
                    record.step_id,
                    record.number,
                    len(record.items),
                    record.min_version,
                    offset,
                    changed,
                )
            case StepEnded():
                self._words.info("step=%s ended offset=%d new=%s", record.step_id, offset, changed)
            case RunnerClaimed():
                if changed and not past:
                    self.claimed_at_s[record.service] = asyncio.get_running_loop().time()
                self._words.info(
                    "service=%s runner=%s/%s offset=%d replaces=%d counts=%s",
                    record.service,
                    record.node_id,
                    record.incarnation,
                    offset,
                    record.replaces,
                    changed,
                )
            case ItemListed():
                self._observer.counters["items_folded"] += changed
