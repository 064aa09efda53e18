"""The blackboard: the state of one node, in sections that each have a single writer.

Controllers read any section and write only their own. All sections are used from one
event loop on one thread, so no locks are needed. Records are immutable and are
replaced as a whole.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .config import ConfigState, Service


class Identity(NamedTuple):
    """The identity of this process; ``incarnation`` is new at every process start."""

    node_id: str
    incarnation: str
    zone: str
    http_address: str
    peer_address: str


class Member(NamedTuple):
    """The row that a node publishes about itself in its heartbeats.

    ``sequence`` increases with every change of the row, so that the newer of two rows of
    one incarnation can be told. ``key_epoch_age_ms`` is the time since the start of the
    node's key epoch when it made the row. ``cores`` is the processor time available to
    the node's host, in seconds per second. ``time_of_day_ms`` is the host's wall clock
    when it made the row, 0 where it is not used.
    """

    node_id: str
    incarnation: str
    started_at_ms: int
    zone: str
    http_address: str
    peer_address: str
    sequence: int
    leaving: bool
    ready: bool
    config_revision: int
    key_epoch: int
    in_flight: int
    reads_log: bool = True
    key_epoch_age_ms: int = 0
    cores: float = 1.0
    time_of_day_ms: int = 0


class MemberView(NamedTuple):
    """A member's row, and when the member made it, on this node's clock.

    The row may have been relayed by other nodes.
    """

    member: Member
    heard_at_s: float
    alive: bool

    def key_epoch_at(self, now_s: float, epoch_s: float) -> int:
        """Return the key epoch that the member has reached by now.

        In a large fleet a row is several seconds old, and a key made with an old epoch would
        expire early. Transit time of the row is not counted, so the result never runs ahead
        of the member itself.
        """
        age_s = self.member.key_epoch_age_ms / 1000.0 + max(0.0, now_s - self.heard_at_s)
        return self.member.key_epoch + int(age_s / epoch_s)


class TargetView(NamedTuple):
    """The latest known state of one target.

    ``version`` is the weight version reported by the target, -1 for a plain service.
    ``reported_at_s`` is this node's clock at the report, less the report's own age.
    ``reachable`` is false once the target stops answering. ``heard_at_s`` is this node's
    clock when any node last polled it.
    """

    address: str
    service: str
    zone: str
    instance: str = ""
    version: int = -1
    loading: bool = False
    leaving: bool = False
    running: int = 0
    waiting: int = 0
    slots: int = 1
    reported_at_s: float = 0.0
    reachable: bool = False
    heard_at_s: float = math.inf

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to the target."""
        return self.reachable and not self.leaving and not self.loading


class DisprovedVersion(NamedTuple):
    """A version reported by a target whose streamed tokens come from an older one."""

    instance: str
    reported: int
    streamed: int
    seen_at_s: float


class LeaseView(NamedTuple):
    """A lease as folded from the log; ``epoch`` is the fencing number of its orders.

    While it is not ``settled``, records were missed: ``holder`` may be wrong, and
    ``last_offset`` is the latest record that might count.
    """

    name: str
    holder: str
    epoch: int
    last_offset: int
    settled: bool = True


class WeightsView(NamedTuple):
    """The newest weights of a service, as this node last read them from the store."""

    latest_version: int
    parallel_loads: int
    first_seen_at_s: float
    everywhere_at_s: float


@dataclass
class Blackboard:
    """The state of one node; the comment above each section names its writer."""

    identity: Identity

    # Written by controllers.configuration.
    config: ConfigState = field(default_factory=ConfigState)

    # Written by controllers.membership.
    members: dict[str, MemberView] = field(default_factory=dict)
    listed_nodes: Sequence[str] = ()
    # When the host list was last read, or fetched from a peer.
    listed_at_s: float = -math.inf
    listed_targets: Mapping[str, tuple[str, str, bool]] = field(default_factory=dict)

    # Written by controllers.targets.
    targets: dict[str, TargetView] = field(default_factory=dict)
    # When the last complete polling round began.
    targets_polled_at_s: float = math.inf

    # Written by controllers.steps.
    disproved_versions: dict[str, DisprovedVersion] = field(default_factory=dict)

    # Written by controllers.weights.
    leases: dict[str, LeaseView] = field(default_factory=dict)
    weights: dict[str, WeightsView] = field(default_factory=dict)

    # Written by controllers.steps: trainers with steps at this node, by service.
    active_trainers: Mapping[str, frozenset[str]] = field(default_factory=dict)

    # Written by controllers.admission: this node's calls in flight, by target address.
    in_flight: Counter[str] = field(default_factory=Counter)

    # Written by entry: refused requests, by error kind.
    refusals: Counter[str] = field(default_factory=Counter)

    # Written by requests.
    key_epoch: int = 0

    # Written by controllers.membership.
    leaving: bool = False
    accepting: bool = True

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this node: it has a configuration and is not leaving."""
        return self.config.revision >= 0 and not self.leaving

    def service(self, name: str) -> Service | None:
        """Return a service of the configuration in force, or None."""
        return self.config.services.services.get(name)

    def targets_of(self, service: str) -> Sequence[TargetView]:
        """Return the known targets of a service."""
        return [target for target in self.targets.values() if target.service == service]

    def live_members(self) -> Sequence[Member]:
        """Return the members considered alive, including this node."""
        return [view.member for view in self.members.values() if view.alive]
