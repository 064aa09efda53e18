"""Selects the nodes that are advertised to callers: all of a small fleet, part of a large one.

If a few dozen calls per second are spread over a few dozen nodes, each node gets one call every few
seconds. Its targets then close its connections as idle between calls, and nearly every call opens a
new one. With fewer advertised nodes, connections stay in use.
"""

import hashlib
import math
from collections.abc import Sequence
from typing import Final

from .._strong_hosts import strong_host_min_cores
from ..blackboard import Member

# Fleets up to this size advertise every node, so that losing one affects few callers.
MIN_ADVERTISED: Final = 16
# Share of a larger fleet that is advertised. With 390 nodes and 3,100 calls per second, each
# advertised node gets 32 calls per second, a small part of its capacity.
ADVERTISED_SHARE: Final = 0.25


def advertised_members(members: Sequence[Member]) -> Sequence[Member]:
    """Return the nodes to advertise, spread evenly over the availability zones.

    The selection depends only on the membership: strong hosts come first, then nodes are ordered by
    a hash of their name. A node that joins or leaves therefore changes one entry only.
    """
    wanted = max(MIN_ADVERTISED, math.ceil(len(members) * ADVERTISED_SHARE))
    if len(members) <= wanted:
        return members
    strong_cores = strong_host_min_cores(member.cores for member in members)

    def rank(member: Member) -> tuple[bool, bytes]:
        weak = member.cores < strong_cores
        return weak, hashlib.blake2b(member.node_id.encode(), digest_size=8).digest()

    by_zone: dict[str, list[Member]] = {}
    for member in sorted(members, key=rank):
        by_zone.setdefault(member.zone, []).append(member)
    advertised: list[Member] = []
    position = 0
    while len(advertised) < wanted:
        advertised.extend(
            zone_members[position]
            for zone_members in by_zone.values()
            if position < len(zone_members)
        )
        position += 1
    return advertised
