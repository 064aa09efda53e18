"""Dispatch of calls under load: owners of targets, the hop to an owner, and its queues."""

from ._decisions import Decision, Refusal, RefusalReason, Start, Wait
from ._gateway import CallGateway, GatewayNode, OwnerChannel
from ._hop_error import HopError
from ._hop_scope import AttemptGrant, GrantedChannel, count_usage_in_scope, hop_scope
from ._messages import CallReply, CallRequest, HopHeader
from ._ownership import MAX_NODES_WITHOUT_OWNERS, Owner, OwnershipView
from ._send_delay import SendDelays
from ._service_queue import ServiceQueue
from ._slot_queue import Grant, SlotQueue
from ._target_limiter import MAX_TARGET_BYTES, TargetLimiter
from ._time_left import TimeLeft
from ._waiting_calls import QueuedCall

__all__ = [
    "MAX_NODES_WITHOUT_OWNERS",
    "MAX_TARGET_BYTES",
    "AttemptGrant",
    "CallGateway",
    "CallReply",
    "CallRequest",
    "Decision",
    "GatewayNode",
    "Grant",
    "GrantedChannel",
    "HopError",
    "HopHeader",
    "QueuedCall",
    "Owner",
    "OwnerChannel",
    "OwnershipView",
    "Refusal",
    "RefusalReason",
    "SendDelays",
    "ServiceQueue",
    "SlotQueue",
    "Start",
    "TargetLimiter",
    "TimeLeft",
    "Wait",
    "count_usage_in_scope",
    "hop_scope",
]
