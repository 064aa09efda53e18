"""Reads the items of open steps from the step log."""

import asyncio
from typing import Final

from ..observe import Observer
from ._fold import StepState
from ._ports import LogUnavailableError
from ._service_work import ServiceWork

# Delay between attempts while the log is unavailable.
RETRY_INTERVAL_S: Final = 0.1


class ItemLoader:
    """Reads the items of each requested step, retrying while the step is open."""

    def __init__(self, work: ServiceWork, observer: Observer) -> None:
        """Read from the step log of ``work``."""
        self._work = work
        self._logger = observer.log("runner")
        self._loads: dict[str, asyncio.Task[None]] = {}

    def request(self, step: StepState) -> None:
        """Start reading a step's items unless a read is already in progress."""
        step_id = step.spec.step_id
        if step_id not in self._loads:
            self._loads[step_id] = asyncio.ensure_future(self._load(step))

    def close(self) -> None:
        """Cancel all reads."""
        for task in list(self._loads.values()):
            task.cancel()

    async def _load(self, step: StepState) -> None:
        began_s = asyncio.get_running_loop().time()
        try:
            while step.open:
                try:
                    step.set_items(await self._work.step_log.read_items(step.spec))
                except LogUnavailableError as error:
                    self._logger.warning(
                        "step=%s reading items failed: %s", step.spec.step_id, error
                    )
                    await asyncio.sleep(RETRY_INTERVAL_S)
                    continue
                took_s = asyncio.get_running_loop().time() - began_s
                self._logger.info(
                    "step=%s items=%d read in %.3f s",
                    step.spec.step_id,
                    len(step.items),
                    took_s,
                )
                return
        finally:
            del self._loads[step.spec.step_id]
            self._work.changed.set()
