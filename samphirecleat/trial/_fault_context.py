"""The context that faults and exercises of a trial run in."""

import asyncio
import random
from typing import NamedTuple

from ._fleet import Fleet
from ._journal import Journal
from ._operator import Operator
from ._workload import Workload


class FaultContext(NamedTuple):
    """The trial around one fault; ``rng`` is the fault's own, ``seconds`` the trial's length."""

    name: str
    fleet: Fleet
    workload: Workload
    operator: Operator
    journal: Journal
    rng: random.Random
    seconds: float

    def record(self, detail: str) -> None:
        """Record an event of this fault in the journal."""
        self.journal.record(self.name, detail)

    async def wait_random(self, shortest_s: float, longest_s: float) -> None:
        """Wait for a random time, at most a fifth of the duration of the trial."""
        drawn_s = self.rng.uniform(shortest_s, longest_s)
        await asyncio.sleep(min(drawn_s, self.seconds / 5.0))
