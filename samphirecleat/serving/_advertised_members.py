"""Which nodes callers are told to use: all of a small fleet, a part of a large one.

Load pattern answered: some dozen calls a second over some dozen nodes. Spread over all of them
each node has a call every few seconds, its connections to targets are closed as idle in
between, and nearly every call pays for a new one. Fewer entries keep their connections warm.
"""

import hashlib
import math
from collections.abc import Sequence
from typing import Final

from .._strong_hosts import strong_from_cores
from ..blackboard import Member

# Fleets up to this size offer every node, so that a lost one costs few callers.
OFFERED_AT_LEAST: Final = 16
# Of a larger fleet this share is offered. At 390 nodes and 3,100 calls a second that makes 32
# calls a second a node, a small part of what one serves.
OFFERED_SHARE: Final = 0.25


def advertised_members(members: Sequence[Member]) -> Sequence[Member]:
    """Return the nodes to offer, spread evenly over the availability zones.

    All nodes that know the same members choose the same ones: strong hosts first, then by a
    hash of the name, so that a node that comes or goes changes one entry and no other.
    """
    wanted = max(OFFERED_AT_LEAST, math.ceil(len(members) * OFFERED_SHARE))
    if len(members) <= wanted:
        return members
    strong_cores = strong_from_cores(member.cores for member in members)

    def rank(member: Member) -> tuple[bool, bytes]:
        weak = member.cores < strong_cores
        return weak, hashlib.blake2b(member.node_id.encode(), digest_size=8).digest()

    by_zone: dict[str, list[Member]] = {}
    for member in sorted(members, key=rank):
        by_zone.setdefault(member.zone, []).append(member)
    offered: list[Member] = []
    turn = 0
    while len(offered) < wanted:
        offered.extend(zone[turn] for zone in by_zone.values() if turn < len(zone))
        turn += 1
    return offered
