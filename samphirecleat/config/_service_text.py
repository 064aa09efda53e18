"""The types of a validated service text."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple


class ServiceKind(Enum):
    """The kind of backend that serves a service."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORING = "scoring"


class TargetAddress(NamedTuple):
    """The address and availability zone of one target of a service."""

    address: str
    zone: str


class Method(NamedTuple):
    """A method of a service; ``max_s`` caps the deadline of its calls, in seconds."""

    name: str
    idempotent: bool
    max_s: float


class Service(NamedTuple):
    """One service of a service text.

    ``staleness_weight`` ranges from 0.0 (only trainer idle time counts) to 1.0
    (only staleness counts). ``max_swapping_share`` limits the share of the service's
    targets that load new weights at the same time. If ``targets`` is empty, they are
    discovered through the host list.
    """

    name: str
    kind: ServiceKind
    depends_on: Sequence[str]
    targets: Sequence[TargetAddress]
    methods: Mapping[str, Method]
    capacity_per_target: int
    checks_fencing: bool
    refusal_is_not_run: bool
    staleness_bound: int
    staleness_weight: float
    max_swapping_share: float
    caller_share: float


class Trainer(NamedTuple):
    """A trainer, the service that generates its samples, and its fair-share weight."""

    name: str
    service: str
    share: float


class ServiceText(NamedTuple):
    """A validated service text."""

    services: Mapping[str, Service]
    trainers: Mapping[str, Trainer]


EMPTY_SERVICE_TEXT = ServiceText({}, {})
