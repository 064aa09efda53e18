"""Where nodes find each other: one record for each node in the log.

The seeds of a node's settings may all be stale or down. A node that joined nobody would take
itself for the whole fleet, offer itself alone to callers, and claim every service.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from ..blackboard import Blackboard
from ..observe import Observer
from ._follower import TopicFollower
from ._ports import AppendOutcome, KeyedLog, LogEntry

MEMBER_TOPIC: Final = "keyed.members"
# Nodes come rarely, and a new one makes itself heard to those that it finds here.
READ_WAIT_S: Final = 5.0
RETRY_S: Final = (0.5, 1.5)


class MemberRegistry:
    """Writes where this node can be found, and keeps the addresses of the others."""

    def __init__(
        self, log: KeyedLog, board: Blackboard, observer: Observer, rng: random.Random
    ) -> None:
        """Keep the board's section of listed nodes."""
        self._log = log
        self._board = board
        self._words = observer.log("members")
        self._rng = rng
        self._addresses: dict[str, str] = {}
        self._follower = TopicFollower(
            log, MEMBER_TOPIC, self._take, observer, rng, read_wait_s=READ_WAIT_S
        )

    async def run(self) -> None:
        """Write this node's record once, and follow those of the others."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._write())

    async def _write(self) -> None:
        identity = self._board.identity
        entry = (identity.node_id, identity.peer_address.encode())
        while True:
            result = await self._log.append(MEMBER_TOPIC, [entry])
            if result.outcome is AppendOutcome.APPENDED:
                return
            self._words.warning("own record not written: %s", result.detail)
            await asyncio.sleep(self._rng.uniform(*RETRY_S))

    def _take(self, entries: Sequence[LogEntry], _past: bool) -> None:
        for entry in entries:
            self._addresses[entry.key] = entry.value.decode("ascii", "replace")
        own = self._board.identity.node_id
        self._board.listed_nodes = [a for name, a in self._addresses.items() if name != own and a]
