"""Keeps the configuration section up to date from the log, and states it again there."""

import asyncio
import random
from typing import Final

from ..._waiting import wait_for_event
from ...blackboard import Blackboard
from ...config import (
    ConfigState,
    Restatement,
    adopt_peer_state,
    fold_records,
    restatement_payload,
)
from ...observe import Observer
from ...peers import rank_members
from ...platform import Log, LogUnavailableError, ReadPatience
from ._config_restate import (
    LeaveStated,
    Restate,
    StatementView,
    decide_restatement,
    note_batch,
    note_outage,
)

CONFIG_STREAM: Final = "config"
RETRY_S: Final = 0.2
LONGEST_RETRY_S: Final = 2.0
LISTEN_READ_S: Final = 60.0
RESTATE_PERIOD_S: Final = 0.5


class ConfigReader:
    """Folds the configuration stream, takes over peers' states, and restates."""

    def __init__(
        self,
        board: Blackboard,
        log: Log,
        observer: Observer,
        rng: random.Random,
        *,
        wait_s: float,
        retention_s: float,
    ) -> None:
        """Wait up to ``wait_s`` in each read; the log keeps records ``retention_s``."""
        self._board = board
        self._log = log
        self._observer = observer
        self._rng = rng
        self._wait_s = wait_s
        self._retention_s = retention_s
        self._patience = ReadPatience()
        self._statement = StatementView()
        self._jitter = rng.random()
        self._waits_at_log = True
        self._chosen = asyncio.Event()
        self._retry_s = RETRY_S
        self._restate_again_at_s = 0.0
        self.reads_log = False

    async def drive(self) -> None:
        """Read the log for as long as the node lives."""
        while True:
            if not self._waits_at_log:
                await self._listen()
            try:
                await self._read_once()
                self._retry_s = RETRY_S
            except LogUnavailableError as error:
                self._note_outage(error)
                # Jitter: all nodes meet the outage at once and would return at once.
                await asyncio.sleep(self._retry_s * (0.5 + self._rng.random()))
                self._retry_s = min(LONGEST_RETRY_S, self._retry_s * 2.0)

    async def drive_restatement(self) -> None:
        """State the accepted state again, when it is time, for as long as the node lives."""
        while True:
            await asyncio.sleep(RESTATE_PERIOD_S * (0.5 + self._rng.random()))
            await self.restate_once()

    def choose(self, *, waits_at_log: bool) -> None:
        """Set whether this node waits at the log or only looks now and then."""
        self._waits_at_log = waits_at_log
        if waits_at_log:
            self._chosen.set()
        else:
            self._chosen.clear()

    def take_from_peer(self, restatement: Restatement) -> None:
        """Take over a peer's state if it knows more than this node."""
        self._put(adopt_peer_state(self._board.config, restatement))

    async def restate_once(self) -> None:
        """Append the accepted state once if it is due and this node's turn."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._restate_again_at_s or self._board.leaving:
            return
        action = decide_restatement(
            self._statement,
            self._board.config,
            rank=self._rank(),
            jitter=self._jitter,
            retention_s=self._retention_s,
            now_s=now_s,
        )
        match action:
            case LeaveStated():
                return
            case Restate(restatement=restatement):
                # The append may take effect unseen. Its record is awaited before
                # another try; a second restatement would only be waste.
                pause_s = self._wait_s + LONGEST_RETRY_S
                self._restate_again_at_s = now_s + pause_s * (1.0 + self._rng.random())
                payload = restatement_payload(restatement)
                appended = await self._log.append(CONFIG_STREAM, payload)
                self._observer.log("config").info(
                    "Restated revision %d: %s.", restatement.revision, appended.outcome.value
                )

    def _rank(self) -> int:
        ranked = rank_members(self._board.live_members(), "config-restatement")
        ids = [member.node_id for member in ranked]
        own_id = self._board.identity.node_id
        return ids.index(own_id) if own_id in ids else len(ids)

    async def _listen(self) -> None:
        """Return when this node is to read, or has not looked for long."""
        pause_s = LISTEN_READ_S * (0.5 + self._rng.random())
        await wait_for_event(self._chosen, pause_s)

    async def _read_once(self) -> None:
        state = self._board.config
        from_offset = state.folded_to + 1
        sent_at_s = asyncio.get_running_loop().time()
        wait_s = self._wait_s if self._waits_at_log else 0.0
        batch = await self._patience.read(self._log, CONFIG_STREAM, from_offset, wait_s)
        self.reads_log = True
        if batch.next_offset < from_offset:
            # The stream is shorter than what was read from it: the log was set up
            # anew. Its lower offsets could only make the revision fall.
            self._observer.log("config").error(
                "The log ends at offset %d, before %d.", batch.next_offset, from_offset
            )
            await asyncio.sleep(LONGEST_RETRY_S)
            return
        self._put(fold_records(self._board.config, batch.records, batch.first_kept_offset))
        self._statement = note_batch(self._statement, batch, self._board.config, sent_at_s)

    def _put(self, state: ConfigState) -> None:
        before = self._board.config
        self._board.config = state
        if state.revision != before.revision:
            self._observer.log("config").info("Revision %d is in force.", state.revision)
        if before.certain and not state.certain:
            self._observer.log("config").warning(
                "Records before offset %d were trimmed unread.", state.unread_below
            )

    def _note_outage(self, error: LogUnavailableError) -> None:
        if self.reads_log:
            self._observer.log("config").warning("Log not readable: %s.", error)
        self.reads_log = False
        self._statement = note_outage(self._statement)
