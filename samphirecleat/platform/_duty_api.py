"""The one client of the platform's API whose calls are duties of one node at a time."""

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

# Of an answer that is no success, the log tells this much.
TOLD_BYTES: Final = 200
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
    """Calls under a fencing number, one at a time and no more a second than all nodes may make."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        calls_per_s: float,
        observer: Observer,
    ) -> None:
        """Talk to the API at ``address``."""
        self._words = observer.log("api")
        self._session = session
        self._address = address
        self._pause_s = 1.0 / calls_per_s
        self._one_at_a_time = asyncio.Lock()

    def move(self, address: str) -> None:
        """Talk to the API at another address from now on."""
        self._address = address

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        """Send a report once; see :class:`UsageChannel`."""
        body = {"windowNumber": window, "counts": counts}
        status = await self._call(PATH_USAGE, body, holder, timeout_s)
        return _REPORT_OUTCOMES.get(status, ReportOutcome.UNKNOWN)

    async def order_spot(
        self, service: str, zone: str, count: int, holder: Holder, timeout_s: float
    ) -> ScaleOutcome:
        """Order spot targets once; see :class:`ScaleChannel`."""
        # Named groups; it is the number of targets.
        body = {"service": service, "zone": zone, "targetGroups": count, "spot": True}
        status = await self._call(PATH_SCALE, body, holder, timeout_s)
        return _SCALE_OUTCOMES.get(status, ScaleOutcome.UNKNOWN)

    async def _call(
        self, path: str, body: Mapping[str, Any], holder: Holder, timeout_s: float
    ) -> int:
        """Return the status of the answer, 0 when there is none.

        A call without an answer may still be carried out, seconds later.
        """
        headers = {
            DUTY_HOLDER: holder.node_id,
            DUTY_FENCING: str(holder.fencing_number),
            "Content-Type": "application/json",
        }
        async with self._one_at_a_time:
            await asyncio.sleep(self._pause_s)
            try:
                async with self._session.post(
                    f"http://{self._address}{path}",
                    headers=headers,
                    data=msgspec.json.encode(body),
                    timeout=aiohttp.ClientTimeout(total=timeout_s),
                ) as response:
                    answer = await response.read()
            except RESPONSE_ERRORS as error:
                self._words.warning("%s got no answer: %r", path, error)
                return 0
            if response.status != 200:
                self._words.warning("%s status=%d %s", path, response.status, answer[:TOLD_BYTES])
            return response.status
