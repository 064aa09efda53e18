"""Checks whether a process accepts connections at a target's address."""

import asyncio
from contextlib import suppress
from typing import Final

# A live host on the same continent accepts or refuses a connection well within this time.
CONNECT_TIMEOUT_S: Final = 0.15


async def is_listening(address: str) -> bool:
    """Return False only if the address refuses the connection, so its process has ended.

    No data is sent. A timeout or any other error proves nothing and counts as listening.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return True
