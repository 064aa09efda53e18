"""Serving callers' calls by routes: types, the tables that a node keeps, the forwarder."""

from ._crash_watch import mark_of, others_beside, registration_of, start_of
from ._entry_choice import offered_members
from ._forwarder import Forwarder, UsageMeter, no_meter
from ._gatekeeper import Gatekeeper
from ._registry import TargetRegistry
from ._route_table import RouteTable
from ._stream_relay import RelayedStream, StreamBrokenError, StreamRelay
from ._target_table import TargetTable, services_in_turn
from ._types import (
    EMPTY_CONFIG,
    MIDDLE_PRIORITY,
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
    "MIDDLE_PRIORITY",
    "NO_REVISION",
    "Call",
    "CallChannel",
    "CallKind",
    "CallerLimits",
    "EngineSpec",
    "Forwarder",
    "Gatekeeper",
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
    "TargetTable",
    "UsageMeter",
    "WeightedService",
    "Workspace",
    "key_mark",
    "mark_of",
    "no_meter",
    "offered_members",
    "others_beside",
    "registration_of",
    "services_in_turn",
    "start_of",
]
