"""Follows one keyed topic: the newest of each key first, then every entry in order."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

from .._boot_clock import boot_time_s
from ..observe import Observer
from ._ports import HistoryGoneError, KeyedLog, LogEntry, LogUnavailableError

# One read waits this long for news. It bounds how long a reader takes to see that a
# connection went silent, and how old a confirmed end can be.
READ_WAIT_S: Final = 0.5
# Between failed reads, so that a store that is down is not called in a tight loop.
RETRY_DELAY_RANGE_S: Final = (0.05, 0.15)

Sink = Callable[[Sequence[LogEntry], bool], None]
"""Takes entries in offset order; the flag says that they were there before the follower was.

For a sink that is not ordered they are then the newest of every key, and all of them.
"""


def no_pause() -> float:
    """Read on at once."""
    return 0.0


class TopicFollower:
    """Hands a topic's entries to a sink, once each, and knows how fresh that is."""

    def __init__(
        self,
        log: KeyedLog,
        topic: str,
        sink: Sink,
        observer: Observer,
        rng: random.Random,
        *,
        ordered: bool = False,
        read_wait_s: float = READ_WAIT_S,
        pause_s: Callable[[], float] = no_pause,
    ) -> None:
        """Follow ``topic`` for ``sink``.

        After news it pauses for ``pause_s`` and takes what came meanwhile in one read.
        An ``ordered`` sink gets each entry once and in offset order; any other gets
        the newest entries whole, of which some may come again.
        """
        self._log = log
        self._topic = topic
        self._ordered = ordered
        self._read_wait_s = read_wait_s
        self._pause_s = pause_s
        self._sink = sink
        self._observer = observer
        self._rng = rng
        self._logger = observer.log("follow")
        self.end = -1
        self.confirmed_at_s = -1e9
        self.unavailable_at_s = -1e9
        self._pause_skipped = asyncio.Event()
        self.pausing = False

    @property
    def caught_up(self) -> bool:
        """Whether the topic was read to an end at least once."""
        return self.confirmed_at_s >= 0.0

    def age_s(self) -> float:
        """How long ago the log confirmed that nothing more was there."""
        return boot_time_s() - self.confirmed_at_s

    async def run(self) -> None:
        """Follow for as long as the node lives."""
        unavailable = False
        while True:
            before = self.end
            try:
                await self.advance(self._read_wait_s)
            except LogUnavailableError as error:
                self.unavailable_at_s = boot_time_s()
                if not unavailable:
                    self._logger.warning("topic=%s lost: %s", self._topic, error)
                unavailable = True
                await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_RANGE_S))
                continue
            if unavailable:
                self._logger.info("topic=%s regained end=%d", self._topic, self.end)
            unavailable = False
            pause_s = self._pause_s() if self.caught_up and self.end > before else 0.0
            if pause_s > 0.0:
                await self._pause(pause_s)

    def skip_pause(self) -> None:
        """Read on at once if the follower pauses: somebody waits for what is new."""
        if self.pausing:
            self._pause_skipped.set()

    async def _pause(self, pause_s: float) -> None:
        self._pause_skipped.clear()
        self.pausing = True
        try:
            async with asyncio.timeout(pause_s):
                await self._pause_skipped.wait()
        except TimeoutError:
            return
        finally:
            self.pausing = False

    async def advance(self, wait_s: float) -> None:
        """Read once and hand on what is new.

        :raises LogUnavailableError: when the log gives no answer.
        """
        if self.end < 0 and self._ordered:
            # As long as the history is whole it is the shortest way: no key is repeated
            # and nothing is encoded as text.
            self.end = 0
        elif self.end < 0:
            await self._snapshot()
            return
        try:
            chunk = await self._log.read(self._topic, self.end, wait_s)
        except HistoryGoneError:
            self._logger.warning("topic=%s history gone before %d", self._topic, self.end)
            await self._snapshot()
            return
        self._deliver(chunk.entries, chunk.end)

    async def confirm(self, timeout_s: float) -> bool:
        """Take all that is in the log now; False when that is not known to have worked."""
        began_s = boot_time_s()
        try:
            async with asyncio.timeout(timeout_s):
                while self.confirmed_at_s < began_s:
                    await self.advance(0.0)
        except (TimeoutError, LogUnavailableError):
            return False
        return True

    async def _snapshot(self) -> None:
        snapshot = await self._log.newest(self._topic)
        entries = sorted(snapshot.entries)
        if self._ordered:
            # What was appended while the pages were read may lack an entry in between;
            # it is read again from the end on.
            entries = [entry for entry in entries if self.end <= entry.offset < snapshot.end]
        self._logger.info("topic=%s newest=%d end=%d", self._topic, len(entries), snapshot.end)
        self._sink(entries, True)
        self.end = max(self.end, snapshot.end)
        self._mark_confirmed()

    def _deliver(self, entries: Sequence[LogEntry], end: int) -> None:
        # Two reads may be under way at once; what the other brought is not taken twice.
        fresh = [entry for entry in entries if entry.offset >= self.end]
        if fresh:
            self._sink(fresh, not self.caught_up)
            self.end = fresh[-1].offset + 1
        if self.end >= end:
            self._mark_confirmed()

    def _mark_confirmed(self) -> None:
        if not self.caught_up:
            self._logger.info("topic=%s caught up end=%d", self._topic, self.end)
        self.confirmed_at_s = boot_time_s()
