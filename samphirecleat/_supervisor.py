"""Runs the background tasks of a node, and starts one that failed again.

Without the restart, one unexpected error would end a task for good while the node goes on: it would
follow no registrations any more, or answer no heartbeats, and nothing but one log line would show.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from .observe import Observer

# Pause before a restart; it doubles while the task fails again.
MIN_RESTART_DELAY_S: Final = 0.2
MAX_RESTART_DELAY_S: Final = 5.0
# A task that ran for this long starts again with the shortest pause.
STABLE_AFTER_S: Final = 30.0

TaskFunction = Callable[[], Coroutine[Any, Any, None]]
"""Runs until cancelled; may be called again after it failed."""


class TaskSupervisor:
    """Background tasks that run until :meth:`cancel`."""

    def __init__(self, observer: Observer) -> None:
        """Start without tasks."""
        self._observer = observer
        self._logger = observer.log("node")
        self._tasks: list[asyncio.Task[None]] = []
        self._failed: set[str] = set()
        self._needed: set[str] = set()

    def start(self, name: str, run: TaskFunction, *, needed: bool = False) -> None:
        """Run ``run`` in a task named ``name``.

        While a ``needed`` task waits for its restart, the node should not be sent requests.
        """
        if needed:
            self._needed.add(name)
        self._tasks.append(asyncio.ensure_future(self._run(name, run)))

    @property
    def needed_tasks_run(self) -> bool:
        """Whether no needed task waits for its restart."""
        return self._failed.isdisjoint(self._needed)

    def cancel(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()

    async def close(self) -> None:
        """Cancel every task, and return once all have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, name: str, run: TaskFunction) -> None:
        loop = asyncio.get_running_loop()
        delay_s = MIN_RESTART_DELAY_S
        while True:
            began_s = loop.time()
            error: Exception | None = None
            try:
                await run()
            except Exception as raised:
                error = raised
            ran_s = loop.time() - began_s
            if ran_s > STABLE_AFTER_S:
                delay_s = MIN_RESTART_DELAY_S
            self._observer.counters[f"task_failures_{name}"] += 1
            self._set_failed(name, failed=True)
            self._logger.error(
                "task=%s failed after=%.1f s restart_in=%.1f s: %r",
                name,
                ran_s,
                delay_s,
                error,
                exc_info=error,
            )
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, 2.0 * delay_s)
            self._set_failed(name, failed=False)

    def _set_failed(self, name: str, *, failed: bool) -> None:
        if failed:
            self._failed.add(name)
        else:
            self._failed.discard(name)
        self._observer.counters["tasks_down"] = len(self._failed)
