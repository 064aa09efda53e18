"""Staleness ahead of time, second copies, and fair shares: the pure decisions."""

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
    ("pace", "newest", "expected"),
    [
        pytest.param(TrainerProgress(NO_VERSION), 7, 7, id="nothing known of the trainer"),
        pytest.param(TrainerProgress(7), 8, 8, id="it trains, and newer weights exist"),
        pytest.param(TrainerProgress(7), 7, 7, id="no newer weights exist"),
        pytest.param(TrainerProgress(7, pulling=True), 8, 7, id="it waits for this step"),
        pytest.param(TrainerProgress(7, True, True), 8, 8, id="it moves on within steps"),
        pytest.param(TrainerProgress(7), 20, 8, id="another trainer's weights are far ahead"),
        pytest.param(TrainerProgress(9), 7, 9, id="it is ahead of the engines"),
    ],
)
def test_the_version_that_the_next_pull_will_name(
    pace: TrainerProgress, newest: int, expected: int
) -> None:
    assert predict_version(pace, newest) == expected


@pytest.mark.parametrize(("bound", "stale"), [(0, {"a", "b"}), (1, {"a"}), (2, set())])
def test_runs_are_not_started_on_weights_that_will_be_too_old(bound: int, stale: set[str]) -> None:
    targets = [TargetView(address, "s", "z", version=v) for v, address in enumerate("abc", 5)]
    assert find_stale_targets(targets, 7, bound) == stale


def run_at(
    position: int, tokens: int, started_at_s: float, first_at_s: float = 0.0, expected: int = 100
) -> Run:
    run = Run(position, 1, False, started_at_s, expected)
    run.tokens = tokens
    if tokens:
        run.first_token_at_s = first_at_s
    return run


NORMAL = run_at(0, 50, 0.0, 0.1)
SILENT_AFTER_SOME = run_at(1, 10, 0.0, 0.1)
NO_TOKEN_YET = run_at(2, 0, 0.0)
LONG_AND_ON_PACE = run_at(3, 60, 0.0, 0.0, expected=1000)


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
def test_only_runs_that_lag_behind_the_usual_pace_are_copied(
    policy: CopyPolicy, now_s: float, copied: set[int]
) -> None:
    """An engine slows down or goes silent with the last samples of a step.

    Without a copy the whole step waits; a copy of each that is merely long only costs tokens.
    """
    runs = [NORMAL, SILENT_AFTER_SOME, NO_TOKEN_YET, LONG_AND_ON_PACE]
    view = CopyView(runs, PACE, 0, step_tokens=1300, wasted_tokens=0)
    assert {run.position for run in decide_copies(view, policy, 9, now_s)} == copied


@pytest.mark.parametrize(
    ("queued_tokens", "copied"), [(0, {1}), (90, {1}), (400, set()), (100_000, set())]
)
def test_a_copy_starts_once_the_rest_takes_no_longer_than_the_copy(
    queued_tokens: int, copied: set[int]
) -> None:
    """A long sample sits on a slow engine from the start of the step.

    Copied only once the queue is empty, its copy would end long after all others.
    """
    view = CopyView([SILENT_AFTER_SOME], PACE, queued_tokens, 1000, 0)
    chosen = decide_copies(view, CopyStragglers(0.5), 9, 0.9)
    assert {run.position for run in chosen} == copied


def test_copying_all_waits_for_the_queue_to_be_empty() -> None:
    view = CopyView([NORMAL], PACE, 1, 1000, 0)
    assert decide_copies(view, CopyAllRemaining(), 9, 0.6) == ()


def test_no_position_runs_three_times() -> None:
    runs = [SILENT_AFTER_SOME, run_at(1, 0, 0.5)]
    view = CopyView(runs, PACE, 0, step_tokens=1000, wasted_tokens=0)
    assert decide_copies(view, CopyAllRemaining(), 9, 60.0) == []


def test_without_a_known_pace_nothing_is_copied() -> None:
    view = CopyView([SILENT_AFTER_SOME], None, 0, 1000, 0)
    assert decide_copies(view, CopyStragglers(1.0), 9, 60.0) == ()


@given(
    tokens=st.lists(st.integers(min_value=0, max_value=99), max_size=20),
    ratio=st.floats(min_value=0.0, max_value=1.0),
    spent=st.integers(min_value=0, max_value=500),
    room=st.integers(min_value=0, max_value=9),
)
def test_copies_stay_within_room_and_budget(
    tokens: list[int], ratio: float, spent: int, room: int
) -> None:
    runs = [run_at(position, count, 0.0, 0.1) for position, count in enumerate(tokens)]
    view = CopyView(runs, PACE, 0, 100 * len(runs), spent)
    chosen = decide_copies(view, CopyStragglers(ratio), room, 60.0)
    assert len(chosen) <= room
    wasted = sum(expected_waste_tokens(run, PACE, 60.0) for run in chosen)
    assert spent + wasted <= max(spent, ratio * view.step_tokens + 1e-6)
    left = [remaining_s(run, PACE, 60.0) for run in chosen]
    assert left == sorted(left, reverse=True)


@pytest.mark.parametrize("shares", [{"a": 1.0, "b": 1.0}, {"a": 3.0, "b": 1.0}, {"a": 0.5}])
def test_trainers_get_their_shares_of_tokens(shares: dict[str, float]) -> None:
    book = FairShareScheduler()
    got: Counter[str] = Counter()
    for turn in range(2000):
        trainer = book.next_trainer({"a", "b"})
        tokens = 10 + turn % 7
        got[trainer] += tokens
        book.charge(trainer, tokens, shares)
    assert got["a"] / got["b"] == pytest.approx(shares["a"] / shares.get("b", 1.0), rel=0.05)


def test_a_trainer_that_paused_does_not_hold_the_others_up_to_catch_up() -> None:
    """A trainer comes back after an hour.

    With all that it did not use to its credit, the others would get nothing until it had caught up.
    """
    book = FairShareScheduler()
    for _turn in range(100):
        book.charge(book.next_trainer({"a"}), 10, {})
    turns = Counter()
    for _turn in range(10):
        trainer = book.next_trainer({"a", "b"})
        turns[trainer] += 1
        book.charge(trainer, 10, {})
    assert turns == {"a": 5, "b": 5}


def test_the_share_book_forgets_trainers_without_steps() -> None:
    book = FairShareScheduler()
    book.charge(book.next_trainer({"gone"}), 10, {})
    book.retain({"here"})
    assert book.next_trainer({"gone"}) == "gone"


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
def test_full_targets_get_no_run(
    running: int, waiting: int, own: int, full: bool, free: int
) -> None:
    """Reports lag, and this node's own calls are not in them yet.

    A run sent to a full target would wait there while another target is idle.
    """
    target = TargetView("a", "s", "z", running=running, waiting=waiting, slots=8, reachable=True)
    availability = find_free_slots([target], {"a": own})
    assert (availability.full_targets == {"a"}, availability.free_slots) == (full, free)


def test_targets_out_of_service_have_no_free_slots() -> None:
    target = TargetView("a", "s", "z", slots=8, reachable=True, loading=True)
    assert find_free_slots([target], {}).free_slots == 0
