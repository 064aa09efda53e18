"""Keeps the configuration section up to date from the log."""

import asyncio
import random
from typing import Final

from ..blackboard import Blackboard
from ..config import Restatement, adopt_peer_state, fold_records
from ..observe import Observer
from ..platform import Log, LogUnavailableError

CONFIG_STREAM: Final = "config"
RETRY_S: Final = 0.5


class ConfigReader:
    """Folds the configuration stream, and takes over what peers have in force."""

    def __init__(
        self, board: Blackboard, log: Log, observer: Observer, rng: random.Random, wait_s: float
    ) -> None:
        """Wait up to ``wait_s`` in each read of the log."""
        self._board = board
        self._log = log
        self._observer = observer
        self._rng = rng
        self._wait_s = wait_s

    async def drive(self) -> None:
        """Read the log for as long as the node lives."""
        while True:
            try:
                await self._read_once()
            except LogUnavailableError as error:
                self._observer.log("config").warning("Log not readable: %s.", error)
                # Jitter: all nodes meet the outage at once and would return at once.
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))

    def take_from_peer(self, restatement: Restatement) -> None:
        """Take over a peer's state if it is ahead of this node's."""
        self._board.config = adopt_peer_state(self._board.config, restatement)

    async def _read_once(self) -> None:
        from_offset = self._board.config.folded_to + 1
        batch = await self._log.read(CONFIG_STREAM, from_offset, self._wait_s)
        before = self._board.config.revision
        self._board.config = fold_records(
            self._board.config, batch.records, batch.first_kept_offset
        )
        after = self._board.config.revision
        if after != before:
            self._observer.log("config").info("Revision %d is in force.", after)
