"""Counters and log lines of refused connections; at most one line per second."""

import asyncio
from collections import Counter
from typing import Final

from ..observe import Observer
from ._refusals import Refusal

LOG_INTERVAL_S: Final = 1.0


class RefusalLog:
    """Counts refusals by reason, and summarizes them in the log.

    A line for each refusal would let clients fill the log, and take the processor from others.
    """

    def __init__(self, observer: Observer) -> None:
        """Count in the counters of ``observer``, as ``connections_<reason>``."""
        self._counters = observer.counters
        self._logger = observer.log("connections")
        self._refused: Counter[Refusal] = Counter()
        self._last_peer = ""
        self._logged_at_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def record(self, refusal: Refusal, peer: object) -> None:
        """Count the refusal of a connection from ``peer``, a socket address."""
        self._counters[f"connections_{refusal.value}"] += 1
        self._refused[refusal] += 1
        self._last_peer = str(peer)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(
                max(loop.time(), self._logged_at_s + LOG_INTERVAL_S), self._log
            )

    def _log(self) -> None:
        self._timer = None
        self._logged_at_s = asyncio.get_running_loop().time()
        reasons = " ".join(f"{refusal.value}={n}" for refusal, n in sorted_counts(self._refused))
        self._logger.warning("refused %s last_peer=%s", reasons, self._last_peer)
        self._refused.clear()


def sorted_counts(counts: Counter[Refusal]) -> list[tuple[Refusal, int]]:
    """Return the counts, the largest first."""
    return sorted(counts.items(), key=lambda row: (-row[1], row[0].value))
