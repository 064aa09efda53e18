"""Counts and reports through the loss of answers, nodes and holders."""

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
    ReportFixed,
    ReportOutcome,
    ReportTerms,
    TrueClock,
    UsageCounter,
    UsageDuty,
    UsageLedger,
    UsageParts,
    WindowCounts,
    write_gap_s,
)
from samphirecleat.usage._counter import USAGE_TOPIC
from samphirecleat.usage._records import entry_of

from ..durable.memory_log import MemoryLog
from ..fleets import until

WINDOW_S = 5.0
DUE_S = 10.0


class FakeApi:
    """Takes reports as the platform does; ``answers`` says how the next calls end.

    ``unanswered``: done, without an answer. ``lost``: neither.
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
            assert self.taken.setdefault(window, dict(counts)) == counts, "other figures"
        return ReportOutcome.UNKNOWN if answer else ReportOutcome.TAKEN


class Stage:
    """A clock that is moved by hand, a log, and the platform."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.log = MemoryLog()
        self.api = FakeApi()
        self.failures: list[BaseException] = []
        self.store_answers = True

    def clock(self) -> TrueClock:
        return TrueClock(lambda: self.now_s, lambda: self.now_s, lambda: self.now_s)

    def counter(self, gap_s: float = 0.0) -> UsageCounter:
        rng = random.Random(1)
        return UsageCounter(self.log, self.clock(), WINDOW_S, lambda: gap_s, Observer("n1"), rng)

    async def holder(
        self, fencing: int, may_act: Callable[[float], bool] = lambda _s: True
    ) -> Duty:
        parts = UsageParts(
            self.log,
            self.api,
            self.clock(),
            ReportTerms(WINDOW_S, DUE_S),
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
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("LOOK_EVERY_S", "RETRY_S"):
        monkeypatch.setattr(f"samphirecleat.usage._reporter.{name}", 0.01)
    monkeypatch.setattr("samphirecleat.usage._counter.RETRY_S", (0.01, 0.01))


def run(body: Callable[[Stage], object]) -> None:
    async def main() -> None:
        await body(Stage())  # type: ignore[misc]

    asyncio.run(main())


@pytest.mark.parametrize("answers", [[], ["lost"], ["late", "lost"], ["refused"], ["lost"] * 4])
def test_a_count_is_written_once_whatever_the_log_answers(answers: list[str]) -> None:
    """Guards against calls that are counted twice, or not at all, because an answer was lost."""

    async def body(stage: Stage) -> None:
        counter = stage.counter()
        async with counting(counter):
            counter.began("w", stage.now_s)
            counter.began("w", stage.now_s - WINDOW_S)
            counter.began("v", stage.now_s)
            stage.log.topic(USAGE_TOPIC).answers = list(answers)
            await until(lambda: not counter.unwritten)
        stage.log.topic(USAGE_TOPIC).catch_up()
        ledger = UsageLedger(Observer("n1"))
        ledger.take(stage.log.topic(USAGE_TOPIC).entries, False)
        assert ledger.counts(stage.window) == {"w": 1, "v": 1}
        assert ledger.counts(stage.window - 1) == {"w": 1}

    run(body)


def test_counts_of_a_node_that_is_killed_were_written_soon() -> None:
    """Guards against a report that lacks what a node had counted a moment before it died."""

    async def body(stage: Stage) -> None:
        counter = stage.counter(gap_s=1e6)
        async with counting(counter):
            counter.began("w", stage.now_s)
            await until(lambda: bool(stage.log.topic(USAGE_TOPIC).entries))

    run(body)


def test_a_node_that_leaves_writes_at_once() -> None:
    async def body(stage: Stage) -> None:
        counter = stage.counter(gap_s=1e6)
        async with counting(counter):
            counter.began("w", stage.now_s)
            await until(lambda: not counter.unwritten)
            counter.began("w", stage.now_s)
            await asyncio.sleep(0.1)
            assert counter.unwritten
            counter.hurry()
            await until(lambda: not counter.unwritten)

    run(body)


@pytest.mark.parametrize(("nodes", "want_s"), [(3, 0.05), (64, 0.43), (195, 1.3), (390, 2.5)])
def test_a_large_fleet_writes_less_often(nodes: int, want_s: float) -> None:
    assert write_gap_s(nodes) == pytest.approx(want_s, abs=0.01)


def write(stage: Stage, record: CountsAdded | ReportFixed, unique: str) -> None:
    stage.log.topic(USAGE_TOPIC).do_append([entry_of(record, unique)], -1)


def test_each_window_is_reported_once_with_the_counts_of_all_nodes() -> None:
    async def body(stage: Stage) -> None:
        window = stage.window
        write(stage, CountsAdded(window, {"w": 2}), "n1.1")
        duty = await stage.holder(7)
        await asyncio.sleep(0.1)
        assert window not in stage.api.taken
        write(stage, CountsAdded(window, {"w": 1, "v": 1}), "n2.1")
        stage.now_s += WINDOW_S + 5.0
        assert await stage.reported(window) == {"w": 3, "v": 1}
        await asyncio.sleep(0.1)
        duty.stop()
        assert [call for call in stage.api.calls if call[0] == window] == [(window, 7)]

    run(body)


@pytest.mark.parametrize("answer", ["unanswered", "lost", ReportOutcome.BUSY])
def test_an_heir_sends_the_figures_that_its_forerunner_fixed(answer: str | ReportOutcome) -> None:
    """Guards against two reports of one window: its holder dies as its call is under way."""

    async def body(stage: Stage) -> None:
        window = stage.window
        write(stage, CountsAdded(window, {"w": 2}), "n1.1")
        stage.now_s += WINDOW_S + 5.0
        stage.api.answers = [answer] * 99
        first = await stage.holder(7)
        await until(lambda: any(call[0] == window for call in stage.api.calls))
        first.stop()
        # A count that comes too late changes no figures that may have been sent.
        write(stage, CountsAdded(window, {"w": 1}), "n2.1")
        stage.api.answers = []
        heir = await stage.holder(9)
        assert await stage.reported(window) == {"w": 2}
        await until(lambda: (window, 9) in stage.api.calls)
        heir.stop()

    run(body)


def test_of_two_holders_figures_the_first_in_the_log_hold_for_both() -> None:
    """Guards against a holder that wakes and sends its own figures beside its heir's."""

    async def body(stage: Stage) -> None:
        window = stage.window
        write(stage, ReportFixed(window, {"w": 5}), "9.a")
        write(stage, ReportFixed(window, {"w": 4}), "7.b")
        stage.now_s += WINDOW_S + 5.0
        duty = await stage.holder(7)
        assert await stage.reported(window) == {"w": 5}
        duty.stop()

    run(body)


def test_a_holder_that_is_not_confirmed_sends_nothing() -> None:
    """Guards against a holder that stood still and acts beside its heir."""

    async def body(stage: Stage) -> None:
        asked: list[float] = []
        stage.now_s += WINDOW_S + 5.0
        duty = await stage.holder(7, may_act=lambda within: bool(asked.append(within)))
        await until(lambda: len(asked) > 5)
        duty.stop()
        assert stage.api.calls == []
        assert stage.log.topic(USAGE_TOPIC).entries == []

    run(body)


def test_figures_wait_for_the_nodes_that_the_log_turned_away_and_no_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against figures without late counts, and windows missed by a holder that dies next."""
    monkeypatch.setattr("samphirecleat.usage._reporter.WRITTEN_AFTER_OUTAGE_S", 1e6)

    async def body(stage: Stage) -> None:
        window = stage.window
        duty = await stage.holder(7)
        await asyncio.sleep(0.05)
        stage.log.topic(USAGE_TOPIC).down = stage.log.down = True
        # A read that waits for new records notices the outage of the log when its wait is over.
        await asyncio.sleep(0.8)
        stage.log.topic(USAGE_TOPIC).down = stage.log.down = False
        stage.now_s += WINDOW_S + 4.0
        await asyncio.sleep(0.6)
        assert window not in stage.api.taken
        write(stage, CountsAdded(window, {"w": 1}), "n2.1")
        monkeypatch.setattr("samphirecleat.usage._reporter.WRITTEN_AFTER_OUTAGE_S", 0.0)
        assert await stage.reported(window) == {"w": 1}
        duty.stop()

    run(body)


def test_a_fenced_holder_reports_no_more() -> None:
    async def body(stage: Stage) -> None:
        stage.api.answers = [ReportOutcome.FENCED] * 99
        stage.now_s += WINDOW_S + 5.0
        duty = await stage.holder(7)
        await until(lambda: duty.out_of_reach)
        await asyncio.sleep(0.1)
        duty.stop()
        assert len(stage.api.calls) <= 3

    run(body)


def test_a_holder_that_the_platform_does_not_answer_gives_its_place_to_another() -> None:
    """Guards against windows that are missed because their holder alone is cut off."""

    async def body(stage: Stage) -> None:
        stage.api.answers = ["lost"] * 999
        stage.now_s += WINDOW_S + 5.0
        duty = await stage.holder(7)
        await until(lambda: len(stage.api.calls) >= 5)
        assert not duty.out_of_reach
        stage.store_answers = False
        assert duty.out_of_reach
        duty.stop()

    run(body)


def test_old_windows_are_dropped_from_the_log() -> None:
    async def body(stage: Stage) -> None:
        old = stage.window
        write(stage, CountsAdded(old, {"w": 2}), "n1.1")
        stage.now_s += 200.0
        duty = await stage.holder(7)
        await until(lambda: any(not e.value for e in stage.log.topic(USAGE_TOPIC).entries))
        duty.stop()
        kept = await stage.log.topic(USAGE_TOPIC).newest("counts/")
        assert kept.entries == []

    run(body)


def test_entries_that_are_not_understood_change_nothing() -> None:
    ledger = UsageLedger(Observer("n1"))
    good = entry_of(CountsAdded(3, {"w": 1}), "n1.1")
    ledger.take(
        [
            LogEntry(0, "counts/3/x", b"\xff"),
            LogEntry(1, "other/3/x", b"1"),
            LogEntry(2, *good),
            LogEntry(3, *good),
        ],
        False,
    )
    assert ledger.counts(3) == {"w": 1}
