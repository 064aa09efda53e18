"""Who runs a service's steps and gives its orders: decided by claims in the step log.

A claim only saves work. Two nodes that both run a step double nothing (the fold takes the
first result), and orders carry the claim's offset as fencing number. So a claim needs no
lease, and a wrong view of the members costs a little work.
"""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from .._strong_hosts import strong_from_cores
from ._fold import Claim

# A node that hears of less than half of those it knew may itself be the one that is cut
# off; it claims only after this long, in which the others would have shown themselves.
MINORITY_DELAY_S: Final = 4.0
# After a claim of its own a node waits this long before it claims the service again, so
# that two nodes that can't hear each other do not take turns in a hurry.
CLAIM_PAUSE_S: Final = 2.5
# A claim that was just made may be by a node that this one has not heard of yet, and a
# node that has just started hears of the others within two heartbeats.
SETTLE_S: Final = 0.6
# Processes that started within this long of each other count as equally new.
SAME_AGE_MS: Final = 1500


class Candidate(NamedTuple):
    """A live node that could run a service; ``cores`` is the processor time it may use."""

    node_id: str
    incarnation: str
    started_at_ms: int
    cores: float = 1.0


class ElectionView(NamedTuple):
    """What one node knows when it decides; times are seconds ago.

    ``candidates`` are ready and stay, this node among them if it does.
    ``runner_silent_s`` is how long the present runner was not heard of, in any way.
    """

    own_incarnation: str
    candidates: Sequence[Candidate]
    known_members: int
    claim: Claim | None
    alive_incarnations: Collection[str]
    runner_silent_s: float
    claim_age_s: float
    own_claim_age_s: float
    uptime_s: float


def ranked(candidates: Sequence[Candidate], last_node_id: str = "") -> Sequence[Candidate]:
    """Return the candidates, the one that should claim first in front.

    Nodes on strong hosts come first: a runner takes every event of a service's engines, which
    is more than the smallest host of a mixed fleet has time for. Then a new process of the
    node that ran the service last: its host needs no wait before it gives orders again. Then
    the newest processes: when nodes are restarted in turn, they are not restarted next. Names
    break the tie.
    """
    strong_cores = strong_from_cores(candidate.cores for candidate in candidates)
    newest_ms = max((candidate.started_at_ms for candidate in candidates), default=0)

    def rank(candidate: Candidate) -> tuple[bool, bool, bool, str]:
        weak = candidate.cores < strong_cores
        older = newest_ms - candidate.started_at_ms > SAME_AGE_MS
        return (weak, candidate.node_id != last_node_id, older, candidate.node_id)

    return sorted(candidates, key=rank)


def should_claim(view: ElectionView) -> bool:
    """Return whether this node should claim the service now."""
    if view.uptime_s < SETTLE_S or view.own_claim_age_s < CLAIM_PAUSE_S:
        return False
    claim = view.claim
    if claim is not None:
        if claim.incarnation in view.alive_incarnations:
            return False
        if view.claim_age_s < SETTLE_S:
            return False
    heard = len(view.candidates)
    if 2 * heard < view.known_members and view.runner_silent_s < MINORITY_DELAY_S:
        return False
    order = ranked(view.candidates, claim.node_id if claim is not None else "")
    return bool(order) and order[0].incarnation == view.own_incarnation


def successor(candidates: Sequence[Candidate], own_incarnation: str) -> Candidate | None:
    """Return who takes over from a runner that leaves, or None if nobody is there."""
    for candidate in ranked(candidates):
        if candidate.incarnation != own_incarnation:
            return candidate
    return None
