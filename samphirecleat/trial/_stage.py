"""What every fault and every exercise of a trial gets to work with."""

import asyncio
import random
from typing import NamedTuple

from ._fleet import Fleet
from ._journal import Journal
from ._operator import Operator
from ._workload import Workload


class Stage(NamedTuple):
    """The trial around one fault; ``rng`` is the fault's own, ``seconds`` the trial's length."""

    name: str
    fleet: Fleet
    workload: Workload
    operator: Operator
    journal: Journal
    rng: random.Random
    seconds: float

    def note(self, detail: str) -> None:
        """Write down that this fault did something."""
        self.journal.note(self.name, detail)

    async def hold(self, shortest_s: float, longest_s: float) -> None:
        """Wait for a drawn time, never longer than a fifth of the trial."""
        drawn_s = self.rng.uniform(shortest_s, longest_s)
        await asyncio.sleep(min(drawn_s, self.seconds / 5.0))
