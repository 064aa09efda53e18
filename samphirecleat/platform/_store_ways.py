"""Which way a call to the store takes: directly, or through a peer that reaches it.

Load pattern answered: the store falls silent for a part of the nodes, or a partition keeps one
from it, for seconds. Every call that tries the dead way first waits until its patience ends, and
a runner's results wait with it. So a way that failed is left to a probe until it works again, and
the peer that worked last is asked first.
"""

import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

# Where a peer passes a call on to the store, and what keeps it from doing so twice.
RELAY_PREFIX: Final = "/relay"
PEERS_TRIED: Final = 2
# A peer that had no answer is passed over this long; it may be cut off as this node is.
PEER_REST_S: Final = 2.0


class Way(NamedTuple):
    """The base of a URL, and what stands before the call's path there."""

    base: str
    prefix: str

    @property
    def is_direct(self) -> bool:
        """Whether no peer stands between."""
        return not self.prefix


class StoreWays:
    """The ways of one node to the store, and which of them work."""

    def __init__(
        self, address: str, peers: Callable[[], Sequence[str]], rng: random.Random
    ) -> None:
        """Start with the direct way to ``address``; ``peers`` gives control addresses."""
        self._peers = peers
        self._rng = rng
        self.direct = Way(f"http://{address}", "")
        self.direct_works = True
        self._good_peer: Way | None = None
        self._rests_until_s: dict[Way, float] = {}

    def move(self, address: str) -> None:
        """Find the store at another address from now on."""
        self.direct = Way(f"http://{address}", "")

    def first(self, now_s: float) -> Sequence[Way]:
        """Return the ways to try, best first.

        The list of all nodes, which may be hundreds, is looked at only when it is needed.
        """
        if self.direct_works:
            return [self.direct]
        return self.through_peers(now_s) or [self.direct]

    def through_peers(self, now_s: float) -> Sequence[Way]:
        """Return some ways through peers, the one that worked last in front."""
        ways = [Way(f"http://{peer}", RELAY_PREFIX) for peer in self._peers()]
        rested = [way for way in ways if self._rests_until_s.get(way, 0.0) <= now_s]
        drawn = self._rng.sample(rested, min(PEERS_TRIED, len(rested)))
        if self._good_peer in rested:
            others = [way for way in drawn if way != self._good_peer]
            drawn = [self._good_peer, *others][:PEERS_TRIED]
        return drawn

    def record_result(self, way: Way, now_s: float, *, works: bool) -> None:
        """Record whether a call worked."""
        if way.is_direct:
            self.direct_works = works
        elif works:
            self._good_peer = way
            self._rests_until_s.pop(way, None)
        else:
            self._rests_until_s[way] = now_s + PEER_REST_S
            if self._good_peer == way:
                self._good_peer = None
