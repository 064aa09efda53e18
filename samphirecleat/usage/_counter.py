"""Counts the calls that begin to run by way of one node, and writes them where they last.

Load pattern answered: a few calls a second over many nodes, where nodes are killed at any moment
and a workspace has one call in a window. What a killed node had not written is missing from a
report, and one call is all of that workspace's figure. So a count is written at once, unless the
node has just written others: all nodes of a large fleet share the log's rate.
"""

import asyncio
import math
import random
import secrets
from collections import Counter
from collections.abc import Callable
from typing import Final

from ..durable import AppendOutcome, KeyedLog
from ..observe import Observer
from ._records import CountsAdded, entry_of
from ._true_clock import TrueClock

USAGE_TOPIC: Final = "keyed.usage"
# Appends a second that all nodes together may make for counts.
FLEET_APPENDS_PER_S: Final = 150.0
# Calls that begin together are written together.
SHORTEST_GAP_S: Final = 0.05
# Half of a window of a few seconds: a window's figures must be whole soon after its end.
LONGEST_GAP_S: Final = 2.5
RETRY_S: Final = (0.1, 0.3)


def write_gap_s(node_count: int) -> float:
    """Return the least time between two writes of one node of a fleet."""
    return min(LONGEST_GAP_S, max(SHORTEST_GAP_S, node_count / FLEET_APPENDS_PER_S))


class UsageCounter:
    """Counts of one node, by window of true time."""

    def __init__(
        self,
        log: KeyedLog,
        clock: TrueClock,
        window_s: float,
        gap_s: Callable[[], float],
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Write to ``log`` what was counted, with ``gap_s`` at least between two writes."""
        self._log = log
        self._clock = clock
        self._window_s = window_s
        self._gap_s = gap_s
        self._written_at_s = -math.inf
        self._observer = observer
        self._logger = observer.log("usage")
        self._rng = rng
        self._writer = secrets.token_hex(6)
        self._next_write = 0
        self._pending: dict[int, Counter[str]] = {}
        self._came = asyncio.Event()
        self._hurried = asyncio.Event()

    def began(self, workspace: str, at_loop_s: float) -> None:
        """Count a call that began to run at a target at a time of the loop."""
        window = int(self._clock.at_s(at_loop_s) // self._window_s)
        self._pending.setdefault(window, Counter())[workspace] += 1
        self._observer.counters["usage_counted"] += 1
        self._came.set()

    @property
    def unwritten(self) -> int:
        """How many calls are counted and not known to be written."""
        return sum(counts.total() for counts in self._pending.values())

    def hurry(self) -> None:
        """Write at once from now on: the node leaves."""
        self._hurried.set()

    async def run(self) -> None:
        """Write counts for as long as the node lives."""
        while True:
            await self._came.wait()
            now_s = asyncio.get_running_loop().time()
            wait_s = max(SHORTEST_GAP_S, self._written_at_s + self._gap_s() - now_s)
            try:
                async with asyncio.timeout(wait_s):
                    await self._hurried.wait()
            except TimeoutError:
                pass
            self._came.clear()
            self._written_at_s = asyncio.get_running_loop().time()
            await self._write()

    async def _write(self) -> None:
        """Write all that is counted, again under the same keys until that is known to be done."""
        taken = {window: Counter(counts) for window, counts in self._pending.items()}
        self._next_write += 1
        unique = f"{self._writer}.{self._next_write}"
        entries = [entry_of(CountsAdded(window, taken[window]), unique) for window in sorted(taken)]
        failed = False
        while entries:
            result = await self._log.append(USAGE_TOPIC, entries)
            if result.outcome is AppendOutcome.APPENDED:
                break
            if not failed:
                self._logger.warning(
                    "counts of windows %s not written yet: %s", sorted(taken), result.detail
                )
            failed = True
            await asyncio.sleep(self._rng.uniform(*RETRY_S))
        for window, counts in taken.items():
            self._pending[window] -= counts
            if not self._pending[window]:
                del self._pending[window]
        self._observer.counters["usage_appends"] += 1
