"""What passes between nodes: heartbeats, forwarded calls, configuration, reports."""

from ._client import PeerClient, PeerUnavailableError
from ._heartbeat import HeartbeatCodec, HeartbeatError
from ._messages import (
    Death,
    MemberRow,
    Message,
    MessageKind,
    Outgoing,
    TargetLoad,
    TargetRow,
)
from ._rendezvous import rank_members
from ._server import PeerServer

__all__ = [
    "Death",
    "HeartbeatCodec",
    "HeartbeatError",
    "MemberRow",
    "Message",
    "MessageKind",
    "Outgoing",
    "PeerClient",
    "PeerServer",
    "PeerUnavailableError",
    "TargetLoad",
    "TargetRow",
    "rank_members",
]
