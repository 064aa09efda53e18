"""The operator of a trial, who publishes changed service texts."""

import random

import aiohttp

from ..config import Publication, publication_payload
from ..platform import AppendResult, HttpLog
from ._config_checks import INVALID_TEXT_MARKER
from ._deployments import service_text
from ._fleet import Fleet


class Operator:
    """Publishes service texts through the log, as ``samphirecleat publish`` does."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Create an operator whose texts and ids are drawn from ``seed``."""
        self._fleet = fleet
        self._rng = random.Random(f"{seed}/operator")

    async def publish(
        self, name: str, base: int | None = None, *, valid: bool = True
    ) -> AppendResult:
        """Publish a changed text; ``base`` defaults to the revision of a random node."""
        if base is None:
            base = self.revision_in_force()
        share = round(self._rng.uniform(0.3, 0.6), 3)
        text = service_text(self._fleet.shape, max_swapping_share=share)
        if not valid:
            text = f"{INVALID_TEXT_MARKER}\n{text.replace('kind', 'sort')}"
        publication_id = f"{name}-{self._rng.randrange(2**32):08x}"
        publication = Publication(publication_id, base, text, name)
        async with aiohttp.ClientSession() as session:
            log = HttpLog(session, self._fleet.log.url)
            return await log.append("config", publication_payload(publication))

    def revision_in_force(self) -> int:
        """Return the revision in force at a random node."""
        return self._rng.choice(self._fleet.nodes).board.config.revision
