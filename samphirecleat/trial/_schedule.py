"""Schedules the exercises and the selected faults of a trial."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final

from ._exercises import EXERCISES, Exercise
from ._fault_context import FaultContext
from ._fault_table import FAULTS
from ._fleet import Fleet
from ._journal import Journal
from ._operator import Operator
from ._workload import Workload

FAULTS_START_FRACTION: Final = 0.05
FAULTS_END_FRACTION: Final = 0.7
MAX_OCCURRENCES: Final = 2


class Schedule:
    """Runs exercises at fixed times, and each fault at one or two times drawn from the seed."""

    def __init__(
        self, fleet: Fleet, workload: Workload, journal: Journal, seed: int, seconds: float
    ) -> None:
        """Create a schedule for a trial of ``seconds``."""
        self._fleet = fleet
        self._workload = workload
        self._journal = journal
        self._seed = seed
        self._seconds = seconds
        self._operator = Operator(fleet, seed)

    async def run(self, faults: Sequence[str]) -> None:
        """Run all exercises and the named faults; return when all have finished."""
        runs = [self._run_exercise(index, exercise) for index, exercise in enumerate(EXERCISES)]
        runs += [self._inject(name) for name in faults]
        async with asyncio.TaskGroup() as group:
            for run in runs:
                group.create_task(run)

    async def _run_exercise(self, index: int, exercise: Exercise) -> None:
        await asyncio.sleep(self._seconds * exercise.at_fraction)
        await exercise.run(self._make_context(exercise.name, f"exercise/{index}"))

    async def _inject(self, name: str) -> None:
        context = self._make_context(name, name)
        occurrences = context.rng.randint(1, MAX_OCCURRENCES)
        span_s = self._seconds * (FAULTS_END_FRACTION - FAULTS_START_FRACTION) / occurrences
        await asyncio.sleep(self._seconds * FAULTS_START_FRACTION)
        for _occurrence in range(occurrences):
            await asyncio.sleep(context.rng.uniform(0.0, span_s))
            await FAULTS[name].inject(context)

    def _make_context(self, name: str, rng_stream: str) -> FaultContext:
        return FaultContext(
            name,
            self._fleet,
            self._workload,
            self._operator,
            self._journal,
            random.Random(f"{self._seed}/{rng_stream}"),
            self._seconds,
        )
