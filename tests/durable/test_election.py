"""Tests of the election of a service's runner."""

import pytest

from samphirecleat.durable import Claim
from samphirecleat.durable._election import Candidate, ElectionView, ranked, should_claim, successor

OWN = Candidate("n1", "own", 10_000)
OTHER = Candidate("n2", "other", 10_000)
VIEW = ElectionView("own", [OWN, OTHER], 2, None, {"own", "other"}, 1e9, 1e9, 1e9, 10.0)
DEAD = Claim("n3", "dead", 7)


@pytest.mark.parametrize(
    ("changes", "want"),
    [
        ({}, True),
        ({"uptime_s": 0.1}, False),
        ({"own_claim_age_s": 0.5}, False),
        ({"claim": Claim("n2", "other", 7)}, False),
        ({"claim": DEAD}, True),
        ({"claim": DEAD, "claim_age_s": 0.2}, False),
        ({"claim": Claim("n2", "dead", 7)}, False),
        ({"claim": Claim("n1", "dead", 7), "candidates": [OTHER, OWN]}, True),
        ({"own_incarnation": "other"}, False),
        ({"candidates": []}, False),
        ({"known_members": 9, "runner_silent_s": 1.0}, False),
        ({"known_members": 9, "runner_silent_s": 5.0}, True),
    ],
    ids=[
        "no runner",
        "just started",
        "claimed recently",
        "runner alive",
        "runner gone",
        "claim is recent",
        "host of the runner restarted",
        "own host restarted",
        "another candidate ranks first",
        "no candidate is ready",
        "minority, runner writes",
        "minority, runner silent",
    ],
)
def test_should_claim(changes: dict[str, object], want: bool) -> None:
    assert should_claim(VIEW._replace(**changes)) is want  # type: ignore[arg-type]


def test_a_restarted_process_ranks_before_those_not_restarted_yet() -> None:
    young = Candidate("n9", "young", 30_000)
    assert [c.node_id for c in ranked([OWN, young, OTHER])] == ["n9", "n1", "n2"]
    assert [c.node_id for c in ranked([OWN, young, OTHER], "n2")] == ["n2", "n9", "n1"]


def test_a_strong_host_ranks_before_a_weak_one_that_ran_the_service() -> None:
    """A fleet of mixed hosts restarts, and the previous runner has half a core.

    It would handle engine events later than they are generated, and every step would be late.
    """
    weak = Candidate("n0", "weak", 10_000, 0.5)
    strong = Candidate("n8", "strong", 10_000, 2.1)
    nearly = Candidate("n7", "nearly", 10_000, 1.9)
    order = [c.node_id for c in ranked([weak, strong, nearly], "n0")]
    assert order == ["n7", "n8", "n0"]
    assert successor([weak, strong, nearly], "nearly") == strong


def test_a_leaving_runner_chooses_another_node() -> None:
    assert successor([OWN, OTHER], "own") == OTHER
    assert successor([OWN], "own") is None
