"""Which items that may crash engines run in a small service, and at which engine."""

import math
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.crashes import (
    MIN_CRASHES_TO_REFUSE,
    OWED_BACKOFF_S,
    CrashedRun,
    CrashLedger,
    CrashVerdict,
    ServiceSize,
    Suspicion,
    is_blocked,
)
from samphirecleat.crashes._suspect import suspicion_of
from samphirecleat.durable._engine_ranking import EngineView, PendingItem
from samphirecleat.durable._suspect_trials import (
    LONG_WAIT_FOR_ENGINES_S,
    MAX_TRIAL_S,
    MAX_WAIT_S,
    TRIAL_MARGIN_S,
    WAIT_FOR_ENGINES_S,
    SuspectKind,
    Trial,
    TrialDecision,
    WaitingSuspect,
    WaitReason,
    choose_trial,
    is_restricted,
    kind_of,
    trial_s,
)

NOW_S = 100.0
# Three engines of five are left, or all of three.
THREE_OF_FIVE = ServiceSize(3, 5)


def engine(name: str, running: int = 0, slots: int = 12, version: int = 1) -> EngineView:
    return EngineView(
        name, {"m": version}, slots, 1 << 30, running, 0, 1.0, accepts=True, groups=set()
    )


def suspect(
    name: str,
    crashes: int = 1,
    *,
    ago_s: float = 0.1,
    delay_s: float = 0.5,
    spread_s: float = 0.4,
    verdict: CrashVerdict = CrashVerdict.SUSPECT,
) -> WaitingSuspect:
    item = PendingItem("s1", name, "g", 5.0, False, 640, 255, 1, "m")
    return WaitingSuspect(item, Suspicion(verdict, crashes, delay_s, spread_s, NOW_S - ago_s))


def suspects(count: int, crashes: int = 1, **options: float) -> Sequence[WaitingSuspect]:
    return [suspect(f"i{n}", crashes, **options) for n in range(count)]  # type: ignore[arg-type]


def choose(
    waiting: Sequence[WaitingSuspect],
    running: Sequence[Trial] = (),
    size: ServiceSize = THREE_OF_FIVE,
    engines: Sequence[EngineView] = (engine("a", 3), engine("b", 1), engine("c", 2)),
) -> TrialDecision:
    return choose_trial(waiting, running, size, engines, NOW_S)


def test_items_of_one_crash_are_tried_together_at_one_engine() -> None:
    """Guards against items that wait for each other while engines stand idle."""
    decision = choose(suspects(24))
    assert (decision.instance, len(decision.items), decision.waiting) == ("b", 24, {})


def test_no_second_engine_is_risked_while_items_are_on_trial() -> None:
    """Guards against two engines that are lost to one item, or to two."""
    running = [Trial("a", SuspectKind.UNLIKELY, 0.6)]
    decision = choose([*suspects(2), suspect("x", 2)], running)
    assert decision.instance == "a"
    assert [item.item_id for item in decision.items] == ["i0", "i1"]
    assert decision.waiting == {("s1", "x"): WaitReason.OTHER_TRIAL}


def test_items_at_several_crashes_are_tried_alone_if_there_is_time() -> None:
    """Guards against a culprit that can't be told from those that ran beside it each time."""
    quick = suspects(12, 2, delay_s=0.03)
    assert len(choose(quick).items) == 1
    running = [Trial("b", SuspectKind.LIKELY, 0.2)]
    assert not choose(quick, running).items


def test_an_item_that_had_just_started_is_not_tried_beside_others() -> None:
    """Guards against a second engine with a dozen runs that is lost to the item."""
    decision = choose([*suspects(11), suspect("x", delay_s=0.05)])
    assert len(decision.items) == 11
    assert decision.waiting == {("s1", "x"): WaitReason.OTHER_TRIAL}


def test_an_item_at_three_crashes_backs_off() -> None:
    """Guards against an item that is not proven to be the cause and crashes engine after engine."""
    early = choose([suspect("x", 3, ago_s=OWED_BACKOFF_S - 0.1)])
    assert early.waiting == {("s1", "x"): WaitReason.BACKOFF}
    assert len(choose([suspect("x", 3, ago_s=OWED_BACKOFF_S + 0.1)]).items) == 1


def test_items_at_several_crashes_are_tried_in_groups_if_time_is_short() -> None:
    """Guards against innocent items that are lost to their step by waiting for their turn."""
    slow = suspects(12, 2, delay_s=0.5, ago_s=2.0)
    assert len(choose(slow).items) == math.ceil(12 * 0.6 / 2.0)


@pytest.mark.parametrize(
    ("size", "crashes", "wait_s"),
    [
        (ServiceSize(2, 3), 1, WAIT_FOR_ENGINES_S),
        (ServiceSize(2, 5), 1, WAIT_FOR_ENGINES_S),
        (ServiceSize(1, 3), 1, LONG_WAIT_FOR_ENGINES_S),
        (ServiceSize(2, 3), 2, LONG_WAIT_FOR_ENGINES_S),
    ],
)
def test_the_wait_for_engines_to_come_back_is_bounded(
    size: ServiceSize, crashes: int, wait_s: float
) -> None:
    """Guards against items that lie until their step is over, as no engine comes back."""
    early = choose([suspect("x", crashes, ago_s=wait_s - 0.1)], size=size)
    assert early.waiting == {("s1", "x"): WaitReason.FEW_ENGINES}
    assert len(choose([suspect("x", crashes, ago_s=wait_s + 0.1)], size=size).items) == 1


def test_a_refused_item_is_never_sent_to_an_engine_that_the_service_needs() -> None:
    refused = [suspect(n, 3, ago_s=60.0, verdict=CrashVerdict.REFUSED) for n in ("x", "y")]
    assert not choose(refused, size=ServiceSize(2, 3)).items
    assert len(choose(refused).items) == 1


@pytest.mark.parametrize("count", range(1, 7))
def test_an_item_of_many_crashes_is_placed_once_its_service_is_whole(count: int) -> None:
    """Guards against a sound item that is never placed again after a burst of crashes."""
    size = ServiceSize(count, count)
    refused = suspect("x", 15, ago_s=OWED_BACKOFF_S, verdict=CrashVerdict.REFUSED)
    is_free = not is_restricted(refused.suspicion, size, NOW_S)
    assert is_free or choose([refused], size=size).items == [refused.item]


def test_an_item_that_crashed_its_engines_alike_is_tried_last_and_beside_enough_others() -> None:
    """Guards against a service that is lost to one item while innocent ones wait behind it."""
    alike = suspect("x", 2, spread_s=0.01)
    assert [item.item_id for item in choose([alike, suspect("y", 2)]).items] == ["y"]
    late = suspect("x", 2, spread_s=0.01, ago_s=MAX_WAIT_S + 1.0)
    for size, may_run in (
        (ServiceSize(1, 3), False),
        (ServiceSize(2, 3), False),
        (ServiceSize(1, 1), True),
    ):
        assert is_restricted(late.suspicion, size, NOW_S) is not may_run
        assert bool(choose([late], size=size).items) is may_run


def test_a_held_item_waits_until_the_reports_are_in() -> None:
    held = suspect("x", 3, verdict=CrashVerdict.HELD)
    assert choose([held]).waiting == {("s1", "x"): WaitReason.SETTLING}


def test_only_an_engine_that_could_take_the_item_is_chosen() -> None:
    """Guards against items that wait behind one whose version no engine has."""
    engines = [engine("a", 12), engine("b", 0, version=0), engine("c", 4)]
    assert choose([suspect("x")], engines=engines).instance == "c"
    newer = suspect("newer", ago_s=0.3)
    newer = newer._replace(item=newer.item._replace(min_version=9))
    mixed = choose([newer, suspect("x")], engines=engines)
    assert mixed.instance == "c"
    assert "x" in [item.item_id for item in mixed.items]
    full = choose([suspect("x")], engines=engines[:2])
    assert full.waiting == {("s1", "x"): WaitReason.NO_SLOT}


def test_items_are_free_in_large_services_and_after_the_longest_wait() -> None:
    """Guards against an item that waits for ever, whatever the others do."""
    assert not is_restricted(suspect("x").suspicion, ServiceSize(4, 5), NOW_S)
    assert is_restricted(suspect("x", ago_s=MAX_WAIT_S - 0.1).suspicion, ServiceSize(1, 5), NOW_S)
    assert not is_restricted(suspect("x", 2, ago_s=MAX_WAIT_S).suspicion, ServiceSize(1, 5), NOW_S)


@given(
    st.lists(
        st.tuples(
            st.integers(1, 5),
            st.floats(0.0, 4.0),
            st.floats(0.0, 30.0),
            st.sampled_from([CrashVerdict.SUSPECT, CrashVerdict.HELD, CrashVerdict.REFUSED]),
        ),
        max_size=12,
    ),
    st.integers(0, 3),
    st.integers(0, 6),
)
def test_every_waiting_item_either_starts_at_the_one_engine_or_has_a_reason(
    rows: list[tuple[int, float, float, CrashVerdict]], accepting: int, crashed: int
) -> None:
    waiting = [
        suspect(f"i{n}", crashes, ago_s=ago_s, delay_s=delay_s, verdict=verdict)
        for n, (crashes, ago_s, delay_s, verdict) in enumerate(rows)
    ]
    decision = choose(waiting, size=ServiceSize(accepting, accepting + crashed))
    started = {(item.step_id, item.item_id) for item in decision.items}
    assert started.isdisjoint(decision.waiting)
    assert started | decision.waiting.keys() == {w.name for w in waiting}
    assert len({kind_of(w.suspicion) for w in waiting if w.name in started}) <= 1


class Replay:
    """A service whose ``culprit`` crashes each engine 0.03 s after its start there.

    The other items run for ``run_s``. Crashed engines come back after ``restart_s``.
    """

    STEP_S = 0.01

    def __init__(self, engines: int, items: int, run_s: float, restart_s: float) -> None:
        self.ledger = CrashLedger()
        self.count = engines
        self.run_s = run_s
        self.restart_s = restart_s
        self.now_s = 0.0
        self.down_until_s = [0.0] * engines
        self.starts = [0] * engines
        # The engine and the start of each run, and whether it is on trial until some time.
        self.runs: dict[str, tuple[int, float]] = {}
        self.trials: dict[str, tuple[Trial, float]] = {}
        self.left = {f"i{n}": 0.0 for n in range(items)}
        self.crashes = 0
        self.fewest_left = engines
        self.longest_wait_s = 0.0

    def play(self, culprit: str, until_s: float) -> None:
        for number, name in enumerate(self.left):
            self.runs[name] = (number % self.count, -0.4 if name != culprit else 0.0)
        while self.now_s < until_s:
            self.now_s += self.STEP_S
            self.end_runs(culprit)
            self.start_runs()

    def end_runs(self, culprit: str) -> None:
        at, began_s = self.runs.get(culprit, (0, math.inf))
        if self.now_s - began_s >= 0.03:
            self.crash(at)
        for name, (_at, began_s) in list(self.runs.items()):
            if name != culprit and self.now_s - began_s >= self.run_s:
                del self.runs[name]
                self.trials.pop(name, None)
                del self.left[name]
                self.ledger.record_answer(name.encode(), self.now_s)
        for name, (_trial, until_s) in list(self.trials.items()):
            if until_s <= self.now_s:
                del self.trials[name]

    def crash(self, at: int) -> None:
        self.crashes += 1
        for name, (engine_at, began_s) in list(self.runs.items()):
            if engine_at == at:
                del self.runs[name]
                self.trials.pop(name, None)
                self.left[name] = self.now_s
                run = CrashedRun(f"e{at}.{self.starts[at]}", began_s, self.now_s, "n1")
                self.ledger.record_crash(name.encode(), run, self.now_s)
        self.starts[at] += 1
        self.down_until_s[at] = self.now_s + self.restart_s

    def start_runs(self) -> None:
        up = [at for at in range(self.count) if self.down_until_s[at] <= self.now_s]
        self.fewest_left = min(self.fewest_left, len(up))
        busy = [at for at, _began_s in self.runs.values()]
        views = [engine(f"{at}", busy.count(at)) for at in up]
        size = ServiceSize(len(up), self.count)
        waiting = []
        for name in self.left:
            if name in self.runs:
                continue
            digest = name.encode()
            verdict = self.ledger.verdict(digest, self.now_s)
            suspicion = suspicion_of(self.ledger.suspects.get(digest), verdict)
            if is_blocked(verdict) and self.now_s - self.left[name] < OWED_BACKOFF_S:
                continue
            item = PendingItem("s1", name, "g", 5.0, False, 640, 255, 1, "m")
            if is_restricted(suspicion, size, self.now_s):
                waiting.append(WaitingSuspect(item, suspicion))
            elif up:
                busy.append(min(up, key=busy.count))
                self.runs[name] = (busy[-1], self.now_s)
        running = [trial for trial, _until_s in self.trials.values()]
        decision = choose_trial(waiting, running, size, views, self.now_s)
        for item in decision.items:
            chosen = next(w for w in waiting if w.item is item)
            kind = kind_of(chosen.suspicion)
            trial = Trial(decision.instance, kind, trial_s(chosen.suspicion))
            self.trials[item.item_id] = (trial, self.now_s + trial.trial_s)
            self.runs[item.item_id] = (int(decision.instance), self.now_s)
            self.longest_wait_s = max(self.longest_wait_s, self.now_s - self.left[item.item_id])


@pytest.mark.parametrize("engines", [3, 4, 5, 7])
@pytest.mark.parametrize("restart_s", [0.5, 4.0, math.inf])
def test_an_item_that_crashes_its_engines_is_found_and_the_others_complete(
    engines: int, restart_s: float
) -> None:
    """Guards against a service that is lost to one item because the others must not wait."""
    replay = Replay(engines, 8 * engines, 1.0, restart_s)
    replay.play("i0", 16.0)
    assert set(replay.left) == {"i0"}
    backoffs = replay.now_s / OWED_BACKOFF_S
    assert replay.crashes <= MIN_CRASHES_TO_REFUSE + 1 + backoffs
    assert replay.fewest_left >= 1
    assert replay.longest_wait_s < 5.0


@pytest.mark.parametrize("engines", [3, 5, 7])
def test_innocent_items_of_a_crash_wait_for_less_than_the_longest_wait(engines: int) -> None:
    """Guards against a step that runs out of time beside idle engines."""
    replay = Replay(engines, 12 * engines, 1.5, math.inf)
    replay.play("", 0.0)
    replay.now_s = 0.1
    replay.crash(0)
    for _ in range(600):
        replay.now_s += replay.STEP_S
        replay.end_runs("")
        replay.start_runs()
    assert not replay.left
    # As many rounds at one engine as there are crashed ones, and the wait for them to come back.
    assert replay.longest_wait_s <= WAIT_FOR_ENGINES_S + 2 * (MAX_TRIAL_S + TRIAL_MARGIN_S)
