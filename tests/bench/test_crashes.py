"""What the shared evidence on requests that end their targets gains, and whom it spares."""

import pytest

from samphirecleat.bench import _blame
from samphirecleat.bench._blame import RULES, BlameReplay
from samphirecleat.bench._crashes import WAYS, CrashReplay

ALLOWED = 3


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("nodes", [9, 64])
def test_nodes_that_share_what_they_see_keep_a_request_from_ending_more(
    nodes: int, seed: int
) -> None:
    """A request comes back every five seconds at other nodes.

    Without a word between them each node lets it end as many targets as its route allows, and a
    question before each second attempt comes too late for the first.
    """
    sent_on = {way.name: CrashReplay(way, nodes, seed).run()["sent_on"] for way in WAYS}
    assert sent_on["heartbeats and log"] <= ALLOWED
    assert sent_on["heartbeats"] <= ALLOWED
    assert sent_on["own ends only"] > ALLOWED


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("nodes", [9, 64])
def test_requests_that_blur_each_others_ends_keep_to_the_bound_too(nodes: int, seed: int) -> None:
    """Two requests that end their targets come at the same moments, at nodes drawn at random."""
    assert CrashReplay(WAYS[0], nodes, seed, requests=2).run()["sent_on"] <= ALLOWED


def test_an_hour_of_crashes_and_lost_zones_has_no_call_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Zones and whole services go under calls of which none is to blame.

    By a count of ends alone, the most popular requests were refused from then on.
    """
    monkeypatch.setattr(_blame, "HOUR_S", 600.0)
    refused = {rule.name: BlameReplay(rule, 31).run()["requests_refused"] for rule in RULES}
    assert refused["the ledger"] == 0
    assert refused["three ends"] > 0
