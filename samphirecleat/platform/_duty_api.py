"""Client of those calls of the platform's API that only the holder of a duty may make."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import aiohttp
import msgspec

from ..durable import Holder, ScaleOutcome
from ..observe import Observer
from ..usage import ReportOutcome, WindowCounts
from ._answers import RESPONSE_ERRORS
from ._wire_names import DUTY_FENCING, DUTY_HOLDER, PATH_SCALE, PATH_USAGE

# Logged part of the body of an unsuccessful response.
LOGGED_BODY_BYTES: Final = 200
_REPORT_OUTCOMES: Final[Mapping[int, ReportOutcome]] = {
    200: ReportOutcome.TAKEN,
    400: ReportOutcome.REFUSED,
    409: ReportOutcome.FENCED,
    429: ReportOutcome.BUSY,
}
_SCALE_OUTCOMES: Final[Mapping[int, ScaleOutcome]] = {
    200: ScaleOutcome.TAKEN,
    400: ScaleOutcome.REFUSED,
    409: ScaleOutcome.NONE_OR_FENCED,
    429: ScaleOutcome.BUSY,
}


class DutyApi:
    """Sends calls with a fencing number, one at a time and within the rate limit of the fleet."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        calls_per_s: float,
        observer: Observer,
    ) -> None:
        """Send calls to ``address``, at most ``calls_per_s`` per second."""
        self._logger = observer.log("api")
        self._session = session
        self._address = address
        self._interval_s = 1.0 / calls_per_s
        self._lock = asyncio.Lock()

    def set_address(self, address: str) -> None:
        """Use another address for later calls."""
        self._address = address

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        """Send a report once; implements :class:`UsageChannel`."""
        body = {"windowNumber": window, "counts": counts}
        status = await self._call(PATH_USAGE, body, holder, timeout_s)
        return _REPORT_OUTCOMES.get(status, ReportOutcome.UNKNOWN)

    async def order_spot(
        self, service: str, zone: str, count: int, holder: Holder, timeout_s: float
    ) -> ScaleOutcome:
        """Order spot targets once; implements :class:`ScaleChannel`."""
        # Despite its name, targetGroups is a number of targets.
        body = {"service": service, "zone": zone, "targetGroups": count, "spot": True}
        status = await self._call(PATH_SCALE, body, holder, timeout_s)
        return _SCALE_OUTCOMES.get(status, ScaleOutcome.UNKNOWN)

    async def _call(
        self, path: str, body: Mapping[str, Any], holder: Holder, timeout_s: float
    ) -> int:
        """Return the status of the response, 0 if there is none.

        A call without a response may still take effect seconds later.
        """
        headers = {
            DUTY_HOLDER: holder.node_id,
            DUTY_FENCING: str(holder.fencing_number),
            "Content-Type": "application/json",
        }
        async with self._lock:
            await asyncio.sleep(self._interval_s)
            try:
                async with self._session.post(
                    f"http://{self._address}{path}",
                    headers=headers,
                    data=msgspec.json.encode(body),
                    timeout=aiohttp.ClientTimeout(total=timeout_s),
                ) as response:
                    content = await response.read()
            except RESPONSE_ERRORS as error:
                self._logger.warning("%s got no response: %r", path, error)
                return 0
            if response.status != 200:
                self._logger.warning(
                    "%s status=%d %s", path, response.status, content[:LOGGED_BODY_BYTES]
                )
            return response.status
