"""Weight loads decided for all models together, simulated beside decisions for each model."""

import pytest

from samphirecleat.bench._loads import VARIANTS, WORKLOADS, LoadsReplay, LoadsWorkload

SEEDS = (7, 8, 9)


def simulate(workload: LoadsWorkload, variant: str) -> dict[str, float]:
    """Return the mean figures over the seeds."""
    runs = [LoadsReplay(workload, VARIANTS[variant], seed).run() for seed in SEEDS]
    return {key: sum(figures[key] for figures in runs) / len(runs) for key in runs[0]}


@pytest.mark.parametrize("workload", WORKLOADS, ids=[workload.name for workload in WORKLOADS])
def test_no_step_waits_for_the_loads_of_other_models(workload: LoadsWorkload) -> None:
    """Guards against a step that waits for its version while engines load other models.

    Three trainers announce versions every few seconds, and the store serves two loads at full
    speed. Decided for each model separately, all engines load every version of the first models,
    and a step of the last model waits for its version although engines are idle.
    """
    together, apart = (
        simulate(workload, "all models together"),
        simulate(workload, "each for itself"),
    )
    assert together["longest_wait_s"] < 0.5 * apart["longest_wait_s"]
    assert together["in_time"] > apart["in_time"]
    assert together["loads"] <= apart["loads"]


def test_a_step_under_low_load_waits_less_than_one_load() -> None:
    assert simulate(WORKLOADS[0], "all models together")["longest_wait_s"] < 0.9


def test_a_seed_determines_the_figures() -> None:
    runs = [LoadsReplay(WORKLOADS[0], VARIANTS["each for itself"], 7).run() for _ in range(2)]
    assert runs[0] == runs[1]
