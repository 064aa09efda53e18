"""Reads the items of steps that a service's runner is to make."""

import asyncio
from typing import Final

from ..observe import Observer
from ._fold import StepState
from ._ports import LogUnavailableError
from ._service_work import ServiceWork

# Between tries while the log gives no answer.
RETRY_S: Final = 0.1


class ItemLoader:
    """Reads each wanted step's items once, for as long as the step is open."""

    def __init__(self, work: ServiceWork, observer: Observer) -> None:
        """Read from the step log of ``work``."""
        self._work = work
        self._words = observer.log("runner")
        self._loads: dict[str, asyncio.Task[None]] = {}

    def want(self, step: StepState) -> None:
        """Have a step's items read, unless they are being read."""
        step_id = step.spec.step_id
        if step_id not in self._loads:
            self._loads[step_id] = asyncio.ensure_future(self._load(step))

    def close(self) -> None:
        """Read no more."""
        for task in list(self._loads.values()):
            task.cancel()

    async def _load(self, step: StepState) -> None:
        began_s = asyncio.get_running_loop().time()
        try:
            while step.open:
                try:
                    step.set_items(await self._work.step_log.read_items(step.spec))
                except LogUnavailableError as error:
                    self._words.warning("step=%s items not read: %s", step.spec.step_id, error)
                    await asyncio.sleep(RETRY_S)
                    continue
                took_s = asyncio.get_running_loop().time() - began_s
                self._words.info(
                    "step=%s items=%d read after %.3f s",
                    step.spec.step_id,
                    len(step.items),
                    took_s,
                )
                return
        finally:
            del self._loads[step.spec.step_id]
            self._work.changed.set()
