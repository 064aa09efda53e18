"""Connections of clients: what they may send, how long they may take, how many there may be.

Clients that exceed the limits are refused, or their connections closed, before what they send fills
the memory of the process, takes its descriptors or keeps it from other work.
"""

from ._limits import ConnectionLimits
from ._listening import bind_listener
from ._places import max_client_connections
from ._server import (
    ConnectionFactory,
    GuardedServer,
    Handler,
    SharedLimits,
    make_shared_limits,
)
from ._unread_bytes import unread_bytes

__all__ = [
    "ConnectionFactory",
    "ConnectionLimits",
    "GuardedServer",
    "Handler",
    "SharedLimits",
    "bind_listener",
    "make_shared_limits",
    "max_client_connections",
    "unread_bytes",
]
