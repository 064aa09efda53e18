"""Duties replayed under faults: what the two waits of an heir prevent."""

import pytest

from samphirecleat.bench._duties import FAULTS, KEPT_VARIANTS, VARIANTS, DutiesReplay, Fault, Rules
from samphirecleat.bench._usage import WAYS, UsageReplay

SEEDS = range(29, 35)


def play(rules: Rules, fault: Fault, nodes: int = 9) -> dict[str, float]:
    """Return the worst figures over the seeds."""
    plays = [DutiesReplay(rules, fault, nodes, seed).run() for seed in SEEDS]
    return {key: max(figures[key] for figures in plays) for key in plays[0]}


@pytest.mark.parametrize("rules", VARIANTS[:KEPT_VARIANTS], ids=lambda rules: rules.name)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_no_two_holders_act_within_a_lease(rules: Rules, fault: Fault) -> None:
    """Guards against a holder that acts after its heir did."""
    figures = play(rules, fault)
    assert figures["two_in_a_lease"] == 0.0
    assert figures["longest_without_s"] < 8.0


def test_where_fences_are_checked_a_duty_stands_still_for_less() -> None:
    for fault in FAULTS:
        unfenced, fenced = (play(rules, fault) for rules in VARIANTS[:KEPT_VARIANTS])
        assert fenced["longest_without_s"] < unfenced["longest_without_s"] - 1.5


def test_a_holder_that_does_not_ask_for_its_claim_is_seen() -> None:
    """Guards against a replay that could not show the failure."""
    cut = FAULTS[1]
    assert play(VARIANTS[-1], cut)["lower_number"] > 0.0
    assert play(VARIANTS[2]._replace(confirms=False), cut)["two_in_a_lease"] > 0.0


def test_written_as_the_rate_allows_fewer_windows_are_wrong() -> None:
    """Guards against counts that die with their node while the log had room for them."""
    figures = {way.name: [UsageReplay(way, 64, seed).run() for seed in (23, 24)] for way in WAYS}
    right = {name: sum(p["windows_right"] for p in plays) / 2 for name, plays in figures.items()}
    assert right["to the log, as its rate allows"] > right["to the log, at the window's end"]
    assert right["to the log, as its rate allows"] >= right["to the log, after a pause"]
