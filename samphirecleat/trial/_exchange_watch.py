"""Records every HTTP exchange of a client session through aiohttp tracing."""

import time
from types import SimpleNamespace
from typing import Any

import aiohttp

from ._records import ExchangeReceipt


def trace_exchanges(receipts: list[ExchangeReceipt]) -> aiohttp.TraceConfig:
    """Return a trace configuration that appends each exchange to ``receipts``."""

    async def on_start(_session: Any, context: SimpleNamespace, _params: Any) -> None:
        context.started_at_s = time.monotonic()

    async def on_end(
        _session: Any, context: SimpleNamespace, params: aiohttp.TraceRequestEndParams
    ) -> None:
        add(context, params, cut=False)

    async def on_exception(
        _session: Any, context: SimpleNamespace, params: aiohttp.TraceRequestExceptionParams
    ) -> None:
        add(context, params, cut=_lost_connection(params.exception))

    def add(context: SimpleNamespace, params: Any, *, cut: bool) -> None:
        address = f"{params.url.host}:{params.url.port}"
        receipts.append(ExchangeReceipt(address, context.started_at_s, time.monotonic(), cut))

    trace = aiohttp.TraceConfig()
    trace.on_request_start.append(on_start)
    trace.on_request_end.append(on_end)
    trace.on_request_exception.append(on_exception)
    return trace


def _lost_connection(error: BaseException) -> bool:
    """Whether an established connection was lost.

    False for connections that were never established and for client timeouts.
    """
    if isinstance(error, aiohttp.ClientConnectorError | TimeoutError):
        return False
    return isinstance(error, aiohttp.ClientError | OSError)
