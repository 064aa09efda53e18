"""Updates the configuration section from the log, and restates it in the log."""

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
from ...platform import AdaptiveReadTimeout, Log, LogUnavailableError
from ._config_restate import (
    RecordedState,
    Restate,
    SkipRestatement,
    decide_restatement,
    view_after_batch,
    view_after_outage,
)

CONFIG_STREAM: Final = "config"
RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 2.0
FALLBACK_READ_PERIOD_S: Final = 60.0
RESTATE_PERIOD_S: Final = 0.5


class ConfigReader:
    """Folds the configuration stream, adopts peers' states, and appends restatements."""

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
        """Create a reader.

        Each read waits up to ``wait_s`` for new records; the log keeps records for
        ``retention_s``.
        """
        self._board = board
        self._log = log
        self._observer = observer
        self._rng = rng
        self._wait_s = wait_s
        self._retention_s = retention_s
        self._read_timeout = AdaptiveReadTimeout()
        self._recorded_state = RecordedState()
        self._jitter = rng.random()
        self._long_polls = True
        self._long_polling_enabled = asyncio.Event()
        self._retry_s = RETRY_S
        self._next_restatement_at_s = 0.0
        self.reads_log = False

    async def drive(self) -> None:
        """Read the log until cancelled."""
        while True:
            if not self._long_polls:
                await self._wait_for_next_read()
            try:
                await self._read_once()
                self._retry_s = RETRY_S
            except LogUnavailableError as error:
                self._handle_outage(error)
                # Jitter, so that nodes do not all reconnect at once after an outage.
                await asyncio.sleep(self._retry_s * (0.5 + self._rng.random()))
                self._retry_s = min(MAX_RETRY_S, self._retry_s * 2.0)

    async def drive_restatement(self) -> None:
        """Restate the accepted state whenever it is due, until cancelled."""
        while True:
            await asyncio.sleep(RESTATE_PERIOD_S * (0.5 + self._rng.random()))
            await self.restate_once()

    def set_long_polling(self, *, enabled: bool) -> None:
        """Set whether this node long-polls the log or only reads it occasionally."""
        self._long_polls = enabled
        if enabled:
            self._long_polling_enabled.set()
        else:
            self._long_polling_enabled.clear()

    def adopt_from_peer(self, restatement: Restatement) -> None:
        """Adopt a peer's state if it is ahead of this node's."""
        self._set_state(adopt_peer_state(self._board.config, restatement))

    async def restate_once(self) -> None:
        """Append the accepted state if a restatement is due and it is this node's turn."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_restatement_at_s or self._board.leaving:
            return
        action = decide_restatement(
            self._recorded_state,
            self._board.config,
            rank=self._rank(),
            jitter=self._jitter,
            retention_s=self._retention_s,
            now_s=now_s,
        )
        match action:
            case SkipRestatement():
                return
            case Restate(restatement=restatement):
                # An append reported as failed may still take effect. Its record is
                # awaited before a retry, which could be redundant.
                pause_s = self._wait_s + MAX_RETRY_S
                self._next_restatement_at_s = now_s + pause_s * (1.0 + self._rng.random())
                payload = restatement_payload(restatement)
                appended = await self._log.append(CONFIG_STREAM, payload)
                self._observer.log("config").info(
                    "Restatement of revision %d: %s.",
                    restatement.revision,
                    appended.outcome.value,
                )

    def _rank(self) -> int:
        ranked = rank_members(self._board.live_members(), "config-restatement")
        ids = [member.node_id for member in ranked]
        own_id = self._board.identity.node_id
        return ids.index(own_id) if own_id in ids else len(ids)

    async def _wait_for_next_read(self) -> None:
        """Return when long polling is enabled or the next occasional read is due."""
        pause_s = FALLBACK_READ_PERIOD_S * (0.5 + self._rng.random())
        await wait_for_event(self._long_polling_enabled, pause_s)

    async def _read_once(self) -> None:
        state = self._board.config
        from_offset = state.folded_to + 1
        sent_at_s = asyncio.get_running_loop().time()
        wait_s = self._wait_s if self._long_polls else 0.0
        batch = await self._read_timeout.read(self._log, CONFIG_STREAM, from_offset, wait_s)
        self.reads_log = True
        if batch.next_offset < from_offset:
            # The stream is shorter than what was already read, so the log was
            # recreated. Applying its lower offsets could only lower the revision.
            self._observer.log("config").error(
                "Log ends at offset %d, before the read position %d.",
                batch.next_offset,
                from_offset,
            )
            await asyncio.sleep(MAX_RETRY_S)
            return
        self._set_state(fold_records(self._board.config, batch.records, batch.first_kept_offset))
        self._recorded_state = view_after_batch(
            self._recorded_state, batch, self._board.config, sent_at_s
        )

    def _set_state(self, state: ConfigState) -> None:
        before = self._board.config
        self._board.config = state
        if state.revision != before.revision:
            self._observer.log("config").info("Revision %d is in force.", state.revision)
        if before.certain and not state.certain:
            self._observer.log("config").warning(
                "Records before offset %d were trimmed before they were read.",
                state.unread_below,
            )

    def _handle_outage(self, error: LogUnavailableError) -> None:
        if self.reads_log:
            self._observer.log("config").warning("Failed to read the log: %s.", error)
        self.reads_log = False
        self._recorded_state = view_after_outage(self._recorded_state)
