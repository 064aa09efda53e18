"""The entry list as a client keeps it: for its time, nearest zone first."""

import asyncio
import random
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

import aiohttp

from ..errors import ErrorKind, RequestError

REQUEST_TIMEOUT_S: Final = 2.0
PAUSE_AFTER_FAILURE_S: Final = 0.5


class Entry(NamedTuple):
    """One node that callers may use."""

    node_id: str
    address: str
    zone: str
    incarnation: str
    key_epoch: int
    weight: float


class EntryList:
    """Keeps the list and asks for it again when its time is over.

    The list is asked of the nodes it names and, when none answers, of the
    bootstrap addresses; while none answers at all, the old list stays in use.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        bootstrap: Sequence[str],
        zone: str,
        rng: random.Random,
    ) -> None:
        """Start from the ``bootstrap`` addresses, IP:port each."""
        self._session = session
        self._bootstrap = bootstrap
        self._zone = zone
        self._rng = rng
        self._entries: Sequence[Entry] = ()
        self._valid_until_s = 0.0
        self._failed: set[tuple[str, str]] = set()
        self._refreshing = asyncio.Lock()

    async def choose(self, excluded: Collection[str] = ()) -> Entry:
        """Return a node to use, of this zone if there is one, not among ``excluded``.

        Nodes that failed lately come last.

        :raises samphirecleat.errors.RequestError: NO_TARGET when none is left.
        """
        async with self._refreshing:
            if asyncio.get_running_loop().time() >= self._valid_until_s:
                await self.refresh()
        usable = [entry for entry in self._entries if entry.node_id not in excluded]
        if not usable:
            raise RequestError(
                ErrorKind.NO_TARGET, "no node is left to try; it was not run", retry_after_s=1.0
            )
        sound = [e for e in usable if (e.node_id, e.incarnation) not in self._failed]
        near = [entry for entry in sound if entry.zone == self._zone]
        pool = near or sound or usable
        return self._rng.choices(pool, [entry.weight for entry in pool])[0]

    def note_failed(self, entry: Entry) -> None:
        """Prefer other nodes until the list is fetched again."""
        self._failed.add((entry.node_id, entry.incarnation))

    def expire(self) -> None:
        """Fetch the list again before the next choice."""
        self._valid_until_s = 0.0

    async def refresh(self) -> None:
        """Ask for the list now; a failure keeps the old one a little longer."""
        addresses = [entry.address for entry in self._entries]
        self._rng.shuffle(addresses)
        bootstrap = [address for address in self._bootstrap if address not in addresses]
        self._rng.shuffle(bootstrap)
        for address in [*addresses, *bootstrap]:
            if await self._ask(address):
                return
        self._valid_until_s = asyncio.get_running_loop().time() + PAUSE_AFTER_FAILURE_S

    async def _ask(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        asked_at_s = asyncio.get_running_loop().time()
        try:
            async with self._session.get(
                f"http://{address}/v1/entries", timeout=timeout
            ) as response:
                body = await response.json()
                entries = [
                    Entry(
                        str(row["node"]),
                        str(row["address"]),
                        str(row["zone"]),
                        str(row["incarnation"]),
                        int(row["key_epoch"]),
                        float(row["weight"]),
                    )
                    for row in body["entries"]
                ]
                ttl_s = float(body["ttl_s"])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return False
        if not entries:
            return False
        self._entries = entries
        self._failed.clear()
        # Counted from the question, since the answer may have been long on its way.
        self._valid_until_s = asked_at_s + ttl_s
        return True
