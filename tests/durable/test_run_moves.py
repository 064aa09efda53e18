"""Tables of the decision which runs leave their engine."""

import math

import pytest

from samphirecleat.durable import EngineView
from samphirecleat.durable._run_moves import (
    MIN_EVENTS_BEFORE_MOVE,
    Move,
    MoveReason,
    RunView,
    runs_to_move,
)


def engine(
    name: str, running: int = 0, slowness: float = 1.0, *, accepts: bool = True
) -> EngineView:
    return EngineView(name, {"m": 1}, 4, 9999, running, 0, slowness, accepts, frozenset())


def run(item: str, slowness: float, events: int = 9, *, moving: bool = False) -> RunView:
    return RunView(("s", item), slowness, events, moving, 4.0, model="m")


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
        # Nearly complete: the move would cost more than it gains.
        ([run("a", 3.0)._replace(remaining_s=0.1)], [engine("e1")], []),
    ],
)
def test_runs_to_move(runs: list[RunView], engines: list[EngineView], want: list[str]) -> None:
    assert [move.run.name[1] for move in runs_to_move(runs, engines)] == want


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
        # Late on an engine of the usual speed, in time on one that is faster.
        ([late_run("a", 1.0, 6.0, 5.0)], [engine("e1", slowness=0.6)], ["a"]),
        # The other group is not needed.
        ([late_run("a", 1.3, 4.0, 5.0)._replace(needed=False)], [engine("e1")], []),
        # A text moves once, but also later away from an engine that leaves.
        ([late_run("a", 3.0, 4.0, 5.0)._replace(moved=True)], [engine("e1")], []),
        ([late_run("a", 1.0, 4.0, 9.0, 2.0)._replace(moved=True)], [engine("e1")], ["a"]),
    ],
)
def test_a_text_that_would_be_late_moves_to_a_faster_engine(
    runs: list[RunView], engines: list[EngineView], want: list[str]
) -> None:
    """Guards against a step that waits for one long text on the slowest kind of engine."""
    assert [move.run.name[1] for move in runs_to_move(runs, engines)] == want


def test_the_run_of_a_needed_group_moves_first() -> None:
    """Guards against a free slot for a text that its trainer does not wait for."""
    optional = run("a", 4.0)._replace(needed=False, due_in_s=0.0)
    moves = runs_to_move([optional, run("b", 3.0)], [engine("e1", running=3)])
    assert [move.run.name[1] for move in moves] == ["b"]


@pytest.mark.parametrize(
    ("moving", "want"),
    [
        (late_run("a", 1.0, 4.0, 1.0, 2.0), MoveReason.LEAVING),
        (late_run("a", 3.0, 4.0, 5.0), MoveReason.LATE),
        (late_run("a", 3.0, 4.0, 99.0), MoveReason.SLOW),
    ],
)
def test_a_move_states_its_reason_and_destination(moving: RunView, want: MoveReason) -> None:
    """Guards against a move that its log line and counter explain wrongly."""
    engines = [engine("e1"), engine("e2", slowness=0.6)]
    assert runs_to_move([moving], engines) == [Move(moving, want, 0.6)]
