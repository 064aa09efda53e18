"""Discovery of nodes through the log, with one record per node.

All seeds in a node's settings may be outdated or down. A node that finds no other would consider
itself the whole fleet, advertise only itself to callers, and claim every service.
"""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from .._decoding import check_address
from ..blackboard import Blackboard
from ..observe import Observer
from ._entry_applier import EntryApplier
from ._follower import TopicFollower
from ._ports import AppendOutcome, KeyedLog, LogEntry

MEMBER_TOPIC: Final = "keyed.members"
# Long poll of the topic: nodes are added rarely, and a new node contacts those it finds here.
READ_WAIT_S: Final = 5.0
RETRY_INTERVAL_RANGE_S: Final = (0.5, 1.5)


class MemberRegistry:
    """Publishes this node's peer address and follows the addresses of the others."""

    def __init__(
        self, log: KeyedLog, board: Blackboard, observer: Observer, rng: random.Random
    ) -> None:
        """Maintain ``listed_nodes`` of ``board``."""
        self._log = log
        self._board = board
        self._logger = observer.log("members")
        self._rng = rng
        self._addresses: dict[str, str] = {}
        self._applier = EntryApplier(MEMBER_TOPIC, self._apply_one, observer)
        self._follower = TopicFollower(
            log, MEMBER_TOPIC, self._apply, observer, rng, read_wait_s=READ_WAIT_S
        )

    async def run(self) -> None:
        """Write this node's record once, and follow the records of the others."""
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
            self._logger.warning("writing this node's record failed: %s", result.detail)
            await asyncio.sleep(self._rng.uniform(*RETRY_INTERVAL_RANGE_S))

    def _apply(self, entries: Sequence[LogEntry], _historical: bool) -> None:
        self._applier.apply(entries)
        own = self._board.identity.node_id
        self._board.listed_nodes = [a for name, a in self._addresses.items() if name != own and a]

    def _apply_one(self, entry: LogEntry) -> None:
        self._addresses[entry.key] = decode_peer_address(entry.value) if entry.value else ""


def decode_peer_address(value: bytes) -> str:
    """Return the peer address in a node's record.

    :raises MalformedError: if it is no IP address with a port.
    """
    return check_address(value.decode("ascii", "replace"))
