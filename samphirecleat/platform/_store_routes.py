"""Choice of the route of a call to the store: direct, or through a peer that reaches the store.

Failure scenario: for some seconds the store doesn't respond to some of the nodes, or a network
partition separates a node from it. Every call that tries the failed route first waits for its
timeout, and so do the results of a runner. Therefore only a probe uses the direct route after a
failure, until it succeeds again, and the peer that answered last is tried first.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

# Path prefix of calls that a peer forwards to the store. The peer sends them only directly, never
# through a further peer.
RELAY_PREFIX: Final = "/relay"
MAX_PEERS_TRIED: Final = 2
# A peer that failed is skipped for this long; it may be partitioned from the store as well.
PEER_SKIP_S: Final = 2.0


class StoreRoute(NamedTuple):
    """A base URL and the prefix of the call's path there."""

    base: str
    prefix: str

    @property
    def is_direct(self) -> bool:
        """Whether calls go to the store itself and not to a peer."""
        return not self.prefix


class StoreRoutes:
    """The routes of one node to the store, and the result of the last call on each."""

    def __init__(
        self, address: str, peers: Callable[[], Sequence[str]], rng: random.Random
    ) -> None:
        """Use ``address`` directly at first; ``peers`` returns control addresses."""
        self._peers = peers
        self._rng = rng
        self.direct = StoreRoute(f"http://{address}", "")
        self.direct_ok = True
        self._last_good_peer: StoreRoute | None = None
        self._skipped_until_s: dict[StoreRoute, float] = {}

    def set_address(self, address: str) -> None:
        """Use the store at another address from now on."""
        self.direct = StoreRoute(f"http://{address}", "")

    def candidates(self, now_s: float) -> Sequence[StoreRoute]:
        """Return the routes to try, in order.

        Reads the list of nodes, which may be hundreds, only if the direct route fails.
        """
        if self.direct_ok:
            return [self.direct]
        return self.via_peers(now_s) or [self.direct]

    def via_peers(self, now_s: float) -> Sequence[StoreRoute]:
        """Return up to ``MAX_PEERS_TRIED`` routes through peers, the last successful one first."""
        routes = [StoreRoute(f"http://{peer}", RELAY_PREFIX) for peer in self._peers()]
        available = [route for route in routes if self._skipped_until_s.get(route, 0.0) <= now_s]
        chosen = self._rng.sample(available, min(MAX_PEERS_TRIED, len(available)))
        if self._last_good_peer in available:
            others = [route for route in chosen if route != self._last_good_peer]
            chosen = [self._last_good_peer, *others][:MAX_PEERS_TRIED]
        return chosen

    def record_result(self, route: StoreRoute, now_s: float, *, ok: bool) -> None:
        """Record whether a call over ``route`` succeeded."""
        if route.is_direct:
            self.direct_ok = ok
        elif ok:
            self._last_good_peer = route
            self._skipped_until_s.pop(route, None)
        else:
            self._skipped_until_s[route] = now_s + PEER_SKIP_S
            if self._last_good_peer == route:
                self._last_good_peer = None
