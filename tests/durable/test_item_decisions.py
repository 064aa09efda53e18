"""Tables of the decisions on items, runs and failures."""

import math

import pytest

from samphirecleat.durable import EngineView, GenerationFailure
from samphirecleat.durable._item_decisions import (
    ENGINE_BACKOFF_S,
    ITEM_BACKOFF_S,
    MIN_EVENTS_BEFORE_MOVE,
    REFUSAL_BACKOFF_S,
    FailureResponse,
    ItemAction,
    ItemStatus,
    RunView,
    expected_remaining_events,
    failure_response,
    next_action,
    runs_to_move,
)


@pytest.mark.parametrize(
    ("status", "want"),
    [
        (ItemStatus(1.0, 12.0, False, True, False), ItemAction.GENERATE),
        (ItemStatus(1.0, 12.0, False, True, True), ItemAction.SCORE),
        (ItemStatus(1.0, 12.0, False, False, False), ItemAction.REGENERATE),
        # A complete text that the step does not allow is generated again, not scored.
        (ItemStatus(1.0, 12.0, False, False, True), ItemAction.REGENERATE),
        (ItemStatus(1.0, 12.0, True, True, False), ItemAction.BACK_OFF),
        (ItemStatus(12.0, 12.0, False, True, True), ItemAction.GIVE_UP),
        (ItemStatus(12.0, 12.0, True, False, False), ItemAction.GIVE_UP),
        (ItemStatus(999.0, 0.0, False, True, False), ItemAction.GENERATE),
    ],
)
def test_next_action(status: ItemStatus, want: ItemAction) -> None:
    assert next_action(status) is want


def engine(
    name: str, running: int = 0, slowness: float = 1.0, *, accepts: bool = True
) -> EngineView:
    return EngineView(name, {"m": 1}, 4, 9999, running, 0, slowness, accepts, frozenset())


def run(item: str, slowness: float, events: int = 9, *, moving: bool = False) -> RunView:
    return RunView(("s", item), slowness, events, moving, model="m")


@pytest.mark.parametrize(
    ("runs", "engines", "want"),
    [
        # A run on an engine three times slower than the median moves to a free slot.
        ([run("a", 3.0)], [engine("e1")], ["a"]),
        # No more runs move than faster engines have free slots.
        ([run("a", 3.0), run("b", 3.0)], [engine("e1", running=3)], ["a"]),
        ([run("a", 3.0)], [engine("e1", running=4)], []),
        ([run("a", 3.0)], [engine("e1", slowness=1.5)], []),
        ([run("a", 3.0)], [engine("e1", accepts=False)], []),
        # Only a little slower, just started, or already moving: the run stays.
        ([run("a", 1.9)], [engine("e1")], []),
        ([run("a", 3.0, MIN_EVENTS_BEFORE_MOVE - 1)], [engine("e1")], []),
        ([run("a", 3.0, moving=True), run("b", 3.0)], [engine("e1")], ["b"]),
    ],
)
def test_runs_to_move(runs: list[RunView], engines: list[EngineView], want: list[str]) -> None:
    assert [name[1] for name in runs_to_move(runs, engines)] == want


def late_run(
    item: str,
    slowness: float,
    remaining_s: float,
    due_in_s: float,
    leaves_in_s: float = math.inf,
    min_version: int = 1,
) -> RunView:
    return RunView(
        ("s", item), slowness, 9, False, remaining_s, due_in_s, leaves_in_s, "m", min_version
    )


@pytest.mark.parametrize(
    ("runs", "engines", "want"),
    [
        # Late on its slower engine, in time on another.
        ([late_run("a", 1.3, 4.0, 5.0)], [engine("e1")], ["a"]),
        # In time on its engine, or no relevant gain elsewhere.
        ([late_run("a", 1.3, 3.0, 5.0)], [engine("e1")], []),
        ([late_run("a", 1.3, 4.0, 5.0)], [engine("e1", slowness=1.2)], []),
        ([late_run("a", 1.3, 0.5, 0.2)], [engine("e1")], []),
        # One free slot: the run with less slack.
        (
            [late_run("a", 1.3, 4.0, 5.0), late_run("b", 1.3, 4.0, 4.0)],
            [engine("e1", running=3)],
            ["b"],
        ),
        # The other engine's weights are too old for the step.
        ([late_run("a", 1.3, 4.0, 5.0, min_version=2)], [engine("e1")], []),
        # Its engine stops before the text is complete, or after that.
        ([late_run("a", 1.0, 4.0, 9.0, 2.0)], [engine("e1")], ["a"]),
        ([late_run("a", 1.0, 1.5, 9.0, 2.0)], [engine("e1")], []),
    ],
)
def test_a_text_that_would_be_late_moves_to_a_faster_engine(
    runs: list[RunView], engines: list[EngineView], want: list[str]
) -> None:
    """Guards against a step that waits for one long text on the slowest kind of engine."""
    assert [name[1] for name in runs_to_move(runs, engines)] == want


@pytest.mark.parametrize(
    ("made", "hinted", "most", "want"),
    [(0, 18, 134, 18), (10, 18, 134, 8), (18, 18, 134, 36), (60, 18, 134, 74), (134, 18, 134, 0)],
)
def test_a_text_longer_than_its_hint_is_expected_to_grow(
    made: int, hinted: int, most: int, want: int
) -> None:
    """Guards against a long text that looks nearly complete because its hint was short."""
    assert expected_remaining_events(made, hinted, most) == want


@pytest.mark.parametrize(
    ("reason", "failures", "want"),
    [
        (GenerationFailure.IMPOSSIBLE, 0, FailureResponse(give_up_item=True)),
        (GenerationFailure.FAILED, 2, FailureResponse(give_up_item=False)),
        (GenerationFailure.FAILED, 3, FailureResponse(give_up_item=True)),
        (GenerationFailure.REFUSED, 0, FailureResponse(engine_backoff_s=REFUSAL_BACKOFF_S)),
        (GenerationFailure.BROKEN, 0, FailureResponse(engine_backoff_s=ENGINE_BACKOFF_S)),
        (GenerationFailure.WRONG_INSTANCE, 0, FailureResponse(engine_backoff_s=ENGINE_BACKOFF_S)),
        (
            GenerationFailure.SILENT,
            0,
            FailureResponse(item_backoff_s=0.0, engine_backoff_s=ENGINE_BACKOFF_S),
        ),
    ],
)
def test_failure_response(reason: GenerationFailure, failures: int, want: FailureResponse) -> None:
    assert failure_response(reason, failures, max_attempts=3) == want


def test_an_item_backs_off_after_a_failed_run() -> None:
    """An engine that fails an item at once would otherwise be called in a tight loop."""
    assert failure_response(GenerationFailure.FAILED, 1, 3).item_backoff_s == ITEM_BACKOFF_S > 0.0
