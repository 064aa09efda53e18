"""Addresses for the nodes of a trial that no other process can take meanwhile."""

import itertools
import os
import socket
from typing import Final

FIRST_PORT: Final = 10_000
PORTS_BELOW_EPHEMERAL: Final = 20_000
LOOPBACK: Final = "127.0.0.1"


class AddressPool:
    """Hands out pairs of ports on a loopback address that is this process's own.

    A port that is merely found free may be taken by another process before the
    node listens there, and a trial would then fail at random. All of 127.0.0.0/8
    is loopback on Linux, so the process id names an address that no other trial
    uses. Where the system has only 127.0.0.1, free ports have to do.
    """

    _numbers = itertools.count()

    def __init__(self) -> None:
        """Find out whether the process's own loopback address can be used."""
        pid = os.getpid()
        self.host = f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) & 255}.{pid & 255}"
        self._own = _can_bind(self.host)
        if not self._own:
            self.host = LOOPBACK

    def take(self) -> str:
        """Return an IP:port that is free for both TCP and UDP."""
        if not self._own:
            return f"{LOOPBACK}:{free_port()}"
        port = FIRST_PORT + next(self._numbers) % PORTS_BELOW_EPHEMERAL
        return f"{self.host}:{port}"


def _can_bind(host: str) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        try:
            probe.bind((host, 0))
        except OSError:
            return False
    return True


def free_port() -> int:
    """Return a port that is free for both TCP and UDP now."""
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
