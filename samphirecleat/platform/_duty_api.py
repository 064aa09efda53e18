"""The one client of the platform's API whose calls are duties of one node at a time."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final

import aiohttp
import msgspec

from ..durable import Holder
from ..usage import ReportOutcome, WindowCounts
from ._answers import ANSWER_FAULTS
from ._wire_names import DUTY_FENCING, DUTY_HOLDER, PATH_USAGE

_REPORT_OUTCOMES: Final[Mapping[int, ReportOutcome]] = {
    200: ReportOutcome.TAKEN,
    400: ReportOutcome.REFUSED,
    409: ReportOutcome.FENCED,
    429: ReportOutcome.BUSY,
}


class DutyApi:
    """Calls under a fencing number, one at a time and no more a second than all nodes may make."""

    def __init__(self, session: aiohttp.ClientSession, address: str, calls_per_s: float) -> None:
        """Talk to the API at ``address``."""
        self._session = session
        self._address = address
        self._pause_s = 1.0 / calls_per_s
        self._one_at_a_time = asyncio.Lock()

    async def report_usage(
        self, window: int, counts: WindowCounts, holder: Holder, timeout_s: float
    ) -> ReportOutcome:
        """Send a report once; see :class:`UsageChannel`."""
        body = {"windowNumber": window, "counts": counts}
        status, _ = await self._call(PATH_USAGE, body, holder, timeout_s)
        return _REPORT_OUTCOMES.get(status, ReportOutcome.UNKNOWN)

    async def _call(
        self, path: str, body: Mapping[str, Any], holder: Holder, timeout_s: float
    ) -> tuple[int, bytes]:
        """Return the status and the body of the answer, 0 when there is none.

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
                    return response.status, await response.read()
            except ANSWER_FAULTS:
                return 0, b""
