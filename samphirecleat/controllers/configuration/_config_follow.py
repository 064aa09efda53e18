"""Decides how a node learns of a new configuration: from the log, or from its peers.

In a small fleet every node reads the log. In a large one a few readers in each
availability zone do, so that the log does not serve a waiting read for every
node; the others hear of a higher revision in the heartbeats and fetch it.
"""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from ...blackboard import Blackboard, Member
from ...config import ConfigState
from ...peers import PeerClient, PeerUnavailableError, rank_members
from ._config_reader import ConfigReader

ALL_READ_MAX_ZONE_SIZE: Final = 5
READERS_PER_ZONE: Final = 2
PERIOD_S: Final = 0.25
SETTLE_PERIODS: Final = 4
PEER_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True)
class ReadLog:
    """Wait at the log for new records."""


@dataclass(frozen=True)
class ListenToPeers:
    """Leave the log to the zone's readers, but for a look now and then."""


ReadingChoice = ReadLog | ListenToPeers


def decide_reading(own_node_id: str, zone: str, members: Sequence[Member]) -> ReadingChoice:
    """Decide whether this node reads the log, from the live members.

    A reader that is cut off from the log says so in its heartbeats. When no
    reader of the zone gets an answer, every node of the zone reads for itself:
    whoever gets through passes the revision on.
    """
    of_zone = [member for member in members if member.zone == zone]
    if len(of_zone) <= ALL_READ_MAX_ZONE_SIZE:
        return ReadLog()
    readers = rank_members(of_zone, "config-readers")[:READERS_PER_ZONE]
    if any(reader.node_id == own_node_id for reader in readers):
        return ReadLog()
    if not any(reader.reads_log for reader in readers):
        return ReadLog()
    return ListenToPeers()


def peers_to_ask(
    state: ConfigState, own_node_id: str, members: Sequence[Member]
) -> Sequence[Member]:
    """Return the members that may know more than this node, none when all is known.

    Those with a higher revision come into question always; when this node has
    missed records of the log, so do those with the same one.
    """
    lowest = state.revision if not state.certain else state.revision + 1
    return [
        member
        for member in members
        if member.node_id != own_node_id and member.config_revision >= lowest
    ]


class ConfigFollower:
    """Fetches the configuration from peers that are ahead, and chooses the readers."""

    def __init__(
        self, board: Blackboard, peers: PeerClient, reader: ConfigReader, rng: random.Random
    ) -> None:
        """Hand what peers tell to ``reader``, the section's one writer."""
        self._board = board
        self._peers = peers
        self._reader = reader
        self._rng = rng

    async def drive(self) -> None:
        """Follow the peers for as long as the node lives."""
        period = 0
        while True:
            # Jitter: all nodes hear of a revision in the same heartbeats.
            await asyncio.sleep(PERIOD_S * (0.5 + self._rng.random()))
            period += 1
            await self.follow_once(settle=period % SETTLE_PERIODS == 0)

    async def follow_once(self, *, settle: bool) -> None:
        """Ask one peer if one may know more; ask to settle a gap only if ``settle``."""
        identity = self._board.identity
        members = self._board.live_members()
        choice = decide_reading(identity.node_id, identity.zone, members)
        self._reader.choose(waits_at_log=isinstance(choice, ReadLog))
        asked = peers_to_ask(self._board.config, identity.node_id, members)
        is_behind = any(m.config_revision > self._board.config.revision for m in asked)
        if not asked or not (is_behind or settle):
            return
        try:
            told = await self._peers.fetch_config(self._rng.choice(asked), PEER_TIMEOUT_S)
        except PeerUnavailableError:
            return
        self._reader.take_from_peer(told)
