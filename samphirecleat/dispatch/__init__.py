"""Dispatch of calls under load: owners of targets, and the hop of a call to an owner."""

from ._gateway import CallGateway, GatewayNode, OwnerChannel
from ._hop_error import HopError
from ._hop_scope import AttemptGrant, GrantedChannel, count_usage_in_scope, hop_scope
from ._messages import CallReply, CallRequest, HopHeader
from ._ownership import MAX_NODES_WITHOUT_OWNERS, Owner, OwnershipView
from ._send_delay import SendDelays

__all__ = [
    "AttemptGrant",
    "CallGateway",
    "CallReply",
    "CallRequest",
    "GatewayNode",
    "GrantedChannel",
    "HopError",
    "HopHeader",
    "MAX_NODES_WITHOUT_OWNERS",
    "Owner",
    "OwnerChannel",
    "OwnershipView",
    "SendDelays",
    "count_usage_in_scope",
    "hop_scope",
]
