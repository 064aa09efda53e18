"""TCP connections whose failure the kernel detects by keepalive probes."""

import math
import socket
from typing import Any, Final

import aiohttp

KEEPALIVE_PROBES: Final = 2


def make_connector(
    probe_after_s: float, *, force_close: bool = False, keepalive_timeout_s: float = 15.0
) -> aiohttp.TCPConnector:
    """Return a connector whose connections fail some seconds after their path breaks.

    An idle connection is kept for ``keepalive_timeout_s``, unless ``force_close`` is set.

    A device on the path can lose the state of a connection: nothing arrives any more, and
    neither end gets an error. A plain service can't report the progress of a call, so
    without keepalive probes a call that is not idempotent would be awaited until its
    deadline. After ``probe_after_s`` without traffic the kernel probes the other end, and
    if it gets no answer it ends the connection with an error.
    """

    def make_socket(address: Any) -> socket.socket:
        family, kind, protocol, _name, _address = address
        return set_keepalive(socket.socket(family, kind, protocol), probe_after_s)

    if force_close:
        return aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=make_socket)
    return aiohttp.TCPConnector(
        limit=0, keepalive_timeout=keepalive_timeout_s, socket_factory=make_socket
    )


def set_keepalive(connection: socket.socket, probe_after_s: float) -> socket.socket:
    """Enable keepalive probes after ``probe_after_s``, rounded up to whole seconds."""
    idle_s = max(1, math.ceil(probe_after_s))
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    # Data that stays unacknowledged ends the connection after the same time.
    timeout_ms = 1000 * (idle_s + KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    return connection
