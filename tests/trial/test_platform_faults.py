"""The faults of the platform's services bring about only what the platform may do."""

import asyncio

from samphirecleat.standins import StandInLog
from samphirecleat.trial import _platform_faults as faults


def test_a_record_between_two_outages_is_not_dropped_unread() -> None:
    """The log takes a text for a moment between two outages, and is asked to drop old records.

    A log keeps records for a limited time, but for longer than a reader needs. Dropped before
    anybody could read it, the text would be accepted and in force nowhere.
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
