"""The blackboard: what one node knows, in sections that each have a single writer.

Controllers read any section and write only their own. All of it lives on one
loop on one thread, so that no section needs a lock. Records are immutable and
are replaced whole.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from .config import ConfigState, Service


class Identity(NamedTuple):
    """Who this process is. The incarnation is new at every start of a process."""

    node_id: str
    incarnation: str
    zone: str
    http_address: str
    peer_address: str


class Member(NamedTuple):
    """What a node says of itself in its heartbeats.

    ``sequence`` rises with every change that the node makes to its own row, so
    that of two rows of one incarnation the newer can be told. ``key_epoch_age_ms``
    is how far the node was into its key epoch when it made the row. ``cores`` is the
    processor time that its host gives it, in seconds a second. ``time_of_day_ms`` is what its
    host took for the time of day when it made the row, 0 where nobody asks.
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
    """A member, and when it made this row, on this node's clock.

    The row may have come by way of other nodes.
    """

    member: Member
    heard_at_s: float
    alive: bool

    def key_epoch_at(self, now_s: float, epoch_s: float) -> int:
        """Return the key epoch that the member has reached by now.

        In a large fleet a row is several seconds old, and a key made from an old
        epoch would expire early. Time that the row spent on its way is not counted,
        so the result never runs ahead of the member itself.
        """
        age_s = self.member.key_epoch_age_ms / 1000.0 + max(0.0, now_s - self.heard_at_s)
        return self.member.key_epoch + int(age_s / epoch_s)


class TargetView(NamedTuple):
    """The latest that this node knows of one target.

    ``version`` is what the target itself reported, -1 for a plain service.
    ``reported_at_s`` is this node's clock at the report, less the report's own
    age. ``reachable`` turns false when the target gives no answer. ``heard_at_s`` is
    this node's clock when some node last asked it.
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
        """Whether new work may be sent to it."""
        return self.reachable and not self.leaving and not self.loading


class DisprovedVersion(NamedTuple):
    """A version that a target reports while its tokens come of an older one."""

    instance: str
    reported: int
    streamed: int
    seen_at_s: float


class LeaseView(NamedTuple):
    """A lease as folded from the log; ``epoch`` is the fencing number of its orders.

    While it is not ``settled``, records were missed: the holder is a guess, and
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
    """All that one node knows; the comment behind each section names its writer."""

    identity: Identity
    config: ConfigState = field(default_factory=ConfigState)  # controllers.configuration
    members: dict[str, MemberView] = field(default_factory=dict)  # controllers.membership
    listed_nodes: Sequence[str] = ()  # controllers.membership
    listed_at_s: float = -math.inf  # discovery: when the list was read, or told by a peer
    listed_targets: Mapping[str, tuple[str, str, bool]] = field(default_factory=dict)  # discovery
    targets: dict[str, TargetView] = field(default_factory=dict)  # controllers.targets
    targets_polled_at_s: float = math.inf  # target_watch: when its last whole round began
    disproved_versions: dict[str, DisprovedVersion] = field(
        default_factory=dict
    )  # controllers.steps
    leases: dict[str, LeaseView] = field(default_factory=dict)  # controllers.weights
    weights: dict[str, WeightsView] = field(default_factory=dict)  # controllers.weights
    active_trainers: Mapping[str, frozenset[str]] = field(default_factory=dict)  # step_runner
    in_flight: Counter[str] = field(default_factory=Counter)  # requests.dispatcher, by target
    refusals: Counter[str] = field(default_factory=Counter)  # entry, by error kind
    key_epoch: int = 0  # requests.key_book
    leaving: bool = False  # controllers.membership
    accepting: bool = True  # controllers.membership

    @property
    def ready(self) -> bool:
        """Whether this node may be handed to callers: it holds a text and stays."""
        return self.config.revision >= 0 and not self.leaving

    def service(self, name: str) -> Service | None:
        """Return a service of the text in force, or None."""
        return self.config.services.services.get(name)

    def targets_of(self, service: str) -> Sequence[TargetView]:
        """Return what is known of the targets of a service."""
        return [target for target in self.targets.values() if target.service == service]

    def live_members(self) -> Sequence[Member]:
        """Return the members that this node takes for alive, itself included."""
        return [view.member for view in self.members.values() if view.alive]
