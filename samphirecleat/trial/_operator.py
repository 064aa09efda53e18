"""The operator of a trial: publishes changed texts, with bases that nodes report."""

import random

import aiohttp

from ..config import Publication, publication_payload
from ..platform import AppendResult, HttpLog
from ._config_checks import INVALID_MARK
from ._deployments import service_text
from ._fleet import Fleet


class Operator:
    """Publishes through the log, as ``samphirecleat publish`` does."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Draw texts and ids from ``seed``."""
        self._fleet = fleet
        self._rng = random.Random(f"{seed}/operator")

    async def publish(
        self, name: str, base: int | None = None, *, valid: bool = True
    ) -> AppendResult:
        """Publish a changed text; ``base`` defaults to what some node has in force."""
        if base is None:
            base = self.revision_in_force()
        share = round(self._rng.uniform(0.3, 0.6), 3)
        text = service_text(self._fleet.shape, max_swapping_share=share)
        if not valid:
            text = f"{INVALID_MARK}\n{text.replace('kind', 'sort')}"
        publication_id = f"{name}-{self._rng.randrange(2**32):08x}"
        publication = Publication(publication_id, base, text, name)
        async with aiohttp.ClientSession() as session:
            log = HttpLog(session, self._fleet.log.url)
            return await log.append("config", publication_payload(publication))

    def revision_in_force(self) -> int:
        """Return the revision that a node, chosen at random, has in force."""
        return self._rng.choice(self._fleet.nodes).board.config.revision
