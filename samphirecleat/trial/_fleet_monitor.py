"""Polls nodes and engines during a trial and records changes."""

import asyncio
import time
from typing import Final

from ._fleet import Fleet
from ._records import ConfigObservation

PERIOD_S: Final = 0.05


class FleetMonitor:
    """Records which text each node has in force, and when weights are on all engines."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a monitor of ``fleet``."""
        self._fleet = fleet
        self._last: dict[str, tuple[int, str]] = {}
        self.config_observations: list[ConfigObservation] = []
        self.fully_deployed_at_s: dict[int, float] = {}
        self.observed_until_s = 0.0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            now_s = time.monotonic()
            self._observe_nodes(now_s)
            self._observe_engines(now_s)
            self.observed_until_s = now_s
            await asyncio.sleep(PERIOD_S)

    def _observe_nodes(self, now_s: float) -> None:
        for node in self._fleet.nodes:
            config = node.board.config
            incarnation = node.board.identity.incarnation
            seen = (config.revision, config.text)
            if self._last.get(incarnation) != seen:
                self._last[incarnation] = seen
                self.config_observations.append(ConfigObservation(incarnation, now_s, *seen))

    def _observe_engines(self, now_s: float) -> None:
        fleet = self._fleet
        serving = [e for e in fleet.engines if e.listening and fleet.leaving_since_s(e) is None]
        if not serving:
            return
        lowest = min(engine.version for engine in serving)
        for version in range(1, lowest + 1):
            self.fully_deployed_at_s.setdefault(version, now_s)
