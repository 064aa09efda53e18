"""Which errors say that a target closed its connection, rather than fell silent."""

import errno

import aiohttp


def is_connection_closed(error: Exception) -> bool:
    """Whether the other end closed or reset the connection, rather than fell silent."""
    match error:
        case TimeoutError():
            return False
        case aiohttp.ServerDisconnectedError() | aiohttp.ClientPayloadError() | EOFError():
            return True
        case OSError():
            return error.errno != errno.ETIMEDOUT
    return False
