"""Request routing and forwarding: shared types, per-node tables and the forwarder."""

from ._advertised_members import advertised_members
from ._authenticator import ApiKeyAuthenticator
from ._crash_watch import (
    TableServiceView,
    call_digest,
    registration_state,
    sibling_targets,
    target_start,
)
from ._forwarder import Forwarder, UsageMeter, discard_usage
from ._registry import TargetRegistry
from ._route_table import RouteTable
from ._stream_relay import RelayedStream, StreamBrokenError, StreamRelay
from ._target_table import TargetTable, select_services
from ._types import (
    DEFAULT_PRIORITY,
    EMPTY_CONFIG,
    NO_REVISION,
    Call,
    CallChannel,
    CallerLimits,
    CallKind,
    EngineSpec,
    Route,
    RoutingConfig,
    ScalingSpec,
    ServiceSpec,
    StreamChannel,
    StreamEvent,
    StreamStart,
    Target,
    TargetAnswer,
    TargetFault,
    WeightedService,
    Workspace,
)
from ._workspaces import ANONYMOUS, KeyConflict, KeyTable, key_mark

__all__ = [
    "ANONYMOUS",
    "EMPTY_CONFIG",
    "DEFAULT_PRIORITY",
    "NO_REVISION",
    "Call",
    "CallChannel",
    "CallKind",
    "CallerLimits",
    "EngineSpec",
    "Forwarder",
    "ApiKeyAuthenticator",
    "KeyConflict",
    "KeyTable",
    "RelayedStream",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "ScalingSpec",
    "ServiceSpec",
    "StreamBrokenError",
    "StreamChannel",
    "StreamEvent",
    "StreamRelay",
    "StreamStart",
    "Target",
    "TargetAnswer",
    "TargetFault",
    "TargetRegistry",
    "TableServiceView",
    "TargetTable",
    "UsageMeter",
    "WeightedService",
    "Workspace",
    "key_mark",
    "call_digest",
    "discard_usage",
    "advertised_members",
    "sibling_targets",
    "registration_state",
    "select_services",
    "target_start",
]
