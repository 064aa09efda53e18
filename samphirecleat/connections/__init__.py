"""Connections of clients: what they may send, and how long they may take.

Clients that exceed the limits are refused before what they send fills the memory of the process or
keeps it from other work.
"""

from ._limits import ConnectionLimits
from ._listening import bind_listener
from ._server import (
    ConnectionFactory,
    GuardedServer,
    Handler,
    SharedLimits,
    make_shared_limits,
)

__all__ = [
    "ConnectionFactory",
    "ConnectionLimits",
    "GuardedServer",
    "Handler",
    "SharedLimits",
    "bind_listener",
    "make_shared_limits",
]
