"""What the operators' service text says, as typed data."""

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import NamedTuple


class ServiceKind(Enum):
    """What stands behind a service."""

    ENGINE = "engine"
    PLAIN = "plain"
    SCORING = "scoring"


class TargetAddress(NamedTuple):
    """Where one target of a service listens."""

    address: str
    zone: str


class Method(NamedTuple):
    """One call that a service offers."""

    name: str
    idempotent: bool
    max_s: float


class Service(NamedTuple):
    """One service of the text.

    ``staleness_weight`` runs from 0.0 (only trainer idle time counts) to 1.0
    (only staleness counts). ``max_swapping_share`` bounds the share of the
    service's targets that load new weights at one time. An empty ``targets``
    means that they are found in the host list.
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
    """One trainer, the service that makes its samples, and its fair share."""

    name: str
    service: str
    share: float


class ServiceText(NamedTuple):
    """A whole service text that has been checked."""

    services: Mapping[str, Service]
    trainers: Mapping[str, Trainer]


EMPTY_SERVICE_TEXT = ServiceText({}, {})
