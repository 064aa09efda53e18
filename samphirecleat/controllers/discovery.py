"""Reads the host list, a late hint of which nodes and targets there are."""

import asyncio
from typing import Final

from ..blackboard import Blackboard
from ..observe import Observer
from ..platform import HostListUnavailableError, HttpHostList

ENTRY_SERVICE: Final = "entry"


class Discovery:
    """Writes what the host list shows to the blackboard."""

    def __init__(
        self, board: Blackboard, host_list: HttpHostList, observer: Observer, period_s: float
    ) -> None:
        """Read the list every ``period_s``."""
        self._board = board
        self._host_list = host_list
        self._observer = observer
        self._period_s = period_s

    async def drive(self) -> None:
        """Read the list for as long as the node lives."""
        while True:
            try:
                await self._read_once()
            except HostListUnavailableError as error:
                self._observer.log("hosts").warning("Host list not readable: %s.", error)
            await asyncio.sleep(self._period_s)

    async def _read_once(self) -> None:
        rows = await self._host_list.read()
        self._board.listed_nodes = [row.address for row in rows if row.service == ENTRY_SERVICE]
        self._board.listed_targets = {
            row.address: (row.service, row.zone, row.leaving)
            for row in rows
            if row.service != ENTRY_SERVICE
        }
