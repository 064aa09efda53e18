"""Reads the host list, a delayed and fallible source of node and target addresses."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..._waiting import wait_for_event
from ...blackboard import Blackboard, Member
from ...observe import Observer
from ...peers import HostListChange, Message, PeerClient, PeerUnavailableError
from ...platform import HostListUnavailableError, HttpHostList, ListedHost
from ._accepted_rows import accept_rows

ENTRY_SERVICE: Final = "entry"
READERS_PER_PERIOD: Final = 16
TRANSMISSIONS_PER_CHANGE: Final = 10
REMOVED_ROW_TTL_S: Final = 600.0
CHANGES_PER_MESSAGE: Final = 4
PEERS_QUERIED: Final = 3
PEER_TIMEOUT_S: Final = 0.5


class ListedRow(NamedTuple):
    """A row as last read by any node; ``row`` is None once it left the list."""

    row: ListedHost | None
    read_at_s: float


def reading_period_s(period_s: float, node_count: int) -> float:
    """Return the read period of one node, so that the fleet's total read rate is bounded.

    Every read returns the whole list. Up to 16 nodes read it every ``period_s``; in a
    larger fleet each node reads less often, and nodes tell each other about changes.
    """
    return period_s * max(1.0, node_count / READERS_PER_PERIOD)


class HostListTable:
    """This node's copy of the host list, and the changes to pass on. Performs no I/O."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.rows: dict[str, ListedRow] = {}
        self._pending: OrderedDict[str, int] = OrderedDict()

    def update(self, rows: Sequence[ListedHost], now_s: float) -> None:
        """Apply a list that this node read itself."""
        read_rows = {row.address: row for row in rows}
        for address in set(read_rows) | set(self.rows):
            self._set_row(address, read_rows.get(address), now_s)
        self.rows = {
            address: listed
            for address, listed in self.rows.items()
            if listed.row is not None or listed.read_at_s > now_s - REMOVED_ROW_TTL_S
        }

    def apply_change(self, change: HostListChange, now_s: float) -> None:
        """Apply a change read by another node, unless this node has a later reading."""
        row = ListedHost(change.address, change.service, change.zone, change.leaving)
        read_at_s = now_s - change.age_ms / 1000.0
        self._set_row(change.address, row if change.present else None, read_at_s)

    def take_changes(self, now_s: float) -> Sequence[HostListChange]:
        """Return pending changes for one datagram, counting one transmission of each."""
        addresses = list(self._pending)[:CHANGES_PER_MESSAGE]
        for address in addresses:
            self._pending[address] -= 1
            if not self._pending[address]:
                del self._pending[address]
        return [self._change(address, now_s) for address in addresses]

    def present_rows(self) -> Sequence[ListedHost]:
        """Return the rows that are currently on the list."""
        return [listed.row for listed in self.rows.values() if listed.row is not None]

    def _set_row(self, address: str, row: ListedHost | None, read_at_s: float) -> None:
        known = self.rows.get(address)
        if known is not None and (read_at_s <= known.read_at_s or known.row is row is None):
            return
        self.rows[address] = ListedRow(row, read_at_s)
        if known is None or known.row != row:
            self._pending[address] = TRANSMISSIONS_PER_CHANGE

    def _change(self, address: str, now_s: float) -> HostListChange:
        listed = self.rows.get(address, ListedRow(None, now_s - REMOVED_ROW_TTL_S))
        row = listed.row or ListedHost(address, "", "", False)
        age_ms = max(0, int((now_s - listed.read_at_s) * 1000.0))
        present = listed.row is not None
        return HostListChange(address, row.service, row.zone, row.leaving, present, age_ms)


class Discovery:
    """Writes the nodes and targets of the host list to the blackboard."""

    def __init__(
        self,
        board: Blackboard,
        host_list: HttpHostList,
        observer: Observer,
        period_s: float,
        rng: random.Random | None = None,
        peers: PeerClient | None = None,
    ) -> None:
        """Read the list every ``period_s`` in a small fleet, less often in a large one."""
        self._board = board
        self._host_list = host_list
        self._observer = observer
        self._period_s = period_s
        self._rng = rng or random.Random()
        self._peers = peers
        self._loss_since_s: float | None = None
        self._refresh_requested = asyncio.Event()
        self.table = HostListTable()

    async def drive(self) -> None:
        """Read the list periodically until cancelled."""
        while True:
            requested = self._refresh_requested.is_set()
            self._refresh_requested.clear()
            try:
                rows = await self._host_list.read()
            except HostListUnavailableError as error:
                self._observer.log("hosts").warning("Failed to read the host list: %s.", error)
                if requested and self._peers is not None:
                    await self._fetch_from_peers()
            else:
                self._apply_read(rows, asyncio.get_running_loop().time())
            period_s = reading_period_s(self._period_s, len(self._board.live_members()))
            # Jitter, so that different nodes find a change at different times.
            await wait_for_event(
                self._refresh_requested, period_s * (0.75 + 0.5 * self._rng.random())
            )

    def request_refresh(self) -> None:
        """Read the list now, or fetch it from other nodes, after this process was paused."""
        self._refresh_requested.set()

    async def _fetch_from_peers(self) -> None:
        """Fetch the list from other nodes while it can't be read.

        A process that was paused missed the changes passed on meanwhile. If the peers
        disagree about a target, ``leaving`` wins, since a peer may have been paused as well.
        """
        own_id = self._board.identity.node_id
        others = [m for m in self._board.live_members() if m.node_id != own_id]
        queried = self._rng.sample(others, min(PEERS_QUERIED, len(others)))
        fetched: dict[str, ListedHost] = {}
        for member in queried:
            for row in await self._fetch(member):
                known = fetched.get(row.address)
                if known is None or row.leaving:
                    fetched[row.address] = row
        now_s = asyncio.get_running_loop().time()
        for row in fetched.values():
            change = HostListChange(row.address, row.service, row.zone, row.leaving, True, 0)
            self.table.apply_change(change, now_s)
        if fetched:
            self._write_board()
            self._board.listed_at_s = now_s

    async def _fetch(self, member: Member) -> Sequence[ListedHost]:
        assert self._peers is not None
        try:
            return await self._peers.fetch_host_list(member, PEER_TIMEOUT_S)
        except PeerUnavailableError:
            return ()

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Return the message with pending host list changes added."""
        return message._replace(host_list_changes=self.table.take_changes(now_s))

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Apply the host list changes of a message from another node."""
        if not message.host_list_changes:
            return
        for change in message.host_list_changes:
            self.table.apply_change(change, now_s)
        self._write_board()

    def _apply_read(self, fetched: Sequence[ListedHost], now_s: float) -> None:
        accepted = accept_rows(self.table.present_rows(), fetched, self._loss_since_s, now_s)
        if accepted.loss_since_s is not None and self._loss_since_s is None:
            self._observer.log("hosts").warning(
                "Host list shrank to %d rows; keeping the missing rows for now.", len(fetched)
            )
        self._loss_since_s = accepted.loss_since_s
        self.table.update(accepted.rows, now_s)
        self._write_board()
        self._board.listed_at_s = now_s

    def _write_board(self) -> None:
        rows = self.table.present_rows()
        listed_targets = _targets(rows)
        self._board.listed_nodes = [row.address for row in rows if row.service == ENTRY_SERVICE]
        if listed_targets != self._board.listed_targets:
            self._board.listed_targets = listed_targets


def _targets(rows: Sequence[ListedHost]) -> Mapping[str, tuple[str, str, bool]]:
    return {
        row.address: (row.service, row.zone, row.leaving)
        for row in rows
        if row.service != ENTRY_SERVICE
    }
