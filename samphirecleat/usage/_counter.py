"""Counts the calls that start through one node and writes the counts to the log.

Load pattern: a few calls a second over many nodes. Nodes are killed at any time, and a workspace
may have a single call in a window. Counts that a killed node had not written are missing from the
report, and that single call is the workspace's entire count. Therefore counts are written at once,
except shortly after the node's previous write: all nodes of a large fleet share the append rate of
the log.
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
from ._records import CountsAdded, encode_entry
from ._true_clock import TrueClock

USAGE_TOPIC: Final = "keyed.usage"
# Maximum append rate of all nodes together.
FLEET_APPENDS_PER_S: Final = 150.0
# Collects calls that start at almost the same time into one write.
MIN_WRITE_INTERVAL_S: Final = 0.05
# Half of a window of a few seconds, because the counts of a window must be complete soon after its
# end.
MAX_WRITE_INTERVAL_S: Final = 2.5
RETRY_DELAY_RANGE_S: Final = (0.1, 0.3)


def write_interval_s(node_count: int) -> float:
    """Return the minimum time in seconds between two writes of one node."""
    return min(MAX_WRITE_INTERVAL_S, max(MIN_WRITE_INTERVAL_S, node_count / FLEET_APPENDS_PER_S))


class UsageCounter:
    """Call counts of one node by window and workspace; windows follow :class:`TrueClock`."""

    def __init__(
        self,
        log: KeyedLog,
        clock: TrueClock,
        window_s: float,
        min_interval_s: Callable[[], float],
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Write counts to ``log``, at least ``min_interval_s()`` apart."""
        self._log = log
        self._clock = clock
        self._window_s = window_s
        self._min_interval_s = min_interval_s
        self._written_at_s = -math.inf
        self._observer = observer
        self._logger = observer.log("usage")
        self._rng = rng
        self._writer_id = secrets.token_hex(6)
        self._last_write_number = 0
        self._pending: dict[int, Counter[str]] = {}
        self._has_pending = asyncio.Event()
        self._flushing = asyncio.Event()

    def record_start(self, workspace: str, at_loop_s: float) -> None:
        """Count a call that started at a target at ``at_loop_s``, a time of the event loop."""
        window = int(self._clock.time_at_s(at_loop_s) // self._window_s)
        self._pending.setdefault(window, Counter())[workspace] += 1
        self._observer.counters["usage_counted"] += 1
        self._has_pending.set()

    @property
    def unwritten_calls(self) -> int:
        """Number of counted calls that are not confirmed to be in the log."""
        return sum(counts.total() for counts in self._pending.values())

    def flush_now(self) -> None:
        """Write without delay from now on, because the node is leaving."""
        self._flushing.set()

    async def run(self) -> None:
        """Write counts until cancelled."""
        if self._pending:
            # A failed run took these up and did not write them.
            self._has_pending.set()
        while True:
            await self._has_pending.wait()
            now_s = asyncio.get_running_loop().time()
            wait_s = max(MIN_WRITE_INTERVAL_S, self._written_at_s + self._min_interval_s() - now_s)
            try:
                async with asyncio.timeout(wait_s):
                    await self._flushing.wait()
            except TimeoutError:
                pass
            self._has_pending.clear()
            self._written_at_s = asyncio.get_running_loop().time()
            await self._write()

    async def _write(self) -> None:
        """Write all pending counts, retrying with the same keys until the append is confirmed."""
        snapshot = {window: Counter(counts) for window, counts in self._pending.items()}
        self._last_write_number += 1
        unique = f"{self._writer_id}.{self._last_write_number}"
        entries = [
            encode_entry(CountsAdded(window, snapshot[window]), unique)
            for window in sorted(snapshot)
        ]
        failed = False
        while entries:
            result = await self._log.append(USAGE_TOPIC, entries)
            if result.outcome is AppendOutcome.APPENDED:
                break
            if not failed:
                self._logger.warning(
                    "counts of windows %s not written, retrying: %s",
                    sorted(snapshot),
                    result.detail,
                )
            failed = True
            await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_RANGE_S))
        for window, counts in snapshot.items():
            self._pending[window] -= counts
            if not self._pending[window]:
                del self._pending[window]
        self._observer.counters["usage_appends"] += 1
