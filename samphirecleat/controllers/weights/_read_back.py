"""Reads back from engines what came of the orders they took."""

import asyncio
from typing import Final

from ...blackboard import TargetView
from ...targets import TargetClient

READ_BACK_S: Final = 0.1
GIVE_UP_AFTER_S: Final = 10.0


class ReadBack:
    """Asks a target that took an order until it loads no more.

    The reports on the blackboard come around several nodes. The next engine waits
    for this one, so its coordinator asks by itself. ``settled`` is set whenever a
    load has ended.
    """

    def __init__(self, client: TargetClient) -> None:
        """Start with nothing asked."""
        self._client = client
        self._reports: dict[str, TargetView] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.settled = asyncio.Event()

    def follow(self, target: TargetView) -> None:
        """Begin to ask a target that took an order just now."""
        task = asyncio.get_running_loop().create_task(self._ask_until_settled(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def newest(self, known: TargetView) -> TargetView:
        """Return a target as it was read back, if that is newer than what is known."""
        read = self._reports.get(known.address)
        if read is None or read.reported_at_s <= known.reported_at_s:
            self._reports.pop(known.address, None)
            return known
        return known._replace(
            instance=read.instance,
            version=read.version,
            loading=read.loading,
            reported_at_s=read.reported_at_s,
        )

    async def close(self) -> None:
        """Ask no more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _ask_until_settled(self, target: TargetView) -> None:
        loop = asyncio.get_running_loop()
        taken_at_s = loop.time()
        loading = True
        while loading or loop.time() - taken_at_s < GIVE_UP_AFTER_S:
            await asyncio.sleep(READ_BACK_S)
            report = await self._client.report(target, loop.time())
            if not report.reachable:
                break
            loading = report.loading
            self._reports[target.address] = report
            if not loading and report.reported_at_s > taken_at_s:
                break
        self.settled.set()
