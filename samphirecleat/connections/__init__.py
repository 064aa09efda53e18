"""Connections of clients: what they may send, how long they may take, how many there may be.

Clients that exceed the limits are refused, or their connections closed, before what they send fills
the memory of the process, takes its descriptors or keeps it from other work.
"""

from ._byte_budget import READ_SHARE, ByteBudget, ByteLease
from ._limits import ConnectionLimits
from ._listening import bind_listener
from ._placed_protocol import PlacedProtocol
from ._places import Places, max_client_connections
from ._refusal_log import RefusalLog
from ._server import (
    REQUEST_SHARE,
    ConnectionFactory,
    GuardedServer,
    Handler,
    SharedLimits,
    make_shared_limits,
)
from ._unread_bytes import unread_bytes

__all__ = [
    "READ_SHARE",
    "REQUEST_SHARE",
    "ByteBudget",
    "ByteLease",
    "ConnectionFactory",
    "ConnectionLimits",
    "GuardedServer",
    "Handler",
    "PlacedProtocol",
    "Places",
    "RefusalLog",
    "SharedLimits",
    "bind_listener",
    "make_shared_limits",
    "max_client_connections",
    "unread_bytes",
]
