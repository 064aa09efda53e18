"""Client of the platform's host list of live and leaving hosts, which lags behind slightly."""

from collections.abc import Sequence
from typing import NamedTuple

import aiohttp

from ._answers import RESPONSE_ERRORS


class ListedHost(NamedTuple):
    """One row of the host list; ``service`` is ``entry`` for a node of this system.

    ``address`` is the listen address of a target or the peer address of a node.
    """

    address: str
    service: str
    zone: str
    leaving: bool


class HostListUnavailableError(Exception):
    """The host list gave no usable response."""


class HttpHostList:
    """Client of the host list over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, *, timeout_s: float = 2.0
    ) -> None:
        """Use the host list at ``base_url``; each call takes at most ``timeout_s``."""
        self._session = session
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def read(self) -> Sequence[ListedHost]:
        """Return the rows of the list.

        :raises HostListUnavailableError: when there is no usable response.
        """
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.get(f"{self._base_url}/v1/hosts", timeout=timeout) as response:
                if response.status != 200:
                    raise HostListUnavailableError(f"HTTP {response.status}")
                body = await response.json()
                return [
                    ListedHost(
                        str(row["address"]),
                        str(row["service"]),
                        str(row["zone"]),
                        row["state"] == "leaving",
                    )
                    for row in body["hosts"]
                ]
        except RESPONSE_ERRORS as error:
            raise HostListUnavailableError(str(error) or type(error).__name__) from error
