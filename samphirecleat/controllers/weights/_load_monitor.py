"""Polls engines that accepted a load order until the load has finished."""

import asyncio
from typing import Final

from ...blackboard import TargetView
from ...targets import TargetClient

POLL_PERIOD_S: Final = 0.1
POLL_TIMEOUT_S: Final = 10.0


class LoadMonitor:
    """Polls targets that accepted a load order until they are no longer loading.

    Reports on the blackboard may arrive through several nodes. The next engine's load waits
    for this one, so the coordinator polls the engine directly. ``load_finished`` is set
    whenever the polling of a target ends.
    """

    def __init__(self, client: TargetClient) -> None:
        """Create a monitor that polls no target yet."""
        self._client = client
        self._reports: dict[str, TargetView] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.load_finished = asyncio.Event()

    def watch(self, target: TargetView) -> None:
        """Begin to poll a target that has just accepted an order."""
        task = asyncio.get_running_loop().create_task(self._poll_until_finished(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def latest(self, known: TargetView) -> TargetView:
        """Return ``known`` updated with the polled report, if that report is newer."""
        polled = self._reports.get(known.address)
        if polled is None or polled.reported_at_s <= known.reported_at_s:
            self._reports.pop(known.address, None)
            return known
        return known._replace(
            instance=polled.instance,
            version=polled.version,
            loading=polled.loading,
            reported_at_s=polled.reported_at_s,
        )

    async def close(self) -> None:
        """Cancel all polling and wait for it to end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_until_finished(self, target: TargetView) -> None:
        loop = asyncio.get_running_loop()
        taken_at_s = loop.time()
        loading = True
        while loading or loop.time() - taken_at_s < POLL_TIMEOUT_S:
            await asyncio.sleep(POLL_PERIOD_S)
            report = await self._client.fetch_report(target, loop.time())
            if not report.reachable:
                break
            loading = report.loading
            self._reports[target.address] = report
            if not loading and report.reported_at_s > taken_at_s:
                break
        self.load_finished.set()
