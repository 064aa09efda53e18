"""Runs the steps that end a process, so that the failure of one does not prevent the others.

A step that raises would otherwise end the process at once, and cut the requests in flight that
have nothing to do with it; a step that hangs would use up the grace period.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, NamedTuple

from ..observe import Observer
from ._listeners import SHUTDOWN_TIMEOUT_S

# A draining node keeps serving for this long, or for a share of the grace period if that is
# shorter. Callers may cache its address for three times the TTL of a directory answer, and the
# fleet learns of the drain within a second.
MIN_DRAIN_S: Final = 4.2
MIN_DRAIN_SHARE: Final = 0.6
# Part of the grace period that is kept for stopping.
STOP_MARGIN_S: Final = 0.6
# Closing the listeners takes up to twice their own timeout: they wait for the last answers, then
# for the handlers that they cancelled. The HTTP clients are closed after that, at the same time.
# Both together fit into the margin above.
LISTENERS_TIMEOUT_S: Final = 2.0 * SHUTDOWN_TIMEOUT_S + 0.05
CLIENTS_TIMEOUT_S: Final = 0.1
DRAIN_CHECK_INTERVAL_S: Final = 0.05

Step = Callable[[], Awaitable[None]]
"""A step of the end of a process that waits for something."""


class DrainTimes(NamedTuple):
    """When a drain begins, when it may end at the earliest, and when it ends in any case.

    Times are those of the event loop.
    """

    begins_at_s: float
    may_end_at_s: float
    ends_at_s: float


def drain_times(begins_at_s: float, grace_s: float) -> DrainTimes:
    """Return the times of a drain that begins now, ``grace_s`` before the process is killed."""
    min_drain_s = min(MIN_DRAIN_S, grace_s * MIN_DRAIN_SHARE)
    ends_at_s = begins_at_s + grace_s - STOP_MARGIN_S
    return DrainTimes(begins_at_s, begins_at_s + min_drain_s, ends_at_s)


class ShutdownSteps:
    """Runs steps and logs the failure of each; none of them raises."""

    def __init__(self, observer: Observer) -> None:
        """Log and count failures with ``observer``."""
        self._counters = observer.counters
        self._logger = observer.log("node")

    def run(self, name: str, step: Callable[[], object]) -> None:
        """Run a step that does not wait."""
        try:
            step()
        except Exception as error:
            self._record_failure(name, error)

    async def drain(
        self, times: DrainTimes, hand_over: Step, has_pending_work: Callable[[], bool]
    ) -> None:
        """Return once the duties are handed over and no work is pending, or at the last moment.

        Work goes on during the hand-over, whatever becomes of that.
        """
        loop = asyncio.get_running_loop()
        handing_over = asyncio.ensure_future(
            self.wait("hand_over", hand_over, times.ends_at_s - times.begins_at_s)
        )
        while loop.time() < times.ends_at_s:
            is_done = handing_over.done() and not has_pending_work()
            if is_done and loop.time() >= times.may_end_at_s:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        handing_over.cancel()

    async def wait_for_all(self, steps: Mapping[str, Step], timeout_s: float) -> None:
        """Run steps at the same time, each for ``timeout_s`` seconds at most."""
        await asyncio.gather(*(self.wait(name, step, timeout_s) for name, step in steps.items()))

    async def wait(self, name: str, step: Step, timeout_s: float) -> None:
        """Run a step until it ends, but no longer than ``timeout_s`` seconds."""
        try:
            async with asyncio.timeout(timeout_s):
                await step()
        except Exception as error:
            self._record_failure(name, error)

    def _record_failure(self, name: str, error: Exception) -> None:
        self._counters["shutdown_failures"] += 1
        self._logger.error("shutdown step=%s failed: %r", name, error, exc_info=error)
