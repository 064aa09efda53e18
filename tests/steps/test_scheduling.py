"""Decision functions: version prediction, copies, fair shares and free slots."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.blackboard import TargetView
from samphirecleat.steps import (
    NO_VERSION,
    CopyAllRemaining,
    CopyPolicy,
    CopyStragglers,
    CopyView,
    FairShareScheduler,
    NoCopies,
    Pace,
    Run,
    TrainerProgress,
    decide_copies,
    expected_waste_tokens,
    find_free_slots,
    find_stale_targets,
    predict_version,
    remaining_s,
)

PACE = Pace(first_token_s=0.1, token_s=0.01)


@pytest.mark.parametrize(
    ("progress", "newest", "expected"),
    [
        pytest.param(TrainerProgress(NO_VERSION), 7, 7, id="trainer unknown"),
        pytest.param(TrainerProgress(7), 8, 8, id="trainer busy, newer weights exist"),
        pytest.param(TrainerProgress(7), 7, 7, id="no newer weights exist"),
        pytest.param(TrainerProgress(7, pulling=True), 8, 7, id="trainer waits for this step"),
        pytest.param(TrainerProgress(7, True, True), 8, 8, id="trainer advances within steps"),
        pytest.param(TrainerProgress(7), 20, 8, id="another trainer's weights are far ahead"),
        pytest.param(TrainerProgress(9), 7, 9, id="trainer is ahead of the engines"),
    ],
)
def test_predicted_version_of_the_next_pull(
    progress: TrainerProgress, newest: int, expected: int
) -> None:
    assert predict_version(progress, newest) == expected


@pytest.mark.parametrize(("bound", "stale"), [(0, {"a", "b"}), (1, {"a"}), (2, set())])
def test_targets_whose_weights_will_exceed_the_bound_are_stale(bound: int, stale: set[str]) -> None:
    targets = [TargetView(address, "s", "z", version=v) for v, address in enumerate("abc", 5)]
    assert find_stale_targets(targets, 7, bound) == stale


def make_run(
    position: int, tokens: int, started_at_s: float, first_at_s: float = 0.0, expected: int = 100
) -> Run:
    run = Run(position, 1, False, started_at_s, expected)
    run.tokens = tokens
    if tokens:
        run.first_token_at_s = first_at_s
    return run


AT_NORMAL_PACE = make_run(0, 50, 0.0, 0.1)
STALLED = make_run(1, 10, 0.0, 0.1)
NO_TOKENS = make_run(2, 0, 0.0)
LONG_AT_NORMAL_PACE = make_run(3, 60, 0.0, 0.0, expected=1000)


@pytest.mark.parametrize(
    ("policy", "now_s", "copied"),
    [
        (NoCopies(), 0.6, set()),
        (CopyAllRemaining(), 0.6, {0, 1, 2, 3}),
        (CopyStragglers(0.5), 0.5, {1}),
        (CopyStragglers(0.5), 1.2, {1, 2, 3}),
        (CopyStragglers(0.0), 1.2, {2}),
    ],
)
def test_only_runs_slower_than_the_typical_pace_are_copied(
    policy: CopyPolicy, now_s: float, copied: set[int]
) -> None:
    """An engine that runs the last samples of a step slows down or stops sending.

    Without a copy the entire step waits. Copies of runs that are merely long only waste tokens.
    """
    runs = [AT_NORMAL_PACE, STALLED, NO_TOKENS, LONG_AT_NORMAL_PACE]
    view = CopyView(runs, PACE, 0, step_tokens=1300, wasted_tokens=0)
    assert {run.position for run in decide_copies(view, policy, 9, now_s)} == copied


@pytest.mark.parametrize(
    ("queued_tokens", "copied"), [(0, {1}), (90, {1}), (400, set()), (100_000, set())]
)
def test_copy_starts_once_the_queue_takes_no_longer_than_the_copy(
    queued_tokens: int, copied: set[int]
) -> None:
    """A long sample runs on a slow engine from the start of the step.

    If it were copied only after the queue is empty, the copy would end long after all others.
    """
    view = CopyView([STALLED], PACE, queued_tokens, 1000, 0)
    selected = decide_copies(view, CopyStragglers(0.5), 9, 0.9)
    assert {run.position for run in selected} == copied


def test_copy_all_remaining_waits_until_the_queue_is_empty() -> None:
    view = CopyView([AT_NORMAL_PACE], PACE, 1, 1000, 0)
    assert decide_copies(view, CopyAllRemaining(), 9, 0.6) == ()


def test_position_with_a_copy_is_not_copied_again() -> None:
    runs = [STALLED, make_run(1, 0, 0.5)]
    view = CopyView(runs, PACE, 0, step_tokens=1000, wasted_tokens=0)
    assert decide_copies(view, CopyAllRemaining(), 9, 60.0) == []


def test_stragglers_are_not_copied_without_a_known_pace() -> None:
    view = CopyView([STALLED], None, 0, 1000, 0)
    assert decide_copies(view, CopyStragglers(1.0), 9, 60.0) == ()


@given(
    tokens=st.lists(st.integers(min_value=0, max_value=99), max_size=20),
    ratio=st.floats(min_value=0.0, max_value=1.0),
    wasted_before=st.integers(min_value=0, max_value=500),
    room=st.integers(min_value=0, max_value=9),
)
def test_copies_stay_within_room_and_budget(
    tokens: list[int], ratio: float, wasted_before: int, room: int
) -> None:
    runs = [make_run(position, count, 0.0, 0.1) for position, count in enumerate(tokens)]
    view = CopyView(runs, PACE, 0, 100 * len(runs), wasted_before)
    selected = decide_copies(view, CopyStragglers(ratio), room, 60.0)
    assert len(selected) <= room
    wasted = sum(expected_waste_tokens(run, PACE, 60.0) for run in selected)
    assert wasted_before + wasted <= max(wasted_before, ratio * view.step_tokens + 1e-6)
    times_s = [remaining_s(run, PACE, 60.0) for run in selected]
    assert times_s == sorted(times_s, reverse=True)


@pytest.mark.parametrize("shares", [{"a": 1.0, "b": 1.0}, {"a": 3.0, "b": 1.0}, {"a": 0.5}])
def test_tokens_are_distributed_by_share(shares: dict[str, float]) -> None:
    scheduler = FairShareScheduler()
    served_tokens: Counter[str] = Counter()
    for turn in range(2000):
        trainer = scheduler.next_trainer({"a", "b"})
        tokens = 10 + turn % 7
        served_tokens[trainer] += tokens
        scheduler.charge(trainer, tokens, shares)
    assert served_tokens["a"] / served_tokens["b"] == pytest.approx(
        shares["a"] / shares.get("b", 1.0), rel=0.05
    )


def test_trainer_gets_no_credit_for_idle_time() -> None:
    """A trainer submits a step after a long pause.

    If it were credited for its idle time, the others would get nothing until it had caught up.
    """
    scheduler = FairShareScheduler()
    for _turn in range(100):
        scheduler.charge(scheduler.next_trainer({"a"}), 10, {})
    turn_counts = Counter()
    for _turn in range(10):
        trainer = scheduler.next_trainer({"a", "b"})
        turn_counts[trainer] += 1
        scheduler.charge(trainer, 10, {})
    assert turn_counts == {"a": 5, "b": 5}


def test_trainers_without_steps_are_forgotten() -> None:
    scheduler = FairShareScheduler()
    scheduler.charge(scheduler.next_trainer({"gone"}), 10, {})
    scheduler.retain({"here"})
    assert scheduler.next_trainer({"gone"}) == "gone"


@pytest.mark.parametrize(
    ("running", "waiting", "own", "full", "free"),
    [
        (0, 0, 0, False, 8),
        (5, 0, 0, False, 3),
        (5, 0, 7, False, 1),
        (5, 3, 0, True, 0),
        (0, 0, 9, True, 0),
    ],
)
def test_full_targets_are_found_from_reports_and_own_calls(
    running: int, waiting: int, own: int, full: bool, free: int
) -> None:
    """Load reports lag and may not include this node's own calls yet.

    A run sent to a full target would wait there while another target is idle.
    """
    target = TargetView("a", "s", "z", running=running, waiting=waiting, slots=8, reachable=True)
    availability = find_free_slots([target], {"a": own})
    assert (availability.full_targets == {"a"}, availability.free_slots) == (full, free)


def test_unusable_targets_have_no_free_slots() -> None:
    target = TargetView("a", "s", "z", slots=8, reachable=True, loading=True)
    assert find_free_slots([target], {}).free_slots == 0
