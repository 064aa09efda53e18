"""State of one step on a node that executes it: ready samples, runs and queued positions.

The trainer's own record decides what was delivered; this state only saves work.
It may be lost, or exist on two nodes at once, without a sample being duplicated
or missing: the trainer resubmits the step together with the positions it holds.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence

from ._copies import CopyPolicy, CopyView, Pace, decide_copies, expected_waste_tokens
from ._positions import PositionQueue
from ._run import Run
from ._types import NO_VERSION, Pull, PullReply, Sample, StepSpec, is_fresh


class Step:
    """A step in progress; its methods change state and do no I/O.

    ``held`` are the positions that the trainer holds, ``ready`` the samples that
    wait for a pull, ``runs`` the runs in progress. ``changed`` is set, and replaced
    by a new event, whenever a run ends with a sample.
    """

    def __init__(
        self, spec: StepSpec, held: frozenset[int], now_s: float, client_id: str = ""
    ) -> None:
        """Create a step and queue every position that the trainer does not hold."""
        self.spec = spec
        self.held: set[int] = set(held)
        self.ready: dict[int, Sample] = {}
        self.runs: list[Run] = []
        self.client_id = client_id
        self.expected_version = NO_VERSION
        self.discarded_stale = 0
        self.wasted_tokens = 0
        self.expected_copy_waste_tokens = 0.0
        self.copies = 0
        self.submitted_at_s = now_s
        self.touched_at_s = now_s
        self.pulled = False
        self.changed = asyncio.Event()
        self._attempts: Counter[int] = Counter()
        self._queue = PositionQueue(spec)
        self._step_tokens = sum(spec.expected_tokens_of(p) for p in range(spec.size))
        self._last_pull_number = 0
        self._last_reply_samples: dict[int, Sample] = {}
        self._queue_missing()

    @property
    def done(self) -> bool:
        """Whether the trainer holds every sample of the step."""
        return len(self.held) == self.spec.size

    @property
    def missing(self) -> int:
        """Number of positions that are neither held by the trainer nor ready."""
        return self.spec.size - len(self.held) - len(self.ready)

    def update_held(self, client_id: str, held: frozenset[int], now_s: float) -> None:
        """Update the set of positions that the trainer holds.

        The positions held by one record of the trainer only grow, so an older
        message cannot undo a newer one. A new ``client_id`` means that the trainer
        restarted with a new record: it lacks every position that it does not name,
        including those that its earlier record held.
        """
        self.touched_at_s = now_s
        if client_id != self.client_id:
            self.client_id = client_id
            self.held = set(held)
            self._last_pull_number = 0
            self._last_reply_samples = {}
            self._queue_missing()
        self.held |= held
        for position in held:
            self.ready.pop(position, None)
            self._queue.remove(position)

    def pull(self, pull: Pull, now_s: float) -> PullReply:
        """Return ready samples that the trainer lacks and that are within the staleness bound.

        A ready sample that exceeds the bound at the version named by the pull is
        discarded and its position is run again; it is never in a reply. A repeated
        pull may get more or fewer samples, but never a different sample for the same
        position. A pull that arrives after a later one gets no samples.
        """
        self.pulled = True
        self.update_held(pull.client_id, pull.held, now_s)
        if pull.number < self._last_pull_number:
            return self._reply(pull, ())
        if pull.number > self._last_pull_number:
            self._last_pull_number = pull.number
            self._last_reply_samples = {}
        self._discard_stale(pull.version)
        samples = self._select_samples(pull)
        self._last_reply_samples.update((sample.position, sample) for sample in samples)
        return self._reply(pull, samples)

    def set_expected_version(self, expected_version: int) -> Sequence[Run]:
        """Set the version that the trainer's next pull is expected to name; it never decreases.

        Positions whose ready samples will exceed the staleness bound by then are run
        again, but the samples are kept meanwhile: a pull may still name an older
        version. Returns the runs to cancel: those whose oldest tokens exceed the
        bound at that version, and those whose position the trainer already holds.
        """
        if expected_version > self.expected_version:
            self.expected_version = expected_version
            for position, sample in self.ready.items():
                if not self._will_be_fresh(sample) and not self._has_run(position):
                    self._queue.add(position)
        return [run for run in self.runs if self._is_useless(run)]

    def next_position(self, now_s: float) -> int | None:
        """Return the position to start next, longest expected sample first, or None."""
        return self._queue.first(now_s)

    def record_start(self, position: int, now_s: float, *, is_copy: bool = False) -> Run:
        """Create and return a run of a position, and remove the position from the queue."""
        self._queue.remove(position)
        self._attempts[position] += 1
        tokens = self.spec.expected_tokens_of(position)
        run = Run(position, self._attempts[position], is_copy, now_s, tokens)
        self.runs.append(run)
        return run

    def record_copy(self, late: Run, pace: Pace | None, now_s: float) -> Run:
        """Create and return a copy of a late run, and charge its expected waste."""
        self.copies += 1
        if pace is not None:
            self.expected_copy_waste_tokens += expected_waste_tokens(late, pace, now_s)
        return self.record_start(late.position, now_s, is_copy=True)

    def select_runs_to_copy(
        self, policy: CopyPolicy, pace: Pace | None, room: int, now_s: float
    ) -> Sequence[Run]:
        """Return the runs to start a copy of now, at most ``room``."""
        if room < 1 or not self.runs:
            return ()
        view = CopyView(
            runs=self.runs,
            pace=pace,
            queued_tokens=self._queue.tokens,
            step_tokens=self._step_tokens,
            wasted_tokens=self.expected_copy_waste_tokens,
        )
        return decide_copies(view, policy, room, now_s)

    def record_sample(self, run: Run, sample: Sample) -> Sequence[Run]:
        """Record the sample of a run and return the other runs of its position, to cancel.

        The first sample of a position is kept. A later one replaces it only if the
        first will exceed the staleness bound and the later one's oldest weight version
        is newer.
        """
        self._remove_run(run)
        position = run.position
        first = self.ready.get(position)
        superseded = (
            first is not None
            and not self._will_be_fresh(first)
            and sample.oldest_version > first.oldest_version
        )
        if position in self.held or (first is not None and not superseded):
            self.wasted_tokens += run.tokens
        else:
            self.wasted_tokens += first.tokens if first is not None else 0
            self.ready[position] = sample
            self._queue.remove(position)
        if not self._will_be_fresh(sample) and position not in self.held:
            self._queue.add(position)
        self._notify()
        return [other for other in self.runs if other.position == position]

    def record_failure(self, run: Run, now_s: float, jitter: float) -> None:
        """Record a run that ended without a sample.

        If its position still needs a run, it is queued again with a delay, to which
        ``jitter`` from 0.0 to 1.0 applies.
        """
        self._remove_run(run)
        self.wasted_tokens += run.tokens
        if self._needs_run(run.position):
            self._queue.add_failed(run.position, now_s, jitter)

    def record_cancellation(self, run: Run) -> None:
        """Record a cancelled run; its position is queued again if it still needs a run."""
        self._remove_run(run)
        self.wasted_tokens += run.tokens
        if self._needs_run(run.position):
            self._queue.add(run.position)

    def whole_groups(self, reply_positions: frozenset[int]) -> Sequence[int]:
        """Return the groups of which every sample is held or in ``reply_positions``."""
        delivered = self.held | reply_positions
        return [
            group
            for group in range(len(self.spec.prompts))
            if all(position in delivered for position in self.spec.positions_of(group))
        ]

    def _select_samples(self, pull: Pull) -> Sequence[Sample]:
        repeated = [s for s in self._last_reply_samples.values() if self._may_deliver(s, pull)]
        others = [s for p, s in self.ready.items() if p not in self._last_reply_samples]
        group_counts = Counter(self.spec.group_of(sample.position) for sample in others)
        # If not all fit in one reply, the groups closest to complete come first.
        others.sort(key=lambda s: (-group_counts[self.spec.group_of(s.position)], s.position))
        return [*repeated, *others][: pull.limit]

    def _may_deliver(self, sample: Sample, pull: Pull) -> bool:
        held = sample.position in pull.held
        return not held and is_fresh(sample, pull.version, self.spec.staleness_bound)

    def _reply(self, pull: Pull, samples: Sequence[Sample]) -> PullReply:
        positions = frozenset(sample.position for sample in samples)
        return PullReply(pull.number, samples, self.missing, self.whole_groups(positions))

    def _discard_stale(self, version: int) -> None:
        for position, sample in list(self.ready.items()):
            if not is_fresh(sample, version, self.spec.staleness_bound):
                del self.ready[position]
                self.discarded_stale += 1
                self.wasted_tokens += sample.tokens
                if not self._has_run(position):
                    self._queue.add(position)

    def _remove_run(self, run: Run) -> None:
        if run in self.runs:
            self.runs.remove(run)

    def _queue_missing(self) -> None:
        for position in range(self.spec.size):
            if self._needs_run(position):
                self._queue.add(position)

    def _needs_run(self, position: int) -> bool:
        if position in self.held or self._has_run(position):
            return False
        sample = self.ready.get(position)
        return sample is None or not self._will_be_fresh(sample)

    def _has_run(self, position: int) -> bool:
        return any(run.position == position for run in self.runs)

    def _will_be_fresh(self, sample: Sample) -> bool:
        return is_fresh(sample, self.expected_version, self.spec.staleness_bound)

    def _is_useless(self, run: Run) -> bool:
        if run.position in self.held:
            return True
        if run.oldest_version is None:
            return False
        return self.expected_version - run.oldest_version > self.spec.staleness_bound

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
