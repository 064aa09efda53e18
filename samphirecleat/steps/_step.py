"""One step at the node that works on it: what is made, running, or still to make.

The trainer holds the record of what it received; this state only saves work. It
can be lost, or stand at two nodes at once, without a sample being doubled or
missed: the trainer submits the step again with what it holds.
"""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ._types import Pull, PullReply, Sample, StepSpec


class StartSample(NamedTuple):
    """Start a run for a position; ``attempt`` numbers the runs of one position."""

    position: int
    attempt: int


class Step:
    """A step in progress. Its methods are plain state changes without I/O."""

    def __init__(self, spec: StepSpec, held: frozenset[int], now_s: float) -> None:
        """Begin with what the trainer already holds."""
        self.spec = spec
        self.held: set[int] = set(held)
        self.ready: dict[int, Sample] = {}
        self.running: Counter[int] = Counter()
        self.attempts: Counter[int] = Counter()
        self.trainer_version = 0
        self.discarded_stale = 0
        self.touched_at_s = now_s
        self.changed = asyncio.Event()

    @property
    def missing(self) -> Sequence[int]:
        """The positions that the trainer lacks and that are not ready."""
        return [
            position
            for position in range(self.spec.size)
            if position not in self.held and position not in self.ready
        ]

    def decide_starts(self, room: int) -> Sequence[StartSample]:
        """Return the runs to start now, at most ``room``, first positions first."""
        idle = [position for position in self.missing if not self.running[position]]
        return [StartSample(position, self.attempts[position] + 1) for position in idle[:room]]

    def note_started(self, start: StartSample) -> None:
        """Record that a run was started."""
        self.running[start.position] += 1
        self.attempts[start.position] = start.attempt

    def note_ended(self, position: int, sample: Sample | None) -> None:
        """Record a run's end; the first sample of a position is kept for good."""
        self.running[position] -= 1
        if sample is not None and position not in self.ready and position not in self.held:
            self.ready[position] = sample
        self._wake()

    def pull(self, pull: Pull, now_s: float) -> PullReply:
        """Return ready samples that the trainer lacks and that are fresh enough.

        A sample past the staleness bound of the version that the pull names is
        dropped here and made again; it is never in a reply.
        """
        self.touched_at_s = now_s
        self.held |= pull.held
        self.trainer_version = max(self.trainer_version, pull.version)
        for position in list(self.ready):
            if position in self.held:
                del self.ready[position]
        self._drop_stale(pull.version)
        samples = [self.ready[position] for position in sorted(self.ready)][: pull.limit]
        return PullReply(pull.number, samples, len(self.missing))

    def _drop_stale(self, version: int) -> None:
        for position, sample in list(self.ready.items()):
            if version - sample.oldest_version > self.spec.staleness_bound:
                del self.ready[position]
                self.discarded_stale += 1
                self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


StepTable = Mapping[tuple[str, str], Step]
