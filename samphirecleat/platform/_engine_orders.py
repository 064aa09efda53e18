"""Sends weight orders to engines and reads their reports; implements :class:`OrderChannel`."""

from collections.abc import Mapping
from typing import Any, Final

import aiohttp
import msgspec

from .._decoding import check_integer, check_text, decode_json, decoding
from ..durable import EngineReport, Order, OrderOutcome
from ..serving import Target
from ._answers import RESPONSE_ERRORS
from ._call_exchange import target_url
from ._target_sessions import TargetSessions
from ._wire_names import EXPECT_INSTANCE, PATH_ORDER, PATH_REPORT

REPORT_TIMEOUT_S: Final = 0.8
_OUTCOMES: Final = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    400: OrderOutcome.REJECTED,
    409: OrderOutcome.CONFLICT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.REJECTED,
}


class EngineOrders:
    """Sends orders and report requests over persistent connections."""

    def __init__(self, sessions: TargetSessions) -> None:
        """Send requests through ``sessions``."""
        self._sessions = sessions

    async def report(self, target: Target) -> EngineReport | None:
        """Return an engine's report, or None if it sends none; see :class:`OrderChannel`."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S)
        headers = {EXPECT_INSTANCE: target.instance}
        try:
            async with self._sessions.get(target).get(
                target_url(target, PATH_REPORT), headers=headers, timeout=timeout
            ) as response:
                if not self._sessions.is_answer(target, response) or response.status != 200:
                    return None
                return decode_report(await self._sessions.answers.read(response))
        except RESPONSE_ERRORS:
            return None

    async def order(self, target: Target, order: Order, timeout_s: float) -> OrderOutcome:
        """Send an order once; see :class:`OrderChannel`."""
        body = {
            "operation": "version",
            "model": order.model,
            "version": order.version,
            "strategy": "keep" if order.keep_runs else "wait",
            "holder": order.holder,
            "fencingToken": order.fencing_number,
            "expect": order.expected_orders,
        }
        headers = {EXPECT_INSTANCE: target.instance, "Content-Type": "application/json"}
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            # Reports and orders have no id, so a late second report would count as the answer.
            async with self._sessions.get(target, new_connection=True).post(
                target_url(target, PATH_ORDER),
                headers=headers,
                data=msgspec.json.encode(body),
                timeout=timeout,
            ) as response:
                if not self._sessions.is_answer(target, response):
                    return OrderOutcome.UNKNOWN
                await self._sessions.answers.read(response)
                return _OUTCOMES.get(response.status, OrderOutcome.UNKNOWN)
        except aiohttp.ClientConnectorError:
            return OrderOutcome.REJECTED
        except RESPONSE_ERRORS:
            return OrderOutcome.UNKNOWN


def decode_report(content: bytes) -> EngineReport:
    """Return the report in the body of an engine's response.

    :raises MalformedError: if the body is malformed.
    """
    with decoding("report"):
        body: Mapping[str, Any] = decode_json(content)
        return EngineReport(
            {
                check_text(row["name"], "model"): check_integer(row["version"], "version")
                for row in body["models"]
            },
            bool(body["busy"]),
            # The platform names the number of accepted orders ``sequence``.
            check_integer(body["sequence"], "sequence"),
            check_integer(body.get("born", 0), "born"),
        )
