"""Runs the exercises and the chosen faults of a trial at drawn times."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from ._exercises import EXERCISES, Exercise
from ._fault_table import FAULTS
from ._fleet import Fleet
from ._journal import Journal
from ._operator import Operator
from ._stage import Stage
from ._workload import Workload

FAULTS_FROM_FRACTION: Final = 0.05
FAULTS_UNTIL_FRACTION: Final = 0.7
MOST_TIMES: Final = 2


class Schedule:
    """Draws from the seed when each fault comes, once or twice."""

    def __init__(
        self, fleet: Fleet, workload: Workload, journal: Journal, seed: int, seconds: float
    ) -> None:
        """Prepare a schedule of ``seconds``."""
        self._fleet = fleet
        self._workload = workload
        self._journal = journal
        self._seed = seed
        self._seconds = seconds
        self._operator = Operator(fleet, seed)

    async def run(self, faults: Sequence[str]) -> None:
        """Run all exercises and the faults; returns when each has taken its end."""
        runs = [self._exercise(index, exercise) for index, exercise in enumerate(EXERCISES)]
        runs += [self._bring(name) for name in faults]
        async with asyncio.TaskGroup() as group:
            for run in runs:
                group.create_task(run)

    async def _exercise(self, index: int, exercise: Exercise) -> None:
        await asyncio.sleep(self._seconds * exercise.at_fraction)
        await exercise.run(self._stage(exercise.name, f"exercise/{index}"))

    async def _bring(self, name: str) -> None:
        stage = self._stage(name, name)
        times = stage.rng.randint(1, MOST_TIMES)
        span_s = self._seconds * (FAULTS_UNTIL_FRACTION - FAULTS_FROM_FRACTION) / times
        await asyncio.sleep(self._seconds * FAULTS_FROM_FRACTION)
        for _time in range(times):
            await asyncio.sleep(stage.rng.uniform(0.0, span_s))
            await FAULTS[name].bring(stage)

    def _stage(self, name: str, stream: str) -> Stage:
        return Stage(
            name,
            self._fleet,
            self._workload,
            self._operator,
            self._journal,
            random.Random(f"{self._seed}/{stream}"),
            self._seconds,
        )
