"""Looks at nodes and engines all through a trial and writes down what changes."""

import asyncio
import time
from typing import Final

from ._fleet import Fleet
from ._records import ConfigSight

PERIOD_S: Final = 0.05


class FleetMonitor:
    """Sees which text each node has in force, and when weights are on all engines."""

    def __init__(self, fleet: Fleet) -> None:
        """Look at ``fleet``."""
        self._fleet = fleet
        self._last: dict[str, tuple[int, str]] = {}
        self.sights: list[ConfigSight] = []
        self.everywhere_at_s: dict[int, float] = {}
        self.seen_until_s = 0.0

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            now_s = time.monotonic()
            self._look_at_nodes(now_s)
            self._look_at_engines(now_s)
            self.seen_until_s = now_s
            await asyncio.sleep(PERIOD_S)

    def _look_at_nodes(self, now_s: float) -> None:
        for node in self._fleet.nodes:
            config = node.board.config
            incarnation = node.board.identity.incarnation
            seen = (config.revision, config.text)
            if self._last.get(incarnation) != seen:
                self._last[incarnation] = seen
                self.sights.append(ConfigSight(incarnation, now_s, *seen))

    def _look_at_engines(self, now_s: float) -> None:
        fleet = self._fleet
        serving = [e for e in fleet.engines if e.listening and fleet.leaving_since_s(e) is None]
        if not serving:
            return
        lowest = min(engine.version for engine in serving)
        for version in range(1, lowest + 1):
            self.everywhere_at_s.setdefault(version, now_s)
