"""Allocates loopback addresses that no other process takes."""

import itertools
import os
import socket
from typing import Final

FIRST_PORT: Final = 10_000
PORT_COUNT: Final = 20_000  # stays below the ephemeral ports of Linux, which start at 32768
LOOPBACK: Final = "127.0.0.1"


class AddressPool:
    """Allocates ports on a loopback address derived from the process id.

    Another process could take a free port of 127.0.0.1 before the node binds it,
    which would make trials flaky. On Linux all of 127.0.0.0/8 is loopback, so each
    process gets an address of its own. Falls back to free ports on 127.0.0.1 where
    only that address can be bound.
    """

    _port_offsets = itertools.count()

    def __init__(self) -> None:
        """Select the host address and check that it can be bound."""
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) & 255}.{pid & 255}"
        self._has_own_host = _can_bind(self.host)
        if not self._has_own_host:
            self.host = LOOPBACK

    def take(self) -> str:
        """Return an IP:port that is free for both TCP and UDP, a new one at each call."""
        if not self._has_own_host:
            return f"{LOOPBACK}:{free_port()}"
        port = FIRST_PORT + next(self._port_offsets) % PORT_COUNT
        return f"{self.host}:{port}"


def _can_bind(host: str) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((host, 0))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a port of 127.0.0.1 that is currently free for both TCP and UDP."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            udp.bind((LOOPBACK, 0))
            port = int(udp.getsockname()[1])
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                try:
                    tcp.bind((LOOPBACK, port))
                except OSError:
                    continue
        return port
