"""Drops steps from the log that nobody may ask for any more.

The log keeps the newest record of each key for good and refuses appends when it is full. A
fleet that never dropped a key would stop taking steps after some minutes at full load.
"""

import asyncio
from typing import Final

from ..observe import Observer
from ._step_log import StepLog

SWEEP_INTERVAL_S: Final = 5.0


async def drop_forgotten_steps(step_log: StepLog, observer: Observer) -> None:
    """Drop what the fold forgot from the log, for as long as the node runs a service.

    A step that is half dropped, or whose runner was lost before, is dropped again by the
    next one: every node keeps the names of the steps that it forgot last.
    """
    logger = observer.log("retention")
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        while step_log.forgotten:
            step_id = step_log.forgotten[0]
            if not await step_log.drop(step_id):
                logger.warning("step=%s not dropped; tried again", step_id)
                break
            step_log.forgotten.popleft()
            logger.info("step=%s dropped from the log", step_id)
