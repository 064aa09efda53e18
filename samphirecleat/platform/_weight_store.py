"""The platform's weight store: which weight version is the newest of a service."""

from typing import NamedTuple

import aiohttp

from ._answers import RESPONSE_ERRORS


class WeightStoreUnavailableError(Exception):
    """The weight store gave no answer."""


class StoreInfo(NamedTuple):
    """The newest version of a service and how many loads the store serves at once."""

    latest_version: int
    parallel_loads: int


class HttpWeightStore:
    """The weight store over HTTP, found beside the log."""

    def __init__(
        self, session: aiohttp.ClientSession, base_url: str, *, timeout_s: float = 2.0
    ) -> None:
        """Talk to the weight store at ``base_url``."""
        self._session = session
        self._base_url = base_url
        self._timeout_s = timeout_s

    async def read(self, service: str) -> StoreInfo:
        """Return the newest version of ``service``.

        :raises WeightStoreUnavailableError: when the store gives no usable answer,
            or refuses for its rate limit.
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
