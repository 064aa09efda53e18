"""The client's cached list of entry nodes, with a preference for its own zone."""

import asyncio
import random
from collections.abc import Collection, Sequence
from typing import Final, NamedTuple

import aiohttp

from .._decoding import MALFORMED_INPUT_ERRORS
from ..errors import ErrorKind, RequestError

REQUEST_TIMEOUT_S: Final = 2.0
REFRESH_RETRY_S: Final = 0.5


class Entry(NamedTuple):
    """A node that accepts requests of clients."""

    node_id: str
    address: str
    zone: str
    incarnation: str
    key_epoch: int
    weight: float


class EntryList:
    """Caches the entry list and fetches it again when its TTL expires.

    The list is fetched from the nodes that it contains and, if none responds, from the
    bootstrap addresses. If no address responds, the previous list stays in use.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        bootstrap: Sequence[str],
        zone: str,
        rng: random.Random,
    ) -> None:
        """Fetch the first list from one of the ``bootstrap`` addresses (IP:port)."""
        self._session = session
        self._bootstrap = bootstrap
        self._zone = zone
        self._rng = rng
        self._entries: Sequence[Entry] = ()
        self._valid_until_s = 0.0
        self._failed: set[tuple[str, str]] = set()
        self._refreshing = asyncio.Lock()

    async def choose(self, excluded: Collection[str] = ()) -> Entry:
        """Return a node that is not in ``excluded``, preferably of the client's zone.

        Nodes that failed since the last fetch are used only if no other node is left.

        :raises samphirecleat.errors.RequestError: NO_TARGET if no node is left.
        """
        async with self._refreshing:
            if asyncio.get_running_loop().time() >= self._valid_until_s:
                await self.refresh()
        remaining = [entry for entry in self._entries if entry.node_id not in excluded]
        if not remaining:
            raise RequestError(
                ErrorKind.NO_TARGET,
                "no node is left to try; the request was not run",
                retry_after_s=1.0,
            )
        healthy = [e for e in remaining if (e.node_id, e.incarnation) not in self._failed]
        same_zone = [entry for entry in healthy if entry.zone == self._zone]
        candidates = same_zone or healthy or remaining
        return self._rng.choices(candidates, [entry.weight for entry in candidates])[0]

    def note_failed(self, entry: Entry) -> None:
        """Prefer other nodes to ``entry`` until the list is fetched again."""
        self._failed.add((entry.node_id, entry.incarnation))

    def expire(self) -> None:
        """Make the next :meth:`choose` fetch the list again."""
        self._valid_until_s = 0.0

    async def refresh(self) -> None:
        """Fetch the list now; on failure, keep the old list until the next attempt."""
        addresses = [entry.address for entry in self._entries]
        self._rng.shuffle(addresses)
        bootstrap = [address for address in self._bootstrap if address not in addresses]
        self._rng.shuffle(bootstrap)
        for address in [*addresses, *bootstrap]:
            if await self._fetch(address):
                return
        self._valid_until_s = asyncio.get_running_loop().time() + REFRESH_RETRY_S

    async def _fetch(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        requested_at_s = asyncio.get_running_loop().time()
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
        except (aiohttp.ClientError, TimeoutError, OSError, *MALFORMED_INPUT_ERRORS):
            return False
        if not entries:
            return False
        self._entries = entries
        self._failed.clear()
        # The TTL counts from the request, because the response may have been delayed.
        self._valid_until_s = requested_at_s + ttl_s
        return True
