"""What a fleet on a platform serves: routes, services, targets, calls and their answers."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..errors import Ran


class CallKind(Enum):
    """What may be done with a call of a route after a first attempt."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    KEYED = "keyed"
    STREAMING = "streaming"
    BATCH = "batch"
    ROLLOUT = "rollout"


class WeightedService(NamedTuple):
    """A service that a route may use, and its share among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration in force.

    ``timeout_s`` is the longest that a call is kept waiting; 0 is no bound.
    ``max_attempts`` counts targets, per attempt of the caller.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: Sequence[WeightedService]
    timeout_s: float = 0.0
    objective_s: float = 1.0
    max_attempts: int = 1
    priority: int = 5
    resumable: bool = False
    result_deadline_s: float = 0.0
    retention_s: float = 0.0
    single_version: bool = False
    allows_anonymous: bool = False


class Workspace(NamedTuple):
    """A workspace of the configuration and the keys that its callers may bring.

    ``priority`` goes before that of a route, 0 first; None leaves the route's.
    """

    name: str
    keys: Sequence[str]
    priority: int | None = None


class ScalingSpec(NamedTuple):
    """How many targets of a service may be ordered in each availability zone, and their prices.

    The bounds hold for each zone and for both kinds of targets together. ``zone_prices`` and
    ``spot_price`` are parts of the price of an ordinary target; 0.0 is no spot targets.
    """

    minimum: int
    maximum: int
    boot_s: float
    zone_prices: Mapping[str, float]
    spot_price: float = 0.0


class EngineSpec(NamedTuple):
    """What the configuration says of a service of model engines.

    Each event of a stream holds ``tokens_per_event`` tokens.
    """

    slots: int
    memory_tokens: int
    models: Sequence[str]
    tokens_per_event: int = 1


class ServiceSpec(NamedTuple):
    """A service of the configuration; ``engine`` is None for a plain one."""

    name: str
    health_path: str
    connection_cap: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfig(NamedTuple):
    """A whole configuration; a higher ``revision`` replaces a lower one.

    Callers bring a key of a workspace only where it ``requires_keys``: a configuration with an
    empty list of workspaces serves nobody but the callers of anonymous routes.
    """

    revision: int
    routes: Sequence[Route]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    workspaces: Sequence[Workspace] = ()
    requires_keys: bool = False


class Target(NamedTuple):
    """One target as it registered itself.

    ``instance`` is new at most starts; ``started_at_ms`` tells two starts of one
    instance apart. ``order_sequence`` counts the orders that it accepted.
    ``versions`` holds the version of each model that it has loaded. A ``spot`` target is a
    cheap one that may be taken away at short notice.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    versions: Mapping[str, int] = {}
    started_at_ms: int = 0
    spot: bool = False


class Call(NamedTuple):
    """One attempt of a caller, as it came in; bytes and names are unchanged.

    ``raw_path`` holds path and query as sent. ``deadline_s`` is the time of the
    node's clock at which the caller stops waiting. ``workspace`` is whose key it brought, ""
    for an anonymous call. ``caller`` is who sent it, as far as that can be told.
    """

    request_id: str
    method: str
    raw_path: str
    host: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    received_at_s: float
    deadline_s: float
    workspace: str = ""
    caller: str = ""


class TargetAnswer(NamedTuple):
    """A whole and checked answer of a target."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes
    signature: str


class TargetFault(Exception):
    """An attempt at a target that gave no answer to pass on.

    ``ran`` is NO only if no byte left for the target, or the target said so.
    ``refused`` marks a target that has no room; ``wrong_instance`` one that is not
    the target it was taken for. ``cut`` says that the target's end of the connection went away
    before its answer was whole.
    """

    def __init__(
        self,
        detail: str,
        ran: Ran,
        *,
        refused: bool = False,
        wrong_instance: bool = False,
        cut: bool = False,
    ) -> None:
        """Say what was seen of the target."""
        super().__init__(detail)
        self.detail = detail
        self.ran = ran
        self.refused = refused
        self.wrong_instance = wrong_instance
        self.cut = cut


class CallChannel(Protocol):
    """Sends one call to one target and takes its whole answer."""

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        """Return the checked answer.

        :raises TargetFault: when there is none, saying whether the call may have run.
        """
        ...


class StreamStart(NamedTuple):
    """The head of an event stream, before its first event; ``version`` made what follows."""

    status: int
    headers: Sequence[tuple[str, str]]
    version: int


class StreamEvent(NamedTuple):
    """One whole event; ``block`` holds its bytes as they came, without the blank line."""

    event_id: int
    version: int
    block: bytes


class StreamChannel(Protocol):
    """Sends one call to one target and takes its answer as it is made."""

    def stream(
        self, call: Call, target: Target, budget_s: float, last_event_id: int
    ) -> AsyncGenerator[TargetAnswer | StreamStart | StreamEvent, None]:
        """Yield the head of the stream and then its events, or one whole answer instead.

        ``last_event_id`` asks the target to go on behind that event; 0 asks for nothing.

        :raises TargetFault: when the stream ends before its end.
        """
        ...


# Of a call or an item that neither a workspace nor a route ranks; 0 comes first, 9 last.
DEFAULT_PRIORITY: Final = 5
NO_REVISION: Final = -1
EMPTY_CONFIG: Final = RoutingConfig(NO_REVISION, (), {}, CallerLimits())
