"""Types of the serving path: routes, services, targets, calls and their answers."""

from collections.abc import AsyncGenerator, Mapping, Sequence
from enum import Enum
from typing import Final, NamedTuple, Protocol

from ..errors import Ran


class CallKind(Enum):
    """Kind of a route's calls; it decides whether and how a call may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    KEYED = "keyed"
    STREAMING = "streaming"
    BATCH = "batch"
    ROLLOUT = "rollout"


class WeightedService(NamedTuple):
    """A service of a route and its weight among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the active configuration.

    ``timeout_s`` is the longest time that a call may wait; 0 means no limit. ``objective_s`` is the
    latency objective. ``max_attempts`` limits how often one call may be sent to a target, not
    counting attempts that didn't run.
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
    """A workspace of the configuration and the API keys of its callers.

    ``priority`` overrides that of a route, 0 being the highest; None keeps the route's.
    """

    name: str
    keys: Sequence[str]
    priority: int | None = None


class ScalingSpec(NamedTuple):
    """Bounds on the number of targets of a service per availability zone, and their prices.

    The bounds apply to each zone and to both kinds of targets together. ``zone_prices`` and
    ``spot_price`` are fractions of the price of an ordinary target; a ``spot_price`` of 0.0 means
    that no spot targets are ordered.
    """

    minimum: int
    maximum: int
    boot_s: float
    zone_prices: Mapping[str, float]
    spot_price: float = 0.0


class EngineSpec(NamedTuple):
    """Configuration of a service of model engines.

    ``memory_tokens`` is the capacity of an engine's KV cache. Each event of a stream holds
    ``tokens_per_event`` tokens.
    """

    slots: int
    memory_tokens: int
    models: Sequence[str]
    tokens_per_event: int = 1


class ServiceSpec(NamedTuple):
    """Configuration of a service; ``engine`` is None if it doesn't run model engines."""

    name: str
    health_path: str
    connection_cap: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests, in bytes, and on its timeouts, in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RoutingConfig(NamedTuple):
    """A complete configuration; a higher ``revision`` replaces a lower one.

    If ``requires_keys`` is set, callers must present the key of a workspace, except on routes that
    allow anonymous calls. Without any workspaces, only such routes are then served.
    """

    revision: int
    routes: Sequence[Route]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits
    workspaces: Sequence[Workspace] = ()
    requires_keys: bool = False


class Target(NamedTuple):
    """One target as described by its registration.

    ``instance`` is new on most starts; ``started_at_ms`` distinguishes two starts of one instance.
    ``versions`` holds the loaded version of each model. A ``spot`` target is cheaper and may be
    reclaimed at short notice.
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
    """A request as received from a caller; header names and bytes are unchanged.

    ``raw_path`` holds the path and query as sent. ``deadline_s`` is the time on the node's clock at
    which the caller stops waiting. ``workspace`` is the one whose key the caller presented, "" for
    an anonymous call. ``caller`` identifies the sender as far as it is known. ``for_trainer`` marks
    a call that a trainer waits for and no caller.
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
    for_trainer: bool = False


def effective_deadline_s(call: Call, route: Route) -> float:
    """Return when a call ends: at its caller's deadline or after the route's timeout."""
    if route.timeout_s > 0.0:
        return min(call.deadline_s, call.received_at_s + route.timeout_s)
    return call.deadline_s


class TargetAnswer(NamedTuple):
    """A complete and verified answer of a target."""

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes
    signature: str


class TargetFault(Exception):
    """An attempt at a target that yielded no usable answer.

    ``ran`` is NO only if no byte was sent to the target, or the target said that the call didn't
    run. ``refused`` means that the target has no capacity, ``wrong_instance`` that another target
    answered at its address, and ``connection_closed`` that the target closed the connection before
    its answer was complete.
    """

    def __init__(
        self,
        detail: str,
        ran: Ran,
        *,
        refused: bool = False,
        wrong_instance: bool = False,
        connection_closed: bool = False,
    ) -> None:
        """Describe the failure in ``detail``."""
        super().__init__(detail)
        self.detail = detail
        self.ran = ran
        self.refused = refused
        self.wrong_instance = wrong_instance
        self.connection_closed = connection_closed


class SendOutcome(Enum):
    """How a call's stay at a target ended, from this node's perspective.

    ``REFUSED`` means that the target had no capacity and the call didn't run. ``FAILED`` stands for
    a closed connection or silence. ``ABANDONED`` calls were cancelled by this node before they were
    answered, and ``NOT_SENT`` ones before anything was sent.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"
    NOT_SENT = "not_sent"


class CallChannel(Protocol):
    """Sends a call to a target and receives its complete answer."""

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        """Return the verified answer.

        :raises TargetFault: when there is none; its ``ran`` tells whether the call may have run.
        """
        ...


class CallForwarder(Protocol):
    """Forwards calls and returns their complete answers."""

    async def forward(self, call: Call, route: Route) -> TargetAnswer:
        """Return the target's answer, whatever its status.

        :raises RequestError: when there is no answer to return; ``ran`` is NO only if no target can
            have run the call.
        """
        ...


class StreamStart(NamedTuple):
    """The head of an event stream; the events come from ``version`` of the model."""

    status: int
    headers: Sequence[tuple[str, str]]
    version: int


class StreamEvent(NamedTuple):
    """One complete event; ``block`` holds its bytes as received, without the blank line."""

    event_id: int
    version: int
    block: bytes


class StreamChannel(Protocol):
    """Sends a call to a target and receives its answer as a stream."""

    def stream(
        self, call: Call, target: Target, budget_s: float, last_event_id: int
    ) -> AsyncGenerator[TargetAnswer | StreamStart | StreamEvent, None]:
        """Yield the head of the stream and then its events, or one complete answer instead.

        ``last_event_id`` asks the target to resume after that event; 0 starts at the beginning.

        :raises TargetFault: when the stream breaks off.
        """
        ...


# Time reserved for returning the answer to the caller before its deadline.
RETURN_MARGIN_S: Final = 0.02
# Priority of a call or item for which neither workspace nor route sets one; 0 is the highest, 9 the
# lowest.
DEFAULT_PRIORITY: Final = 5
NO_REVISION: Final = -1
EMPTY_CONFIG: Final = RoutingConfig(NO_REVISION, (), {}, CallerLimits())
