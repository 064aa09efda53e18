"""Counters and log lines of the bytes that a node holds; at most one line per second."""

import asyncio
from typing import Final

from ..connections import ByteBudget
from ..observe import Observer

LOG_INTERVAL_S: Final = 1.0


class ByteLog:
    """Counts refusals and ended transfers, and summarizes them in the log."""

    def __init__(self, budget: ByteBudget, observer: Observer) -> None:
        """Report the state of ``budget`` with each line."""
        self._budget = budget
        self._observer = observer
        self._logger = observer.log("bytes")
        self._logged_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._refused_calls = self._refused_bytes = self._ended = 0
        self._last_request_id = ""

    def record_refusal(self, request_id: str, size_bytes: int) -> None:
        """Count a refused request with a body, or a read of results, of ``size_bytes``."""
        self._observer.counters["bytes_refused"] += size_bytes
        self._observer.counters["bytes_refused_calls"] += 1
        self._refused_calls += 1
        self._refused_bytes += size_bytes
        self._last_request_id = request_id
        self._log_soon()

    def record_ended(self) -> None:
        """Count a transfer that was ended because its caller stopped reading."""
        self._observer.counters["bytes_slow_readers_cut"] += 1
        self._ended += 1
        self._log_soon()

    def _log_soon(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                max(loop.time(), self._logged_at_s + LOG_INTERVAL_S), self._log
            )

    def _log(self) -> None:
        self._timer = None
        self._logged_at_s = asyncio.get_running_loop().time()
        self._logger.warning(
            "held=%d limit=%d refused=%d refused_bytes=%d slow_readers_cut=%d last_request=%s",
            self._budget.held_bytes,
            self._budget.limit_bytes,
            self._refused_calls,
            self._refused_bytes,
            self._ended,
            self._last_request_id,
        )
        self._refused_calls = self._refused_bytes = self._ended = 0
