"""The tasks of one duty, started and stopped together."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any


class DutyTasks:
    """Tasks that are stopped together; failures are reported by callback."""

    def __init__(self) -> None:
        """Start without tasks."""
        self._tasks: list[asyncio.Task[None]] = []

    def start(
        self,
        coroutines: Sequence[Coroutine[Any, Any, None]],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """Run all of ``coroutines`` concurrently; ``on_failure`` gets each exception."""

        def report_failure(task: asyncio.Task[None]) -> None:
            error = None if task.cancelled() else task.exception()
            if error is not None:
                on_failure(error)

        for coroutine in coroutines:
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(report_failure)
            self._tasks.append(task)

    def stop(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()
