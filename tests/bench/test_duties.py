"""Simulated duties under faults, and usage counts when nodes are killed."""

import pytest

from samphirecleat.bench._duties import (
    FAULTS,
    PRODUCT_VARIANT_COUNT,
    VARIANTS,
    DutiesReplay,
    Fault,
    Rules,
)
from samphirecleat.bench._usage import VARIANTS as USAGE_VARIANTS
from samphirecleat.bench._usage import UsageReplay

SEEDS = range(29, 35)


def simulate(rules: Rules, fault: Fault, nodes: int = 9) -> dict[str, float]:
    """Return the worst figure of each kind over the seeds."""
    runs = [DutiesReplay(rules, fault, nodes, seed).run() for seed in SEEDS]
    return {key: max(figures[key] for figures in runs) for key in runs[0]}


@pytest.mark.parametrize("rules", VARIANTS[:PRODUCT_VARIANT_COUNT], ids=lambda rules: rules.name)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_no_two_holders_act_within_a_lease(rules: Rules, fault: Fault) -> None:
    """Guards against a holder that acts again after its successor acted."""
    figures = simulate(rules, fault)
    assert figures["two_in_a_lease"] == 0.0
    assert figures["longest_without_s"] < 8.0


def test_fenced_duties_resume_earlier() -> None:
    for fault in FAULTS:
        unfenced, fenced = (simulate(rules, fault) for rules in VARIANTS[:PRODUCT_VARIANT_COUNT])
        assert fenced["longest_without_s"] < unfenced["longest_without_s"] - 1.5


def test_an_unconfirmed_claim_shows_violations() -> None:
    """Guards against a simulation in which the failure cannot occur."""
    cut_off = FAULTS[1]
    assert simulate(VARIANTS[-1], cut_off)["lower_number"] > 0.0
    assert simulate(VARIANTS[2]._replace(confirms_claim=False), cut_off)["two_in_a_lease"] > 0.0


def test_writing_when_the_rate_allows_leaves_more_windows_right() -> None:
    """Guards against counts lost with their node although the log had capacity for them."""
    figures = {
        variant.name: [UsageReplay(variant, 64, seed).run() for seed in (23, 24)]
        for variant in USAGE_VARIANTS
    }
    right = {name: sum(p["windows_right"] for p in runs) / 2 for name, runs in figures.items()}
    assert right["to the log, as its rate allows"] > right["to the log, at the window's end"]
    assert right["to the log, as its rate allows"] >= right["to the log, after a pause"]
