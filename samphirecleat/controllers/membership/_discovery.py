"""Reads the host list, a late hint of which nodes and targets there are."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import Final, NamedTuple

from ..._waiting import wait_for_event
from ...blackboard import Blackboard, Member
from ...observe import Observer
from ...peers import ListedChange, Message, PeerClient, PeerUnavailableError
from ...platform import HostListUnavailableError, HttpHostList, ListedHost
from ._list_doubt import believe_rows

ENTRY_SERVICE: Final = "entry"
READERS_AT_ONCE: Final = 16
TELL_TIMES: Final = 10
REMEMBER_GONE_S: Final = 600.0
CHANGES_PER_MESSAGE: Final = 4
PEERS_ASKED: Final = 3
PEER_TIMEOUT_S: Final = 0.5


class ListedRow(NamedTuple):
    """A row as last read by some node, None once it was gone from the list."""

    row: ListedHost | None
    read_at_s: float


def reading_period_s(period_s: float, node_count: int) -> float:
    """Return how often one node reads the list, so that all together read it evenly.

    The whole list is sent at each read. Up to 16 nodes read it every ``period_s``;
    of more, each reads it less often, and what one finds changed it tells the others.
    """
    return period_s * max(1.0, node_count / READERS_AT_ONCE)


class HostListTable:
    """The list as this node knows it, and the changes that it passes on. Pure."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.rows: dict[str, ListedRow] = {}
        self._untold: OrderedDict[str, int] = OrderedDict()

    def update(self, rows: Sequence[ListedHost], now_s: float) -> None:
        """Take in a list that this node read itself."""
        fresh = {row.address: row for row in rows}
        for address in set(fresh) | set(self.rows):
            self._note(address, fresh.get(address), now_s)
        self.rows = {
            address: listed
            for address, listed in self.rows.items()
            if listed.row is not None or listed.read_at_s > now_s - REMEMBER_GONE_S
        }

    def apply_change(self, change: ListedChange, now_s: float) -> None:
        """Take in what another node read, unless this node has a later reading."""
        row = ListedHost(change.address, change.service, change.zone, change.leaving)
        read_at_s = now_s - change.age_ms / 1000.0
        self._note(change.address, row if change.present else None, read_at_s)

    def take_changes(self, now_s: float) -> Sequence[ListedChange]:
        """Return changes for one datagram."""
        told = list(self._untold)[:CHANGES_PER_MESSAGE]
        for address in told:
            self._untold[address] -= 1
            if not self._untold[address]:
                del self._untold[address]
        return [self._change(address, now_s) for address in told]

    def present_rows(self) -> Sequence[ListedHost]:
        """Return the rows that are on the list."""
        return [listed.row for listed in self.rows.values() if listed.row is not None]

    def _note(self, address: str, row: ListedHost | None, read_at_s: float) -> None:
        known = self.rows.get(address)
        if known is not None and (read_at_s <= known.read_at_s or known.row is row is None):
            return
        self.rows[address] = ListedRow(row, read_at_s)
        if known is None or known.row != row:
            self._untold[address] = TELL_TIMES

    def _change(self, address: str, now_s: float) -> ListedChange:
        listed = self.rows.get(address, ListedRow(None, now_s - REMEMBER_GONE_S))
        row = listed.row or ListedHost(address, "", "", False)
        age_ms = max(0, int((now_s - listed.read_at_s) * 1000.0))
        present = listed.row is not None
        return ListedChange(address, row.service, row.zone, row.leaving, present, age_ms)


class Discovery:
    """Writes what the host list shows to the blackboard."""

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
        self._doubted_since_s: float | None = None
        self._asked_anew = asyncio.Event()
        self.table = HostListTable()

    async def drive(self) -> None:
        """Read the list for as long as the node lives."""
        while True:
            anew = self._asked_anew.is_set()
            self._asked_anew.clear()
            try:
                rows = await self._host_list.read()
            except HostListUnavailableError as error:
                self._observer.log("hosts").warning("Host list not readable: %s.", error)
                if anew and self._peers is not None:
                    await self._ask_peers()
            else:
                self._take(rows, asyncio.get_running_loop().time())
            period_s = reading_period_s(self._period_s, len(self._board.live_members()))
            # Jitter: nodes that read together would find the same change together.
            await wait_for_event(self._asked_anew, period_s * (0.75 + 0.5 * self._rng.random()))

    def request_refresh(self) -> None:
        """Read the list at once, or ask other nodes for it, after a pause of this process."""
        self._asked_anew.set()

    async def _ask_peers(self) -> None:
        """Take over what other nodes know of the list while it can not be read.

        A process that stood still missed the changes that others passed on. Of a
        target about which they disagree, the word that it leaves counts: the one
        asked may have stood still as well.
        """
        own_id = self._board.identity.node_id
        others = [m for m in self._board.live_members() if m.node_id != own_id]
        asked = self._rng.sample(others, min(PEERS_ASKED, len(others)))
        told: dict[str, ListedHost] = {}
        for member in asked:
            for row in await self._fetch(member):
                known = told.get(row.address)
                if known is None or row.leaving:
                    told[row.address] = row
        now_s = asyncio.get_running_loop().time()
        for row in told.values():
            change = ListedChange(row.address, row.service, row.zone, row.leaving, True, 0)
            self.table.apply_change(change, now_s)
        if told:
            self._write()
            self._board.listed_at_s = now_s

    async def _fetch(self, member: Member) -> Sequence[ListedHost]:
        assert self._peers is not None
        try:
            return await self._peers.fetch_listed(member, PEER_TIMEOUT_S)
        except PeerUnavailableError:
            return ()

    def add_updates(self, message: Message, now_s: float) -> Message:
        """Put changes of the list into a datagram to other nodes."""
        return message._replace(listed=self.table.take_changes(now_s))

    def apply_updates(self, message: Message, now_s: float) -> None:
        """Take in changes that another node read."""
        if not message.listed:
            return
        for change in message.listed:
            self.table.apply_change(change, now_s)
        self._write()

    def _take(self, told: Sequence[ListedHost], now_s: float) -> None:
        believed = believe_rows(self.table.present_rows(), told, self._doubted_since_s, now_s)
        if believed.doubted_since_s is not None and self._doubted_since_s is None:
            self._observer.log("hosts").warning(
                "The list fell to %d rows; the old ones are kept for now.", len(told)
            )
        self._doubted_since_s = believed.doubted_since_s
        self.table.update(believed.rows, now_s)
        self._write()
        self._board.listed_at_s = now_s

    def _write(self) -> None:
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
