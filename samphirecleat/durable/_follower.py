"""Follows one keyed topic: first the newest entry of each key, then every new entry in order."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final

from .._boot_clock import boot_time_s
from ..observe import Observer
from ._ports import HistoryGoneError, KeyedLog, LogEntry, LogUnavailableError

# Long-poll timeout of a read. It bounds the time to detect a stalled connection and the age of
# a confirmed end offset.
READ_WAIT_S: Final = 0.5
# Random delay after a failed read, so that an unavailable store is not called in a tight loop.
RETRY_DELAY_RANGE_S: Final = (0.05, 0.15)

Sink = Callable[[Sequence[LogEntry], bool], None]
"""Receives entries in offset order; the flag says whether they predate the follower.

For a sink that is not ordered, flagged entries are a full snapshot: the newest of every key.
"""


def no_pause() -> float:
    """Return a pause of 0 seconds."""
    return 0.0


class TopicFollower:
    """Delivers the entries of a topic to a sink and tracks when the end was last confirmed."""

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
        """Create a follower that delivers the entries of ``topic`` to ``sink``.

        After a read that returned entries it pauses for ``pause_s`` seconds, to fetch the
        entries that arrive meanwhile in one read. An ``ordered`` sink receives each entry once
        and in offset order; any other receives full snapshots, which may repeat entries.
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
        """Whether the topic has been read to its end at least once."""
        return self.confirmed_at_s >= 0.0

    def age_s(self) -> float:
        """Seconds since the log last confirmed that the follower had reached the end."""
        return boot_time_s() - self.confirmed_at_s

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        unavailable = False
        while True:
            before = self.end
            try:
                await self.advance(self._read_wait_s)
            except LogUnavailableError as error:
                self.unavailable_at_s = boot_time_s()
                if not unavailable:
                    self._logger.warning("topic=%s log unavailable: %s", self._topic, error)
                unavailable = True
                await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_RANGE_S))
                continue
            except Exception:
                if not self._ordered:
                    # The sink may have applied a part of the entries; a snapshot has them all. An
                    # ordered sink ignores entries that it gets again.
                    self.end = -1
                raise
            if unavailable:
                self._logger.info("topic=%s log available again end=%d", self._topic, self.end)
            unavailable = False
            pause_s = self._pause_s() if self.caught_up and self.end > before else 0.0
            if pause_s > 0.0:
                await self._pause(pause_s)

    def skip_pause(self) -> None:
        """End the current pause, if any, because a caller waits for new entries."""
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
        """Read once and deliver the new entries.

        :raises LogUnavailableError: when the log gives no usable response.
        """
        if self.end < 0 and self._ordered:
            # While the full history is retained, reading it is cheaper than a snapshot: no key is
            # repeated and nothing is encoded as text.
            self.end = 0
        elif self.end < 0:
            await self._snapshot()
            return
        try:
            chunk = await self._log.read(self._topic, self.end, wait_s)
        except HistoryGoneError:
            self._logger.warning(
                "topic=%s history no longer retained at offset %d; reading a snapshot",
                self._topic,
                self.end,
            )
            await self._snapshot()
            return
        self._deliver(chunk.entries, chunk.end)

    async def confirm(self, timeout_s: float) -> bool:
        """Deliver everything that is in the log now; return False if that was not confirmed."""
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
            # Entries appended while the snapshot pages were read may have gaps between them; these
            # are read again from the end of the snapshot.
            entries = [entry for entry in entries if self.end <= entry.offset < snapshot.end]
        self._logger.info("topic=%s newest=%d end=%d", self._topic, len(entries), snapshot.end)
        self._sink(entries, True)
        self.end = max(self.end, snapshot.end)
        self._mark_confirmed()

    def _deliver(self, entries: Sequence[LogEntry], end: int) -> None:
        # Two reads may be in flight at once; entries that the other one delivered are skipped.
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
