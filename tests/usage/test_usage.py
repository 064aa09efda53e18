"""Usage counts and reports when responses, nodes and duty holders are lost."""

import asyncio
import random
from collections.abc import Callable, Mapping
from contextlib import asynccontextmanager

import pytest

from samphirecleat.durable import Duty, Holder, LogEntry
from samphirecleat.observe import Observer
from samphirecleat.usage import (
    REPORT_SUBJECT,
    CountsAdded,
    CountsFinalized,
    ReportOutcome,
    ReportSchedule,
    TrueClock,
    UsageCounter,
    UsageDependencies,
    UsageDuty,
    UsageLedger,
    WindowCounts,
    write_interval_s,
)
from samphirecleat.usage._counter import USAGE_TOPIC
from samphirecleat.usage._records import encode_entry

from ..durable.memory_log import MemoryLog
from ..fleets import until

WINDOW_S = 5.0
DUE_S = 10.0


class FakeApi:
    """Accepts reports as the platform does; ``answers`` holds the results of the next calls.

    ``unanswered``: the report is accepted, but there is no response. ``lost``: the call has no
    effect, and there is no response.
    """

    def __init__(self) -> None:
        self.taken: dict[int, dict[str, int]] = {}
        self.fences: list[int] = []
        self.calls: list[tuple[int, int]] = []
        self.answers: list[str | ReportOutcome] = []

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        del timeout_s
        self.calls.append((window, holder.fencing_number))
        answer = self.answers.pop(0) if self.answers else ""
        if isinstance(answer, ReportOutcome):
            return answer
        if answer != "lost":
            assert self.taken.setdefault(window, dict(counts)) == counts, "counts differ"
        return ReportOutcome.UNKNOWN if answer else ReportOutcome.TAKEN


class UsageHarness:
    """A clock advanced by the test, a log, and the platform's API."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.log = MemoryLog()
        self.api = FakeApi()
        self.failures: list[BaseException] = []
        self.store_answers = True

    def clock(self) -> TrueClock:
        return TrueClock(lambda: self.now_s, lambda: self.now_s, lambda: self.now_s)

    def counter(self, min_interval_s: float = 0.0) -> UsageCounter:
        rng = random.Random(1)
        return UsageCounter(
            self.log, self.clock(), WINDOW_S, lambda: min_interval_s, Observer("n1"), rng
        )

    async def start_holder(
        self, fencing: int, may_act: Callable[[float], bool] = lambda _s: True
    ) -> Duty:
        parts = UsageDependencies(
            self.log,
            self.api,
            self.clock(),
            ReportSchedule(WINDOW_S, DUE_S),
            Observer("n1"),
            random.Random(1),
            lambda: self.store_answers,
        )
        maker = UsageDuty(parts).subjects()[REPORT_SUBJECT]
        duty = await maker(REPORT_SUBJECT, Holder("n1", fencing, 0.0, may_act))
        duty.start(self.failures.append)
        return duty

    @property
    def window(self) -> int:
        return int(self.now_s // WINDOW_S)

    async def reported(self, window: int) -> Mapping[str, int]:
        await until(lambda: window in self.api.taken)
        assert not self.failures
        return self.api.taken[window]


@asynccontextmanager
async def counting(counter: UsageCounter):
    task = asyncio.ensure_future(counter.run())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("POLL_INTERVAL_S", "RETRY_DELAY_S"):
        monkeypatch.setattr(f"samphirecleat.usage._reporter.{name}", 0.01)
    monkeypatch.setattr("samphirecleat.usage._counter.RETRY_DELAY_RANGE_S", (0.01, 0.01))


def run(body: Callable[[UsageHarness], object]) -> None:
    async def main() -> None:
        await body(UsageHarness())  # type: ignore[misc]

    asyncio.run(main())


@pytest.mark.parametrize("answers", [[], ["lost"], ["late", "lost"], ["refused"], ["lost"] * 4])
def test_counts_are_written_once_whatever_the_log_responds(answers: list[str]) -> None:
    """Guards against calls counted twice or not at all because a response was lost."""

    async def body(harness: UsageHarness) -> None:
        counter = harness.counter()
        async with counting(counter):
            counter.record_start("w", harness.now_s)
            counter.record_start("w", harness.now_s - WINDOW_S)
            counter.record_start("v", harness.now_s)
            harness.log.topic(USAGE_TOPIC).answers = list(answers)
            await until(lambda: not counter.unwritten_calls)
        harness.log.topic(USAGE_TOPIC).apply_delayed()
        ledger = UsageLedger(Observer("n1"))
        ledger.apply(harness.log.topic(USAGE_TOPIC).entries, False)
        assert ledger.counts(harness.window) == {"w": 1, "v": 1}
        assert ledger.counts(harness.window - 1) == {"w": 1}

    run(body)


def test_first_counts_are_written_without_delay() -> None:
    """Guards against a report without the calls that a node counted shortly before it died."""

    async def body(harness: UsageHarness) -> None:
        counter = harness.counter(min_interval_s=1e6)
        async with counting(counter):
            counter.record_start("w", harness.now_s)
            await until(lambda: bool(harness.log.topic(USAGE_TOPIC).entries))

    run(body)


def test_a_leaving_node_writes_without_delay() -> None:
    async def body(harness: UsageHarness) -> None:
        counter = harness.counter(min_interval_s=1e6)
        async with counting(counter):
            counter.record_start("w", harness.now_s)
            await until(lambda: not counter.unwritten_calls)
            counter.record_start("w", harness.now_s)
            await asyncio.sleep(0.1)
            assert counter.unwritten_calls
            counter.flush_now()
            await until(lambda: not counter.unwritten_calls)

    run(body)


@pytest.mark.parametrize(("nodes", "expected_s"), [(3, 0.05), (64, 0.43), (195, 1.3), (390, 2.5)])
def test_nodes_of_a_large_fleet_write_less_often(nodes: int, expected_s: float) -> None:
    assert write_interval_s(nodes) == pytest.approx(expected_s, abs=0.01)


def write_record(harness: UsageHarness, record: CountsAdded | CountsFinalized, unique: str) -> None:
    harness.log.topic(USAGE_TOPIC).do_append([encode_entry(record, unique)], -1)


def test_each_window_is_reported_once_with_the_counts_of_all_nodes() -> None:
    async def body(harness: UsageHarness) -> None:
        window = harness.window
        write_record(harness, CountsAdded(window, {"w": 2}), "n1.1")
        duty = await harness.start_holder(7)
        await asyncio.sleep(0.1)
        assert window not in harness.api.taken
        write_record(harness, CountsAdded(window, {"w": 1, "v": 1}), "n2.1")
        harness.now_s += WINDOW_S + 5.0
        assert await harness.reported(window) == {"w": 3, "v": 1}
        await asyncio.sleep(0.1)
        duty.stop()
        assert [call for call in harness.api.calls if call[0] == window] == [(window, 7)]

    run(body)


@pytest.mark.parametrize("answer", ["unanswered", "lost", ReportOutcome.BUSY])
def test_the_next_holder_sends_the_counts_that_were_finalized(
    answer: str | ReportOutcome,
) -> None:
    """Guards against two different reports of a window when its holder dies during the call."""

    async def body(harness: UsageHarness) -> None:
        window = harness.window
        write_record(harness, CountsAdded(window, {"w": 2}), "n1.1")
        harness.now_s += WINDOW_S + 5.0
        harness.api.answers = [answer] * 99
        first = await harness.start_holder(7)
        await until(lambda: any(call[0] == window for call in harness.api.calls))
        first.stop()
        # A late count must not change counts that may have been sent.
        write_record(harness, CountsAdded(window, {"w": 1}), "n2.1")
        harness.api.answers = []
        second = await harness.start_holder(9)
        assert await harness.reported(window) == {"w": 2}
        await until(lambda: (window, 9) in harness.api.calls)
        second.stop()

    run(body)


def test_the_first_final_counts_in_the_log_are_binding_for_all_holders() -> None:
    """Guards against a resumed former holder that sends counts other than the current one's."""

    async def body(harness: UsageHarness) -> None:
        window = harness.window
        write_record(harness, CountsFinalized(window, {"w": 5}), "9.a")
        write_record(harness, CountsFinalized(window, {"w": 4}), "7.b")
        harness.now_s += WINDOW_S + 5.0
        duty = await harness.start_holder(7)
        assert await harness.reported(window) == {"w": 5}
        duty.stop()

    run(body)


def test_an_unconfirmed_holder_sends_nothing() -> None:
    """Guards against a resumed former holder that acts at the same time as the current one."""

    async def body(harness: UsageHarness) -> None:
        checks: list[float] = []
        harness.now_s += WINDOW_S + 5.0
        duty = await harness.start_holder(7, may_act=lambda within: bool(checks.append(within)))
        await until(lambda: len(checks) > 5)
        duty.stop()
        assert harness.api.calls == []
        assert harness.log.topic(USAGE_TOPIC).entries == []

    run(body)


def test_counts_are_finalized_later_after_an_outage_of_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against missing late counts, and windows missed if the holder dies afterwards."""
    monkeypatch.setattr("samphirecleat.usage._reporter.OUTAGE_RECOVERY_S", 1e6)

    async def body(harness: UsageHarness) -> None:
        window = harness.window
        duty = await harness.start_holder(7)
        await asyncio.sleep(0.05)
        harness.log.topic(USAGE_TOPIC).down = harness.log.down = True
        # A waiting read notices the outage only when its wait is over.
        await asyncio.sleep(0.8)
        harness.log.topic(USAGE_TOPIC).down = harness.log.down = False
        harness.now_s += WINDOW_S + 4.0
        await asyncio.sleep(0.6)
        assert window not in harness.api.taken
        write_record(harness, CountsAdded(window, {"w": 1}), "n2.1")
        monkeypatch.setattr("samphirecleat.usage._reporter.OUTAGE_RECOVERY_S", 0.0)
        assert await harness.reported(window) == {"w": 1}
        duty.stop()

    run(body)


def test_a_fenced_holder_stops_reporting() -> None:
    async def body(harness: UsageHarness) -> None:
        harness.api.answers = [ReportOutcome.FENCED] * 99
        harness.now_s += WINDOW_S + 5.0
        duty = await harness.start_holder(7)
        await until(lambda: duty.out_of_reach)
        await asyncio.sleep(0.1)
        duty.stop()
        assert len(harness.api.calls) <= 3

    run(body)


def test_a_holder_cut_off_from_the_platform_is_out_of_reach() -> None:
    """Guards against windows that are missed because only the holder is cut off."""

    async def body(harness: UsageHarness) -> None:
        harness.api.answers = ["lost"] * 999
        harness.now_s += WINDOW_S + 5.0
        duty = await harness.start_holder(7)
        await until(lambda: len(harness.api.calls) >= 5)
        assert not duty.out_of_reach
        harness.store_answers = False
        assert duty.out_of_reach
        duty.stop()

    run(body)


def test_old_windows_are_deleted_from_the_log() -> None:
    async def body(harness: UsageHarness) -> None:
        old = harness.window
        write_record(harness, CountsAdded(old, {"w": 2}), "n1.1")
        harness.now_s += 200.0
        duty = await harness.start_holder(7)
        await until(lambda: any(not e.value for e in harness.log.topic(USAGE_TOPIC).entries))
        duty.stop()
        kept = await harness.log.topic(USAGE_TOPIC).newest("counts/")
        assert kept.entries == []

    run(body)


def test_malformed_entries_are_ignored() -> None:
    ledger = UsageLedger(Observer("n1"))
    good = encode_entry(CountsAdded(3, {"w": 1}), "n1.1")
    ledger.apply(
        [
            LogEntry(0, "counts/3/x", b"\xff"),
            LogEntry(1, "other/3/x", b"1"),
            LogEntry(2, *good),
            LogEntry(3, *good),
        ],
        False,
    )
    assert ledger.counts(3) == {"w": 1}
