"""Deletes steps from the log once their retention has expired.

The log retains the newest record of each key indefinitely and rejects appends when it is full.
Without deletion, a fleet at full load would stop accepting steps after some minutes.
"""

import asyncio
from typing import Final

from ..observe import Observer
from ._step_log import StepLog

SWEEP_INTERVAL_S: Final = 5.0


async def drop_forgotten_steps(step_log: StepLog, observer: Observer) -> None:
    """Delete steps that the fold has forgotten from the log, while the node runs a service.

    A step whose deletion was interrupted, or whose runner was lost before it, is deleted by the
    next runner: every node remembers the IDs of the steps that it forgot most recently.
    """
    logger = observer.log("retention")
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        while step_log.forgotten:
            step_id = step_log.forgotten[0]
            if not await step_log.drop(step_id):
                logger.warning("step=%s deletion from the log not confirmed; retrying", step_id)
                break
            step_log.forgotten.popleft()
            logger.info("step=%s deleted from the log", step_id)
