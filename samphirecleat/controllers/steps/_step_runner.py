"""Starts, copies and cancels the runs of this node's steps."""

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence
from typing import Final

from ..._waiting import wait_for_event
from ...blackboard import Blackboard
from ...errors import ErrorKind, RequestError
from ...observe import Observer
from ...requests import Span
from ...steps import (
    DEFAULT_COPY_POLICY,
    CopyPolicy,
    FairShareScheduler,
    PaceEstimator,
    Run,
    SlotAvailability,
    Step,
    find_free_slots,
)
from ..admission import Dispatcher, Limiter
from ..weights import StreamedVersionTracker
from ._sample_producer import SampleProducer
from ._step_registry import StepRegistry

PASS_PERIOD_S: Final = 0.05
IDLE_PASS_PERIOD_S: Final = 1.0
ABANDONED_AFTER_S: Final = 15.0


class StepRunner:
    """Produces the samples for the steps of a :class:`StepRegistry`."""

    def __init__(
        self,
        board: Blackboard,
        registry: StepRegistry,
        dispatcher: Dispatcher,
        limiter: Limiter,
        observer: Observer,
        rng: random.Random,
        copy_policy: CopyPolicy = DEFAULT_COPY_POLICY,
    ) -> None:
        """Create a runner; :meth:`drive` starts it."""
        self._board = board
        self._registry = registry
        self._limiter = limiter
        self._observer = observer
        self._rng = rng
        self._copy_policy = copy_policy
        self._producer = SampleProducer(board, dispatcher, rng)
        self._streamed = StreamedVersionTracker(board)
        self._tasks: dict[Run, asyncio.Task[None]] = {}
        self._schedulers: defaultdict[str, FairShareScheduler] = defaultdict(FairShareScheduler)
        self._estimators: defaultdict[str, PaceEstimator] = defaultdict(PaceEstimator)
        self._resume_at_s: defaultdict[str, float] = defaultdict(float)

    @property
    def running(self) -> int:
        """The number of runs in progress."""
        return len(self._tasks)

    async def drive(self) -> None:
        """Start and cancel runs until cancelled.

        Each pull, each submission and the end of each sample triggers a pass at once. The
        periodic pass covers changes without an event, such as slots that callers free.
        """
        loop = asyncio.get_running_loop()
        while True:
            period_s = PASS_PERIOD_S if self._registry.steps else IDLE_PASS_PERIOD_S
            await wait_for_event(self._registry.work_available, period_s)
            self._registry.work_available.clear()
            self.run_pass(loop.time())

    def run_pass(self, now_s: float) -> None:
        """Cancel runs that are no longer useful and start new ones in the free slots."""
        for step in self._registry.evict_expired(now_s):
            for run in list(step.runs):
                self._cancel(step, run)
        self._streamed.drop_removed_targets()
        by_service: dict[str, list[Step]] = defaultdict(list)
        for step in self._registry.steps.values():
            self._cancel_stale_runs(step, now_s)
            by_service[step.spec.service].append(step)
        self._board.active_trainers = {
            service: frozenset(step.spec.trainer for step in steps if not step.done)
            for service, steps in by_service.items()
        }
        if self._board.leaving:
            return
        for service, steps in by_service.items():
            if now_s >= self._resume_at_s[service]:
                active = [s for s in steps if not s.done and not _abandoned(s, now_s)]
                self._start_runs(service, active, now_s)

    async def close(self) -> None:
        """Cancel the runs of this node and wait for them to end."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_runs(self, service: str, steps: Sequence[Step], now_s: float) -> None:
        targets = self._board.targets_of(service)
        availability = find_free_slots(targets, self._board.in_flight)
        free_slots = min(self._limiter.free_trainer_slots(service), availability.free_slots)
        usable = frozenset(target.address for target in targets if target.usable)
        free_slots = self._start_copies(service, steps, usable, availability, free_slots, now_s)
        self._start_first_runs(service, steps, usable, availability, free_slots, now_s)

    def _start_copies(
        self,
        service: str,
        steps: Sequence[Step],
        usable: frozenset[str],
        availability: SlotAvailability,
        free_slots: int,
        now_s: float,
    ) -> int:
        """Start second copies of straggling runs; return the number of slots left.

        Copies start before first runs, since a straggler is on the step's critical path and
        the copy budget keeps copies few.
        """
        pace = self._estimators[service].pace
        for step in steps:
            for slow_run in step.select_runs_to_copy(self._copy_policy, pace, free_slots, now_s):
                excluded = self._excluded_targets(step, availability, now_s) | {slow_run.target}
                if usable - excluded:
                    run = step.record_copy(slow_run, pace, now_s)
                    self._start(step, run, excluded)
                    free_slots -= 1
        return free_slots

    def _start_first_runs(
        self,
        service: str,
        steps: Sequence[Step],
        usable: frozenset[str],
        availability: SlotAvailability,
        free_slots: int,
        now_s: float,
    ) -> None:
        """Start first runs, choosing between trainers by their shares."""
        excluded = {id(step): self._excluded_targets(step, availability, now_s) for step in steps}
        scheduler = self._schedulers[service]
        # A step without a sufficiently new target waits without delaying other steps.
        startable = _by_trainer([step for step in steps if usable - excluded[id(step)]])
        while free_slots > 0 and startable:
            trainer = scheduler.next_trainer(startable)
            step = next((s for s in startable[trainer] if s.next_position(now_s) is not None), None)
            if step is None:
                del startable[trainer]
                continue
            position = step.next_position(now_s)
            assert position is not None
            self._start(step, step.record_start(position, now_s), excluded[id(step)])
            free_slots -= 1
        scheduler.retain({step.spec.trainer for step in steps})

    def _excluded_targets(
        self, step: Step, availability: SlotAvailability, now_s: float
    ) -> frozenset[str]:
        return (
            self._registry.version_forecast.stale_targets(step, now_s) | availability.full_targets
        )

    def _start(self, step: Step, run: Run, excluded: frozenset[str]) -> None:
        spec = step.spec
        shares = {name: t.share for name, t in self._board.config.services.trainers.items()}
        self._schedulers[spec.service].charge(spec.trainer, run.expected_tokens, shares)
        task = asyncio.get_running_loop().create_task(self._produce(step, run, excluded))
        self._tasks[run] = task
        task.add_done_callback(lambda _task: self._tasks.pop(run, None))

    async def _produce(self, step: Step, run: Run, excluded: frozenset[str]) -> None:
        loop = asyncio.get_running_loop()
        try:
            sample = await self._producer.produce(step.spec, run, excluded, self._record_span)
        except RequestError as error:
            self._observer.counters[f"samples_failed_{error.kind.value}"] += 1
            step.record_failure(run, loop.time(), self._rng.random())
            self._back_off(step.spec.service, error, loop.time())
        else:
            self._estimators[step.spec.service].record_run(run)
            self._observer.record_s("sample", loop.time() - run.started_at_s)
            for other in step.record_sample(run, sample):
                self._cancel(step, other)
        finally:
            self._registry.work_available.set()

    def _record_span(self, run: Run, span: Span) -> None:
        self._streamed.record_token(run.target, span.version, asyncio.get_running_loop().time())

    def _back_off(self, service: str, error: RequestError, now_s: float) -> None:
        """Pause an overloaded service's runs; the jitter keeps nodes from retrying in unison."""
        if error.kind is ErrorKind.OVERLOADED:
            wait_s = error.retry_after_s * (0.5 + self._rng.random())
            self._resume_at_s[service] = max(self._resume_at_s[service], now_s + wait_s)

    def _cancel_stale_runs(self, step: Step, now_s: float) -> None:
        predicted_version = self._registry.version_forecast.predicted_version(step, now_s)
        for run in step.set_expected_version(predicted_version):
            self._observer.counters["runs_cancelled_stale"] += 1
            self._cancel(step, run)

    def _cancel(self, step: Step, run: Run) -> None:
        # Recorded here, since a task that is cancelled before it starts never handles the
        # cancellation.
        step.record_cancellation(run)
        task = self._tasks.get(run)
        if task is not None:
            task.cancel()


def _by_trainer(steps: Sequence[Step]) -> dict[str, list[Step]]:
    """Return the steps of each trainer, oldest first."""
    by_trainer: dict[str, list[Step]] = defaultdict(list)
    for step in steps:
        by_trainer[step.spec.trainer].append(step)
    return by_trainer


def _abandoned(step: Step, now_s: float) -> bool:
    """Return whether the step's trainer has stopped pulling, as after moving to another node."""
    return step.pulled and now_s - step.touched_at_s > ABANDONED_AFTER_S
