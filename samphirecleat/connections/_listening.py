"""Listening sockets whose connections hold a bounded part of what was not read yet."""

import socket
from typing import Final

# Receive buffer of each connection. By default, the kernel lets it grow to megabytes, which count
# toward the memory of the machine, and which have to be read before a disconnect is noticed.
RECEIVE_BUFFER_BYTES: Final = 65_536


def bind_listener(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address, for a server to listen on.

    :raises OSError: if the address can't be bound.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Connections inherit the option.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setblocking(False)
        listener.bind((host, port))
    except OSError:
        listener.close()
        raise
    return listener
