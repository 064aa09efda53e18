"""Whether anything accepts connections at a target's address."""

import asyncio
from contextlib import suppress
from typing import Final

# A live host on the same continent answers a connection well within this.
LOOK_TIMEOUT_S: Final = 0.15


async def is_listening(address: str) -> bool:
    """Return False only if the address refuses a connection: its process is gone.

    Sends nothing. Silence and any other error tell nothing, and count as listening.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(LOOK_TIMEOUT_S):
            _reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    with suppress(OSError):
        await writer.wait_closed()
    return True
