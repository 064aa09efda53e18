"""The duty of reporting usage: one report for each window, the same however often it is sent.

The figures of a window are written to the log before they are sent, and the first such record of a
window holds for every holder. So a call that is carried out seconds after its caller gave it up,
or that an heir sends again, tells the platform nothing new.

Load pattern answered: the holder is killed between the end of a window and the answer to its
report; the log or the platform's API is away for seconds in that time; nodes write their counts
late because the log was away for them.
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
from ._records import ReportFixed, WindowCounts, drop_entries, entry_of
from ._true_clock import TrueClock

REPORT_SUBJECT: Final = "duty:usage"
LOOK_EVERY_S: Final = 0.2
# Figures are fixed this part of the allowed time after a window's end. All nodes have written by
# then, and an heir still has the time that it needs.
FIX_AFTER: Final = 0.35
# Nodes that the log turned away write their counts this long after it is back, by when figures
# wait for them, but no longer than this part of the allowed time.
WRITTEN_AFTER_OUTAGE_S: Final = 1.5
FIX_AFTER_OUTAGE: Final = 0.7
# Figures are fixed by all that the log holds at that moment; it is asked for this long.
CONFIRM_WITHIN_S: Final = 1.0
# A record that was written is seen in the log within this time, or its append took no effect.
SEEN_WITHIN_S: Final = 1.0
REPORT_TIMEOUT_S: Final = 0.8
RETRY_S: Final = 0.3
# Calls without an answer in a row after which another node may have better luck.
UNREACHED_LIMIT: Final = 3
# Windows are kept this many times the allowed time, for heirs, and then dropped in one append.
KEPT_FOR: Final = 6.0
DROP_EVERY_WINDOWS: Final = 8


class ReportOutcome(Enum):
    """What the platform answered to a report."""

    TAKEN = "taken"
    FENCED = "fenced"
    REFUSED = "refused"
    BUSY = "busy"
    UNKNOWN = "unknown"


class UsageChannel(Protocol):
    """Reports to the platform."""

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        """Send a report once; never raises for a failure of the platform."""
        ...


class ReportTerms(NamedTuple):
    """How long a window is, and how long after its end its report is due."""

    window_s: float
    due_after_s: float


class UsageParts(NamedTuple):
    """What reporting needs of its node.

    ``store_answers`` says whether the store answers this node itself, and not only through peers.
    """

    log: KeyedLog
    channel: UsageChannel
    clock: TrueClock
    terms: ReportTerms
    observer: Observer
    rng: random.Random
    store_answers: Callable[[], bool]


class UsageDuty:
    """The one subject of usage; every node may be its holder."""

    def __init__(self, parts: UsageParts) -> None:
        """Report by way of ``parts``."""
        self._parts = parts

    def subjects(self) -> Mapping[str, DutyFactory]:
        """Return the one subject."""
        return {REPORT_SUBJECT: self._make}

    async def _make(self, subject: str, holder: Holder) -> Duty:
        del subject
        return _UsagePost(self._parts, holder)


class _UsagePost:
    """The reports of one holder."""

    def __init__(self, parts: UsageParts, holder: Holder) -> None:
        self._log = parts.log
        self._channel = parts.channel
        self._clock = parts.clock
        self._terms = parts.terms
        self._holder = holder
        self._observer = parts.observer
        self._logger = parts.observer.log("usage")
        self._store_answers = parts.store_answers
        self._ledger = UsageLedger(parts.observer)
        self._follower = TopicFollower(
            parts.log, USAGE_TOPIC, self._ledger.take, parts.observer, parts.rng, ordered=True
        )
        self._sent: set[int] = set()
        self._unreached = 0
        self._fenced = False
        self._dropped_before = 0
        self._tasks = DutyTasks()

    def start(self, on_failure: Callable[[BaseException], None]) -> None:
        """Follow the counts and report; see :class:`Duty`."""
        self._tasks.start([self._follower.run(), self._report()], on_failure)

    def stop(self) -> None:
        """End at once."""
        self._tasks.stop()

    async def save(self) -> None:
        """Do nothing: the log holds all that an heir needs."""

    @property
    def out_of_reach(self) -> bool:
        """Whether the platform's API refuses this claim, or does not answer this node alone.

        A claim that is in force and refused all the same can only be followed by a newer one.
        """
        cut_off = self._unreached >= UNREACHED_LIMIT and not self._store_answers()
        return self._fenced or cut_off

    async def _report(self) -> None:
        while not self._fenced:
            await asyncio.sleep(LOOK_EVERY_S)
            for window in self._due_windows():
                if self._ledger.report(window) is None:
                    await self._fix(window)
                elif self._holder.may_act_now():
                    await self._send(window)
            await self._drop_old()
        self._logger.warning("fenced: a newer holder reports")

    def _due_windows(self) -> list[int]:
        """Return the windows whose figures may be fixed or sent now, oldest first."""
        now_s = self._clock.now_s()
        terms = self._terms
        away_ago_s = boot_time_s() - self._follower.unavailable_at_s
        share = FIX_AFTER_OUTAGE if away_ago_s < WRITTEN_AFTER_OUTAGE_S else FIX_AFTER
        newest = int((now_s - share * terms.due_after_s) // terms.window_s) - 1
        oldest = int((now_s - terms.due_after_s) // terms.window_s) - 1
        return [window for window in range(oldest, newest + 1) if window not in self._sent]

    async def _fix(self, window: int) -> None:
        """Write the figures of a window, which the ledger then takes from the log."""
        if not await self._follower.confirm(CONFIRM_WITHIN_S) or not self._holder.may_act_now():
            return
        record = ReportFixed(window, self._ledger.counts(window))
        unique = f"{self._holder.fencing_number}.{secrets.token_hex(4)}"
        result = await self._log.append(USAGE_TOPIC, [entry_of(record, unique)])
        self._logger.info(
            "window=%d figures fixed workspaces=%d calls=%d outcome=%s detail=%s",
            window,
            len(record.counts),
            sum(record.counts.values()),
            result.outcome.value,
            result.detail,
        )
        if result.outcome is not AppendOutcome.NOT_APPENDED:
            await self._wait_fixed(window)

    async def _wait_fixed(self, window: int) -> None:
        """Wait until the log has shown which figures hold, but not for long."""
        until_s = asyncio.get_running_loop().time() + SEEN_WITHIN_S
        while self._ledger.report(window) is None and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(LOOK_EVERY_S / 10.0)

    async def _send(self, window: int) -> None:
        counts = self._ledger.report(window)
        if counts is None:
            return
        outcome = await self._channel.report_usage(window, counts, self._holder, REPORT_TIMEOUT_S)
        late_s = self._clock.now_s() - (window + 1) * self._terms.window_s
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
                self._unreached = 0
            case ReportOutcome.FENCED:
                self._fenced = True
            case ReportOutcome.REFUSED:
                self._sent.add(window)
                self._logger.error("window=%d is refused for what it says", window)
            case ReportOutcome.BUSY:
                self._unreached = 0
                await asyncio.sleep(RETRY_S)
            case ReportOutcome.UNKNOWN:
                self._unreached += 1
                await asyncio.sleep(RETRY_S)

    async def _drop_old(self) -> None:
        """Drop windows that no heir can need any more."""
        kept_s = KEPT_FOR * self._terms.due_after_s
        before = int((self._clock.now_s() - kept_s) // self._terms.window_s)
        if before < self._dropped_before + DROP_EVERY_WINDOWS or not self._holder.may_act_now():
            return
        self._dropped_before = before
        self._sent = {window for window in self._sent if window >= before}
        keys = sorted(self._ledger.forget_before(before))
        if keys:
            await self._log.append(USAGE_TOPIC, drop_entries(keys))
