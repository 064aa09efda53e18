"""What passes between nodes: heartbeats, forwarded calls, configuration, reports."""

from ._client import PeerClient, PeerUnavailableError
from ._heartbeat import HeartbeatCodec, HeartbeatError
from ._messages import (
    Death,
    ListedChange,
    MemberRow,
    Message,
    MessageKind,
    Outgoing,
    TargetLoad,
    TargetRow,
)
from ._rendezvous import RendezvousOwners, rank_members
from ._server import PeerServer

__all__ = [
    "Death",
    "HeartbeatCodec",
    "HeartbeatError",
    "ListedChange",
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
]
