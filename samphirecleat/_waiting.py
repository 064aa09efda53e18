"""Waiting for an event for a bounded time.

Stands apart because ``asyncio.wait_for`` must not be used for it: up to Python
3.11 it drops a cancellation that comes in the moment in which the event is set.
The task then never ends, and neither does the node's stop, which waits for it.
"""

import asyncio
from contextlib import suppress


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether the event was set within ``timeout_s``."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
