"""Tells errors of a connection that was closed from errors of one that went silent."""

import errno

import aiohttp


def is_connection_closed(error: Exception) -> bool:
    """Return whether the target closed or reset the connection, rather than going silent.

    An operating system error other than ETIMEDOUT counts as a closed connection.
    """
    match error:
        case TimeoutError():
            return False
        case aiohttp.ServerDisconnectedError() | aiohttp.ClientPayloadError() | EOFError():
            return True
        case OSError():
            return error.errno != errno.ETIMEDOUT
    return False
