"""How much of what was written to a connection the other side has not taken."""

import asyncio
import fcntl
import struct
import termios


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes written that the other side's kernel has not confirmed.

    The kernel of this host accepts more only once a good part of its own buffer is free, so its
    buffer has to be counted as well to see that a slow reader makes progress.
    """
    unsent_bytes = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    if connection is None:
        return unsent_bytes
    try:
        reply = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        # The socket is closed.
        return unsent_bytes
    return unsent_bytes + int(struct.unpack("i", reply)[0])
