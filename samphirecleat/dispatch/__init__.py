"""Dispatch of calls under load: owners of targets, the hop to an owner, and its queues."""

from ._gateway import CallGateway, GatewayNode, OwnerChannel
from ._hop_error import HopError
from ._hop_scope import AttemptGrant, GrantedChannel, count_usage_in_scope, hop_scope
from ._messages import CallReply, CallRequest, HopHeader
from ._ownership import MAX_NODES_WITHOUT_OWNERS, Owner, OwnershipView
from ._room import MAX_TARGET_BYTES
from ._send_delay import SendDelays
from ._slot_queue import Grant, SlotQueue

__all__ = [
    "AttemptGrant",
    "CallGateway",
    "CallReply",
    "CallRequest",
    "GatewayNode",
    "Grant",
    "GrantedChannel",
    "HopError",
    "HopHeader",
    "MAX_NODES_WITHOUT_OWNERS",
    "MAX_TARGET_BYTES",
    "Owner",
    "OwnerChannel",
    "OwnershipView",
    "SendDelays",
    "SlotQueue",
    "count_usage_in_scope",
    "hop_scope",
]
