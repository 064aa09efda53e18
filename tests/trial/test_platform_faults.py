"""Injected platform faults stay within what the real platform can do."""

import asyncio

from samphirecleat.standins import StandInLog
from samphirecleat.trial import _platform_faults as faults


def test_record_between_two_outages_is_not_trimmed_before_it_can_be_read() -> None:
    """The log appends a text between two outages and is then asked to trim old records.

    The real log retains records for longer than a reader needs. If the text were dropped
    before anybody could read it, it would be accepted without coming into force anywhere.
    """
    log = StandInLog()

    async def body() -> None:
        log.down = True
        waiting = asyncio.ensure_future(faults._wait_readable(log, 0.3))
        await asyncio.sleep(0.05)
        log.down = False
        await asyncio.sleep(0.1)
        log.down = True
        await asyncio.sleep(0.3)
        assert not waiting.done()
        log.down = False
        began_s = asyncio.get_running_loop().time()
        async with asyncio.timeout(10.0):
            await waiting
        assert asyncio.get_running_loop().time() - began_s >= 0.25

    asyncio.run(body())
