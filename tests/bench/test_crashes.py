"""Crash evidence shared between nodes: bound on crashed targets, and no false refusals."""

import pytest

from samphirecleat.bench import _blame
from samphirecleat.bench._blame import RULES, BlameReplay
from samphirecleat.bench._crashes import VARIANTS, CrashReplay

MAX_RUNS_SENT_ON = 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("nodes", [9, 64])
def test_shared_evidence_bounds_the_targets_a_request_ends(nodes: int, seed: int) -> None:
    """Guards against a repeated request that crashes targets at one node after another.

    It comes back every five seconds at other nodes. Without shared evidence each node lets it end
    as many targets as its route allows; asking peers before a second attempt is too late for the
    first one.
    """
    sent_on = {
        variant.name: CrashReplay(variant, nodes, seed).run()["sent_on"] for variant in VARIANTS
    }
    assert sent_on["heartbeats and log"] <= MAX_RUNS_SENT_ON
    assert sent_on["heartbeats"] <= MAX_RUNS_SENT_ON
    assert sent_on["own ends only"] > MAX_RUNS_SENT_ON


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("nodes", [9, 64])
def test_the_bound_holds_for_two_requests_that_arrive_together(nodes: int, seed: int) -> None:
    """Two requests that crash targets arrive at the same times, at nodes drawn at random."""
    assert CrashReplay(VARIANTS[0], nodes, seed, requests=2).run()["sent_on"] <= MAX_RUNS_SENT_ON


def test_no_call_is_refused_when_crashes_have_other_causes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against false refusals when zones or all targets of a service are lost.

    A rule that only counts ends refused the most popular requests from then on.
    """
    monkeypatch.setattr(_blame, "DURATION_S", 600.0)
    refused = {rule.name: BlameReplay(rule, 31).run()["requests_refused"] for rule in RULES}
    assert refused["the ledger"] == 0
    assert refused["three ends"] > 0
