"""Connections that the kernel gives up when the path between the ends is dead."""

import math
import socket
from typing import Any, Final

import aiohttp

KEEPALIVE_PROBES: Final = 2


def make_connector(
    silent_after_s: float, *, force_close: bool = False, keepalive_timeout_s: float = 15.0
) -> aiohttp.TCPConnector:
    """Return a connector whose connections end some seconds after their path died.

    An idle connection is kept ``keepalive_timeout_s``, unless ``force_close`` is set.

    Something between the two ends can lose track of a connection: nothing comes
    any more, and nothing says so. A plain service cannot be asked how far a call
    is, so without this a call that may not be repeated would be waited for to its
    deadline. The kernel asks the other end after ``silent_after_s`` without
    traffic, and ends the connection with an error when no answer comes.
    """

    def make_socket(address: Any) -> socket.socket:
        family, kind, protocol, _name, _address = address
        return set_keepalive(socket.socket(family, kind, protocol), silent_after_s)

    if force_close:
        return aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=make_socket)
    return aiohttp.TCPConnector(
        limit=0, keepalive_timeout=keepalive_timeout_s, socket_factory=make_socket
    )


def set_keepalive(connection: socket.socket, silent_after_s: float) -> socket.socket:
    """Let the kernel probe a connection after ``silent_after_s``, in whole seconds."""
    idle_s = max(1, math.ceil(silent_after_s))
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    # What was sent and not acknowledged ends the connection after the same time.
    timeout_ms = 1000 * (idle_s + KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    return connection
