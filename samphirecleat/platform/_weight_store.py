"""Client of the platform's weight store, which knows the newest weight version of a service."""

from typing import NamedTuple

import aiohttp

from ._answers import RESPONSE_ERRORS


class WeightStoreUnavailableError(Exception):
    """The weight store gave no usable response."""


class StoreInfo(NamedTuple):
    """The newest version of a service, and how many parallel loads the store serves."""

    latest_version: int
    parallel_loads: int


class HttpWeightStore:
    """Client of the weight store over HTTP."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, *, timeout_s: float = 2.0
    ) -> None:
        """Use the weight store at ``base_url``; each call takes at most ``timeout_s``."""
        self._session = session
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def read(self, service: str) -> StoreInfo:
        """Return the newest version of ``service``.

        :raises WeightStoreUnavailableError: when the store gives no usable response, or rejects the
            call because of its rate limit.
        """
        url = f"{self._base_url}/v1/services/{service}/latest"
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    raise WeightStoreUnavailableError(f"HTTP {response.status}")
                body = await response.json()
                return StoreInfo(int(body["version"]), int(body["parallel_loads"]))
        except RESPONSE_ERRORS as error:
            raise WeightStoreUnavailableError(str(error) or type(error).__name__) from error
