"""Ways to the store: which are tried, in which order."""

import random

import pytest

from samphirecleat.platform._store_ways import PEER_REST_S, PEERS_TRIED, StoreWays, Way

PEERS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"]


def relay(peer: str) -> Way:
    return Way(f"http://{peer}", "/relay")


def ways_to(peers: list[str]) -> StoreWays:
    return StoreWays("10.9.9.9:1", lambda: peers, random.Random(1))


def test_a_store_that_answers_is_called_directly() -> None:
    ways = ways_to(PEERS)
    assert ways.first(0.0) == [ways.direct]


@pytest.mark.parametrize(("peers", "tried"), [(PEERS, PEERS_TRIED), (PEERS[:1], 1)])
def test_after_a_failure_some_peers_are_asked(peers: list[str], tried: int) -> None:
    ways = ways_to(peers)
    ways.record_result(ways.direct, 0.0, works=False)
    assert len(ways.first(0.0)) == tried
    assert not any(way.is_direct for way in ways.first(0.0))


def test_a_node_without_peers_goes_on_trying_the_store() -> None:
    ways = ways_to([])
    ways.record_result(ways.direct, 0.0, works=False)
    assert ways.first(0.0) == [ways.direct]


def test_the_peer_that_worked_last_is_asked_first() -> None:
    ways = ways_to(PEERS)
    ways.record_result(ways.direct, 0.0, works=False)
    for peer in PEERS:
        ways.record_result(relay(peer), 0.0, works=True)
        assert [ways.first(at / 10)[0] for at in range(9)] == [relay(peer)] * 9


def test_a_peer_without_an_answer_is_passed_over_for_a_while() -> None:
    """A partition keeps some peers from the store as it does this node.

    Asked again each time, they would cost a call its patience each.
    """
    ways = ways_to(PEERS)
    ways.record_result(ways.direct, 0.0, works=False)
    for peer in PEERS[:3]:
        ways.record_result(relay(peer), 0.0, works=False)
    assert ways.first(PEER_REST_S / 2) == [relay(PEERS[3])]
    assert len(ways.first(PEER_REST_S)) == PEERS_TRIED
