"""Tests of the demand of a model's steps on the engines."""

import math

import pytest

from samphirecleat.durable import StepFold, StepState
from samphirecleat.durable._planner import Shortage
from samphirecleat.durable._weight_demand import allowed_lag, engines_wanted, model_demand

from .steps import accepted, step


def state(number: int, min_version: int, items: int = 4) -> StepState:
    spec = step(f"s{number}", items, number=number, min_version=min_version)
    fold = StepFold()
    fold.apply(accepted(spec), number, float(number))
    return fold.steps[spec.step_id]


@pytest.mark.parametrize(
    ("steps", "previous", "expected"),
    [
        ([], 1, 1),
        ([state(0, 1)], 0, 0),
        ([state(5, 4)], 0, 1),
        ([state(4, 4), state(5, 3)], 0, 2),
        ([state(5, 6)], 1, 0),
    ],
    ids=["none open", "first step", "one version", "newest step decides", "never negative"],
)
def test_allowed_lag(steps: list[StepState], previous: int, expected: int) -> None:
    assert allowed_lag(steps, previous) == expected


@pytest.mark.parametrize(
    ("sizes", "expected"), [([], 2), ([4], 2), ([25], 3), ([60, 4, 4, 13], 2), ([4, 60, 4, 13], 5)]
)
def test_engines_wanted_for_the_largest_recent_step(sizes: list[int], expected: int) -> None:
    steps = [state(number, 1, size) for number, size in enumerate(sizes)]
    assert engines_wanted(steps, 12) == expected


@pytest.mark.parametrize(
    ("newest", "lag", "open_steps", "needed", "upcoming"),
    [
        (7, 1, [state(7, 6)], 6, 7),
        (7, 1, [], 6, 7),
        (7, 0, [state(7, 7)], 7, 7),
        (7, 2, [state(7, 5)], 5, 6),
        (6, 1, [state(7, 6)], 6, 6),
    ],
    ids=[
        "one version",
        "no open step",
        "newest only",
        "two versions",
        "newest version not known yet",
    ],
)
def test_versions_needed_by_open_and_upcoming_steps(
    newest: int, lag: int, open_steps: list[StepState], needed: int, upcoming: int
) -> None:
    oldest = [step.spec.min_version for step in open_steps]
    demand = model_demand("m", newest, lag, oldest, 2, keeps_runs=True, shortage=None)
    assert (demand.needed_version, demand.next_version) == (needed, upcoming)
    assert not demand.waits
    assert demand.slack_s == math.inf


def test_shortage_is_part_of_the_demand() -> None:
    demand = model_demand("m", 7, 1, [], 2, keeps_runs=False, shortage=Shortage(1.0))
    assert demand.waits
    assert demand.urgent
    assert not demand.keeps_runs
