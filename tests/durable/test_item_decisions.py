"""What becomes of items, runs and engines: the decisions, by table."""

import math

import pytest

from samphirecleat.durable import EngineView, GenerationFailure
from samphirecleat.durable._item_decisions import (
    ENGINE_REST_S,
    ITEM_REST_S,
    MOVE_AFTER_EVENTS,
    REFUSAL_REST_S,
    Aftermath,
    ItemStanding,
    NextStep,
    RunView,
    after_failed_run,
    expected_rest_events,
    next_step,
    runs_to_move,
)


@pytest.mark.parametrize(
    ("standing", "want"),
    [
        (ItemStanding(1.0, 12.0, False, True, False), NextStep.MAKE),
        (ItemStanding(1.0, 12.0, False, True, True), NextStep.SCORE),
        (ItemStanding(1.0, 12.0, False, False, False), NextStep.MAKE_ANEW),
        # A whole text that the step does not allow is made anew, not scored.
        (ItemStanding(1.0, 12.0, False, False, True), NextStep.MAKE_ANEW),
        (ItemStanding(1.0, 12.0, True, True, False), NextStep.REST),
        (ItemStanding(12.0, 12.0, False, True, True), NextStep.GIVE_UP),
        (ItemStanding(12.0, 12.0, True, False, False), NextStep.GIVE_UP),
        (ItemStanding(999.0, 0.0, False, True, False), NextStep.MAKE),
    ],
)
def test_what_an_item_needs_next(standing: ItemStanding, want: NextStep) -> None:
    assert next_step(standing) is want


def engine(
    name: str, running: int = 0, slowness: float = 1.0, *, accepts: bool = True
) -> EngineView:
    return EngineView(name, {"m": 1}, 4, 9999, running, 0, slowness, accepts, frozenset())


def run(item: str, slowness: float, events: int = 9, *, moving: bool = False) -> RunView:
    return RunView(("s", item), slowness, events, moving, model="m")


@pytest.mark.parametrize(
    ("runs", "engines", "want"),
    [
        # A run on an engine three times slower than typical goes on at one with a place.
        ([run("a", 3.0)], [engine("e1")], ["a"]),
        # No more of them than there are places at faster engines.
        ([run("a", 3.0), run("b", 3.0)], [engine("e1", running=3)], ["a"]),
        ([run("a", 3.0)], [engine("e1", running=4)], []),
        ([run("a", 3.0)], [engine("e1", slowness=1.5)], []),
        ([run("a", 3.0)], [engine("e1", accepts=False)], []),
        # A little slower, hardly begun, or asked already: it stays.
        ([run("a", 1.9)], [engine("e1")], []),
        ([run("a", 3.0, MOVE_AFTER_EVENTS - 1)], [engine("e1")], []),
        ([run("a", 3.0, moving=True), run("b", 3.0)], [engine("e1")], ["b"]),
    ],
)
def test_which_runs_move(runs: list[RunView], engines: list[EngineView], want: list[str]) -> None:
    assert [name[1] for name in runs_to_move(runs, engines)] == want


def pressed(
    item: str,
    slowness: float,
    rest_s: float,
    due_in_s: float,
    leaves_in_s: float = math.inf,
    min_version: int = 1,
) -> RunView:
    return RunView(("s", item), slowness, 9, False, rest_s, due_in_s, leaves_in_s, "m", min_version)


@pytest.mark.parametrize(
    ("runs", "engines", "want"),
    [
        # Late at its engine of two thirds of the pace, in time at another.
        ([pressed("a", 1.3, 4.0, 5.0)], [engine("e1")], ["a"]),
        # In time where it is, or no better elsewhere.
        ([pressed("a", 1.3, 3.0, 5.0)], [engine("e1")], []),
        ([pressed("a", 1.3, 4.0, 5.0)], [engine("e1", slowness=1.2)], []),
        ([pressed("a", 1.3, 0.5, 0.2)], [engine("e1")], []),
        # One place: the one that has less to spare.
        (
            [pressed("a", 1.3, 4.0, 5.0), pressed("b", 1.3, 4.0, 4.0)],
            [engine("e1", running=3)],
            ["b"],
        ),
        # Weights that may not go on with the text.
        ([pressed("a", 1.3, 4.0, 5.0, min_version=2)], [engine("e1")], []),
        # Its engine leaves before the text is whole, or after it.
        ([pressed("a", 1.0, 4.0, 9.0, 2.0)], [engine("e1")], ["a"]),
        ([pressed("a", 1.0, 1.5, 9.0, 2.0)], [engine("e1")], []),
    ],
)
def test_a_text_that_would_be_late_goes_on_at_a_faster_engine(
    runs: list[RunView], engines: list[EngineView], want: list[str]
) -> None:
    """Guards against a step that waits for one long text on the slowest kind of engine."""
    assert [name[1] for name in runs_to_move(runs, engines)] == want


@pytest.mark.parametrize(
    ("made", "hinted", "most", "want"),
    [(0, 18, 134, 18), (10, 18, 134, 8), (18, 18, 134, 36), (60, 18, 134, 74), (134, 18, 134, 0)],
)
def test_a_text_that_outlasts_its_hint_is_expected_to_go_on(
    made: int, hinted: int, most: int, want: int
) -> None:
    """Guards against a long text that looks all but done because its hint was short."""
    assert expected_rest_events(made, hinted, most) == want


@pytest.mark.parametrize(
    ("reason", "failures", "want"),
    [
        (GenerationFailure.IMPOSSIBLE, 0, Aftermath(item_dead=True)),
        (GenerationFailure.FAILED, 2, Aftermath(item_dead=False)),
        (GenerationFailure.FAILED, 3, Aftermath(item_dead=True)),
        (GenerationFailure.REFUSED, 0, Aftermath(engine_rest_s=REFUSAL_REST_S)),
        (GenerationFailure.BROKEN, 0, Aftermath(engine_rest_s=ENGINE_REST_S)),
        (GenerationFailure.WRONG_INSTANCE, 0, Aftermath(engine_rest_s=ENGINE_REST_S)),
        (GenerationFailure.SILENT, 0, Aftermath(item_rest_s=0.0, engine_rest_s=ENGINE_REST_S)),
    ],
)
def test_what_follows_a_run_that_failed(
    reason: GenerationFailure, failures: int, want: Aftermath
) -> None:
    assert after_failed_run(reason, failures, max_attempts=3) == want


def test_an_item_rests_a_moment_after_an_engine_failed_it() -> None:
    """An engine that fails an item at once would otherwise be asked as fast as it answers."""
    assert after_failed_run(GenerationFailure.FAILED, 1, 3).item_rest_s == ITEM_REST_S > 0.0
