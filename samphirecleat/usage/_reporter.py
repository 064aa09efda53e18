"""The duty of reporting usage: one report per window, with the same counts in every attempt.

The final counts of a window are written to the log before they are sent, and the first such record
of a window is binding for all holders. A call that the platform executes seconds after it timed
out, or that the next holder repeats, therefore has the same content.

Load pattern: the holder is killed between the end of a window and the response to its report; the
log or the platform's API is unavailable for seconds in that time; nodes write their counts late
because the log was unavailable to them.
"""

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Final, NamedTuple, Protocol

from .._boot_clock import boot_time_s
from ..durable import (
    AppendOutcome,
    Duty,
    DutyFactory,
    DutyTasks,
    Holder,
    KeyedLog,
    TopicFollower,
)
from ..observe import Observer
from ._counter import USAGE_TOPIC
from ._ledger import UsageLedger
from ._records import CountsFinalized, WindowCounts, deletion_entries, encode_entry
from ._true_clock import TrueClock

REPORT_SUBJECT: Final = "duty:usage"
POLL_INTERVAL_S: Final = 0.2
# Counts are finalized when this share of the report deadline has passed after a window's end. All
# nodes have written their counts by then, and a next holder has enough time left.
FINALIZE_SHARE: Final = 0.35
# Within this time after an outage of the log, nodes write their delayed counts. To include them,
# counts are finalized later then: at this share of the report deadline.
OUTAGE_RECOVERY_S: Final = 1.5
OUTAGE_FINALIZE_SHARE: Final = 0.7
# Before finalizing, the ledger must be confirmed to include the whole log within this time.
CONFIRM_TIMEOUT_S: Final = 1.0
# A written record is visible in the log within this time, or its append had no effect.
VISIBLE_TIMEOUT_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 0.8
RETRY_DELAY_S: Final = 0.3
# After this many consecutive calls without a response, another node may reach the platform.
MAX_UNANSWERED_REPORTS: Final = 3
# Windows are retained for the next holders for this multiple of the report deadline, and then
# deleted, several windows in one append.
RETENTION_FACTOR: Final = 6.0
CLEANUP_WINDOWS: Final = 8


class ReportOutcome(Enum):
    """The platform's response to a report."""

    TAKEN = "taken"
    FENCED = "fenced"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class UsageChannel(Protocol):
    """Sends usage reports to the platform."""

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        """Send a report once; a failure of the platform is returned, never raised."""
        ...


class ReportSchedule(NamedTuple):
    """Length of a window, and time after its end at which its report is due."""

    window_s: float
    due_after_s: float


class UsageDependencies(NamedTuple):
    """Dependencies of the usage duty.

    ``store_answers`` returns whether this node reaches the store directly and not only through
    peers.
    """

    log: KeyedLog
    channel: UsageChannel
    clock: TrueClock
    schedule: ReportSchedule
    observer: Observer
    rng: random.Random
    store_answers: Callable[[], bool]


class UsageDuty:
    """Provides the single duty subject of usage reports; any node can be its holder."""

    def __init__(self, dependencies: UsageDependencies) -> None:
        """Create duties with ``dependencies``."""
        self._dependencies = dependencies

    def subjects(self) -> Mapping[str, DutyFactory]:
        """Return the subject and its factory."""
        return {REPORT_SUBJECT: self._create_reporter}

    async def _create_reporter(self, subject: str, holder: Holder) -> Duty:
        del subject
        return _UsageReporter(self._dependencies, holder)


class _UsageReporter:
    """Sends the reports of one holder."""

    def __init__(self, dependencies: UsageDependencies, holder: Holder) -> None:
        self._log = dependencies.log
        self._channel = dependencies.channel
        self._clock = dependencies.clock
        self._schedule = dependencies.schedule
        self._holder = holder
        self._observer = dependencies.observer
        self._logger = dependencies.observer.log("usage")
        self._store_answers = dependencies.store_answers
        self._ledger = UsageLedger(dependencies.observer)
        self._follower = TopicFollower(
            dependencies.log,
            USAGE_TOPIC,
            self._ledger.apply,
            dependencies.observer,
            dependencies.rng,
            ordered=True,
        )
        self._sent: set[int] = set()
        self._unanswered = 0
        self._fenced = False
        self._deleted_before = 0
        self._tasks = DutyTasks()

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Start following the usage topic and sending reports; see :class:`Duty`."""
        self._tasks.start([self._follower.run(), self._report()], on_failure)

    def stop(self) -> None:
        """Stop all tasks at once."""
        self._tasks.stop()

    async def save(self) -> None:
        """Do nothing, because the log contains everything that the next holder needs."""

    @property
    def out_of_reach(self) -> bool:
        """Whether the platform's API refuses this claim or is unreachable from this node only.

        If the API refuses a claim that is still current, only a newer claim can succeed.
        """
        cut_off = self._unanswered >= MAX_UNANSWERED_REPORTS and not self._store_answers()
        return self._fenced or cut_off

    async def _report(self) -> None:
        while not self._fenced:
            await asyncio.sleep(POLL_INTERVAL_S)
            for window in self._due_windows():
                if self._ledger.report(window) is None:
                    await self._finalize(window)
                elif self._holder.may_act_now():
                    await self._send(window)
            await self._delete_old()
        self._logger.warning("fenced by a newer holder, reporting stopped")

    def _due_windows(self) -> list[int]:
        """Return the windows whose counts may be finalized or sent now, oldest first."""
        now_s = self._clock.now_s()
        schedule = self._schedule
        outage_age_s = boot_time_s() - self._follower.unavailable_at_s
        share = OUTAGE_FINALIZE_SHARE if outage_age_s < OUTAGE_RECOVERY_S else FINALIZE_SHARE
        newest = int((now_s - share * schedule.due_after_s) // schedule.window_s) - 1
        oldest = int((now_s - schedule.due_after_s) // schedule.window_s) - 1
        return [window for window in range(oldest, newest + 1) if window not in self._sent]

    async def _finalize(self, window: int) -> None:
        """Write the final counts of a window; the ledger then reads them from the log."""
        if not await self._follower.confirm(CONFIRM_TIMEOUT_S) or not self._holder.may_act_now():
            return
        record = CountsFinalized(window, self._ledger.counts(window))
        unique_id = f"{self._holder.fencing_number}.{secrets.token_hex(4)}"
        result = await self._log.append(USAGE_TOPIC, [encode_entry(record, unique_id)])
        self._logger.info(
            "window=%d counts finalized workspaces=%d calls=%d outcome=%s detail=%s",
            window,
            len(record.counts),
            sum(record.counts.values()),
            result.outcome.value,
            result.detail,
        )
        if result.outcome is not AppendOutcome.NOT_APPENDED:
            await self._wait_until_finalized(window)

    async def _wait_until_finalized(self, window: int) -> None:
        """Wait until the ledger has the final counts, at most ``VISIBLE_TIMEOUT_S``."""
        deadline_s = asyncio.get_running_loop().time() + VISIBLE_TIMEOUT_S
        while (
            self._ledger.report(window) is None and asyncio.get_running_loop().time() < deadline_s
        ):
            await asyncio.sleep(POLL_INTERVAL_S / 10.0)

    async def _send(self, window: int) -> None:
        counts = self._ledger.report(window)
        if counts is None:
            return
        outcome = await self._channel.report_usage(window, counts, self._holder, REPORT_TIMEOUT_S)
        late_s = self._clock.now_s() - (window + 1) * self._schedule.window_s
        self._observer.counters[f"usage_reports_{outcome.value}"] += 1
        self._logger.info(
            "window=%d sent fencing=%d workspaces=%d calls=%d after_end=%.2f s outcome=%s",
            window,
            self._holder.fencing_number,
            len(counts),
            sum(counts.values()),
            late_s,
            outcome.value,
        )
        match outcome:
            case ReportOutcome.TAKEN:
                self._sent.add(window)
                self._unanswered = 0
            case ReportOutcome.FENCED:
                self._fenced = True
            case ReportOutcome.REFUSED:
                self._sent.add(window)
                self._logger.error("window=%d report rejected as invalid", window)
            case ReportOutcome.BUSY:
                self._unanswered = 0
                await asyncio.sleep(RETRY_DELAY_S)
            case ReportOutcome.UNKNOWN:
                self._unanswered += 1
                await asyncio.sleep(RETRY_DELAY_S)

    async def _delete_old(self) -> None:
        """Delete windows that no holder needs any more."""
        retention_s = RETENTION_FACTOR * self._schedule.due_after_s
        before = int((self._clock.now_s() - retention_s) // self._schedule.window_s)
        if before < self._deleted_before + CLEANUP_WINDOWS or not self._holder.may_act_now():
            return
        self._deleted_before = before
        self._sent = {window for window in self._sent if window >= before}
        keys = sorted(self._ledger.remove_before(before))
        if keys:
            await self._log.append(USAGE_TOPIC, deletion_entries(keys))
