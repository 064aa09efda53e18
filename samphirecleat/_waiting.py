"""Waits for an event with a timeout.

``asyncio.wait_for`` must not be used for this: up to Python 3.11 it swallows a
cancellation that arrives in the same loop iteration in which the event is set. The task
then never ends, and the shutdown of the node, which waits for the task, hangs.
"""

import asyncio
from contextlib import suppress


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> bool:
    """Return whether the event was set within ``timeout_s`` seconds."""
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()
