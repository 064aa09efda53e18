"""What passes between nodes: heartbeats, forwarded calls, configuration, reports."""

from ._client import PeerClient, PeerUnavailableError
from ._heartbeat import HeartbeatCodec, HeartbeatError
from ._rendezvous import rank_members
from ._server import PeerServer

__all__ = [
    "HeartbeatCodec",
    "HeartbeatError",
    "PeerClient",
    "PeerServer",
    "PeerUnavailableError",
    "rank_members",
]
