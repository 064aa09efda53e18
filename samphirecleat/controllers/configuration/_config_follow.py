"""Decides whether a node learns of a new configuration from the log or from peers.

In a small zone every node reads the log. In a larger one a few readers per
availability zone do, so that the log does not serve a long poll for every node; the
other nodes learn of a higher revision from the heartbeats and fetch it from a peer.
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
POLL_PERIOD_S: Final = 0.25
GAP_CHECK_PERIODS: Final = 4
PEER_TIMEOUT_S: Final = 1.0


@dataclass(frozen=True)
class ReadLog:
    """Long-poll the log for new records."""


@dataclass(frozen=True)
class FollowPeers:
    """Leave the log to the readers of the zone, except for an occasional read."""


ConfigSource = ReadLog | FollowPeers


def choose_config_source(own_node_id: str, zone: str, members: Sequence[Member]) -> ConfigSource:
    """Decide whether this node reads the log, based on the live members.

    A reader that can't reach the log reports so in its heartbeats. If no reader of the
    zone reaches the log, every node of the zone reads it, and any that succeeds passes
    the revision on.
    """
    zone_members = [member for member in members if member.zone == zone]
    if len(zone_members) <= ALL_READ_MAX_ZONE_SIZE:
        return ReadLog()
    readers = rank_members(zone_members, "config-readers")[:READERS_PER_ZONE]
    if any(reader.node_id == own_node_id for reader in readers):
        return ReadLog()
    if not any(reader.reads_log for reader in readers):
        return ReadLog()
    return FollowPeers()


def peers_to_ask(
    state: ConfigState, own_node_id: str, members: Sequence[Member]
) -> Sequence[Member]:
    """Return the members that may know more than this node; empty if there are none.

    Members with a higher revision always qualify; if this node has missed records of the
    log, so do those with the same revision.
    """
    lowest = state.revision if not state.certain else state.revision + 1
    return [
        member
        for member in members
        if member.node_id != own_node_id and member.config_revision >= lowest
    ]


class ConfigFollower:
    """Fetches the configuration from peers that are ahead, and selects the log readers."""

    def __init__(
        self, board: Blackboard, peers: PeerClient, reader: ConfigReader, rng: random.Random
    ) -> None:
        """Pass fetched configurations to ``reader``, the only writer of the section."""
        self._board = board
        self._peers = peers
        self._reader = reader
        self._rng = rng

    async def drive(self) -> None:
        """Follow the peers until cancelled."""
        period = 0
        while True:
            # Jitter, because all nodes learn of a revision in the same heartbeats.
            await asyncio.sleep(POLL_PERIOD_S * (0.5 + self._rng.random()))
            period += 1
            await self.follow_once(resolve_gap=period % GAP_CHECK_PERIODS == 0)

    async def follow_once(self, *, resolve_gap: bool) -> None:
        """Fetch from one peer that may know more than this node.

        If no peer has a higher revision, a peer is asked about missed records only if
        ``resolve_gap``.
        """
        identity = self._board.identity
        members = self._board.live_members()
        choice = choose_config_source(identity.node_id, identity.zone, members)
        self._reader.set_long_polling(enabled=isinstance(choice, ReadLog))
        candidates = peers_to_ask(self._board.config, identity.node_id, members)
        is_behind = any(m.config_revision > self._board.config.revision for m in candidates)
        if not candidates or not (is_behind or resolve_gap):
            return
        try:
            restatement = await self._peers.fetch_config(
                self._rng.choice(candidates), PEER_TIMEOUT_S
            )
        except PeerUnavailableError:
            return
        self._reader.adopt_from_peer(restatement)
