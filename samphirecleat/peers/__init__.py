"""Communication between nodes: heartbeats, forwarded calls, configuration and reports."""

from typing import TYPE_CHECKING

from .._lazy_exports import lazy_exports
from ._heartbeat import HeartbeatCodec, HeartbeatError
from ._messages import (
    CrashRow,
    Death,
    HostListChange,
    MemberRow,
    Message,
    MessageKind,
    Outgoing,
    TargetLoad,
    TargetRow,
)
from ._rendezvous import RendezvousOwners, rank_members, rendezvous_weight

if TYPE_CHECKING:
    from ._client import PeerClient, PeerUnavailableError
    from ._server import PeerServer

__all__ = [
    "CrashRow",
    "Death",
    "HeartbeatCodec",
    "HeartbeatError",
    "HostListChange",
    "MemberRow",
    "Message",
    "MessageKind",
    "Outgoing",
    "PeerClient",
    "PeerServer",
    "PeerUnavailableError",
    "RendezvousOwners",
    "TargetLoad",
    "TargetRow",
    "rank_members",
    "rendezvous_weight",
]

# Loaded lazily, so that nodes that only exchange heartbeats don't import grpclib.
__getattr__ = lazy_exports(
    __name__,
    {"PeerClient": "_client", "PeerServer": "_server", "PeerUnavailableError": "_client"},
)
