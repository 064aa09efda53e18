"""Election of the node that runs a service, by claims in the step log.

Claims only avoid duplicate work. If two nodes run a step, the fold accepts the first result of each
item, and orders carry the claim's offset as fencing number. Claims therefore need no lease, and an
incorrect membership view costs only a little repeated work.
"""

from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

from .._strong_hosts import strong_host_min_cores
from ._fold import Claim

# A node that sees less than half of the known members may itself be partitioned. It claims only
# after the runner has been silent for this long, in which any other node would have been noticed.
MINORITY_DELAY_S: Final = 4.0
# Minimum time between a node's own claims of a service, so that two nodes that can't see each other
# do not alternate rapidly.
CLAIM_PAUSE_S: Final = 2.5
# A new claim may be by a node that this one does not know yet; a starting node learns of the others
# within two heartbeats.
SETTLE_S: Final = 0.6
# Processes whose start times differ by less than this count as equally new.
SAME_AGE_MS: Final = 1500


class Candidate(NamedTuple):
    """A live node that could run a service; ``cores`` is its processor limit."""

    node_id: str
    incarnation: str
    started_at_ms: int
    cores: float = 1.0


class ElectionView(NamedTuple):
    """The local state on which one node decides; ages are in seconds.

    ``candidates`` are the nodes that are ready and not leaving, including this one if it qualifies.
    ``runner_silent_s`` is the time since the log last received a write of the current runner.
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
    """Return the candidates in order of preference, best first.

    1. Nodes on strong hosts: a runner handles every event of a service's engines, which overloads
       the smallest hosts of a mixed fleet.
    2. A new process of the node that ran the service last: it may send orders without a wait.
    3. The newest processes: in a rolling restart they are not restarted next.

    Node IDs break ties.
    """
    strong_cores = strong_host_min_cores(candidate.cores for candidate in candidates)
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
    seen = len(view.candidates)
    if 2 * seen < view.known_members and view.runner_silent_s < MINORITY_DELAY_S:
        return False
    order = ranked(view.candidates, claim.node_id if claim is not None else "")
    return bool(order) and order[0].incarnation == view.own_incarnation


def successor(candidates: Sequence[Candidate], own_incarnation: str) -> Candidate | None:
    """Return the node that takes over from a leaving runner, or None without another node."""
    for candidate in ranked(candidates):
        if candidate.incarnation != own_incarnation:
            return candidate
    return None
