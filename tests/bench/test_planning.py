"""The planner of a runner, simulated beside the simplest planners."""

import random

import pytest

from samphirecleat.bench._planning import (
    MAX_EVENTS,
    SLOTS_PER_ENGINE,
    VARIANTS,
    WORKLOADS,
    PlanningReplay,
    Workload,
    draw_events,
)
from samphirecleat.bench._uneven_engines import UnevenReplay
from samphirecleat.bench._uneven_load import SLOTS_PER_ENGINE as UNEVEN_SLOTS
from samphirecleat.bench._uneven_load import UNEVEN_WORKLOADS

SEED = 7


@pytest.mark.parametrize("workload", WORKLOADS, ids=[workload.name for workload in WORKLOADS])
def test_steps_complete_earlier_than_with_the_baselines(workload: Workload) -> None:
    """Guards against long texts that start last and delay their step and its trainer.

    Steps overlap, lengths vary tenfold, and engines crash, slow down or restart. This delay occurs
    with items placed in order of arrival.
    """
    figures = {name: PlanningReplay(workload, plan, SEED).run() for name, plan in VARIANTS.items()}
    policy = figures.pop("by spare time")
    assert policy["whole_in_time"] >= 0.9
    # Without a queue every planner starts all items at once and differences are random.
    slack = 1.02 if workload.name == "calm" else 1.0
    for baseline in figures.values():
        assert policy["step_s"] < slack * baseline["step_s"]
        assert policy["whole_in_time"] >= baseline["whole_in_time"] - 0.1


@pytest.mark.parametrize("name", VARIANTS)
def test_no_engine_gets_more_runs_than_it_has_slots(name: str) -> None:
    replay = PlanningReplay(WORKLOADS[2], VARIANTS[name], SEED)
    replay.run()
    assert 0 < replay.most_running <= SLOTS_PER_ENGINE


def test_a_seed_determines_the_figures() -> None:
    first, second = (
        PlanningReplay(WORKLOADS[0], VARIANTS["by spare time"], SEED).run() for _ in range(2)
    )
    assert first == second


def test_drawn_lengths_have_the_expected_mean_and_range() -> None:
    rng = random.Random(1)
    drawn = [draw_events(rng) for _ in range(20_000)]
    assert 19.0 < sum(drawn) / len(drawn) < 25.0
    assert (min(drawn), max(drawn)) == (1, MAX_EVENTS)


def test_long_texts_on_uneven_engines_are_in_time() -> None:
    """Guards against steps that wait for a long text on the slowest engines, and engines overfull.

    A third of the engines has 0.6 of the usual speed, and hints are poor.
    """
    replay = UnevenReplay(UNEVEN_WORKLOADS[0], VARIANTS["by spare time"], SEED)
    figures = replay.run()
    assert figures["in_time"] >= 0.9
    assert 0 < replay.most_running <= UNEVEN_SLOTS
