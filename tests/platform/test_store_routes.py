"""Which routes to the store are tried, and in which order."""

import random

import pytest

from samphirecleat.platform._store_routes import (
    MAX_PEERS_TRIED,
    PEER_SKIP_S,
    StoreRoute,
    StoreRoutes,
)

PEERS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"]


def via_peer(peer: str) -> StoreRoute:
    return StoreRoute(f"http://{peer}", "/relay")


def routes_to(peers: list[str]) -> StoreRoutes:
    return StoreRoutes("10.9.9.9:1", lambda: peers, random.Random(1))


def test_the_direct_route_is_used_while_it_succeeds() -> None:
    routes = routes_to(PEERS)
    assert routes.candidates(0.0) == [routes.direct]


@pytest.mark.parametrize(("peers", "tried"), [(PEERS, MAX_PEERS_TRIED), (PEERS[:1], 1)])
def test_a_failed_direct_call_is_followed_by_some_peers(peers: list[str], tried: int) -> None:
    routes = routes_to(peers)
    routes.record_result(routes.direct, 0.0, ok=False)
    assert len(routes.candidates(0.0)) == tried
    assert not any(route.is_direct for route in routes.candidates(0.0))


def test_without_peers_the_direct_route_is_still_tried() -> None:
    routes = routes_to([])
    routes.record_result(routes.direct, 0.0, ok=False)
    assert routes.candidates(0.0) == [routes.direct]


def test_the_last_successful_peer_is_tried_first() -> None:
    routes = routes_to(PEERS)
    routes.record_result(routes.direct, 0.0, ok=False)
    for peer in PEERS:
        routes.record_result(via_peer(peer), 0.0, ok=True)
        assert [routes.candidates(at / 10)[0] for at in range(9)] == [via_peer(peer)] * 9


def test_a_failed_peer_is_skipped_for_a_while() -> None:
    """Guards against retries of peers in the same partition: each one costs a call its timeout."""
    routes = routes_to(PEERS)
    routes.record_result(routes.direct, 0.0, ok=False)
    for peer in PEERS[:3]:
        routes.record_result(via_peer(peer), 0.0, ok=False)
    assert routes.candidates(PEER_SKIP_S / 2) == [via_peer(PEERS[3])]
    assert len(routes.candidates(PEER_SKIP_S)) == MAX_PEERS_TRIED
