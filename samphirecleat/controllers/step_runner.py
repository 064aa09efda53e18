"""Works on the steps that trainers submitted to this node."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from contextlib import suppress
from typing import Any, Final

from ..blackboard import Blackboard
from ..errors import ErrorKind, RequestError
from ..observe import Observer
from ..requests import Span
from ..steps import (
    DEFAULT_COPY_POLICY,
    NO_VERSION,
    CopyPolicy,
    PaceBook,
    Pull,
    PullReply,
    Run,
    ShareBook,
    Step,
    StepSpec,
    TrainerPace,
    TrainerStats,
    coming_version,
    stale_targets,
)
from .dispatcher import Dispatcher
from .limiter import Limiter
from .sample_maker import SampleMaker
from .streamed_versions import StreamedVersions, true_version

TICK_S: Final = 0.05
IDLE_TICK_S: Final = 1.0
PULL_RECHECK_S: Final = 0.5
FORGET_AFTER_S: Final = 600.0
FORGET_DONE_AFTER_S: Final = 5.0
ABANDONED_AFTER_S: Final = 15.0
MAX_STEPS: Final = 64
MAX_SAMPLES: Final = 65_536
FULL_RETRY_S: Final = 5.0


class StepRunner:
    """Holds the steps of this node and drives :class:`~samphirecleat.steps.Step`."""

    def __init__(
        self,
        board: Blackboard,
        dispatcher: Dispatcher,
        limiter: Limiter,
        observer: Observer,
        rng: random.Random,
        copy_policy: CopyPolicy = DEFAULT_COPY_POLICY,
    ) -> None:
        """Wire the parts that make samples."""
        self._board = board
        self._limiter = limiter
        self._observer = observer
        self._rng = rng
        self._copy_policy = copy_policy
        self._maker = SampleMaker(board, dispatcher, rng)
        self._streamed = StreamedVersions(board)
        self._work = asyncio.Event()
        self._tasks: dict[Run, asyncio.Task[None]] = {}
        self._shares: defaultdict[str, ShareBook] = defaultdict(ShareBook)
        self._paces: defaultdict[str, PaceBook] = defaultdict(PaceBook)
        self._resume_at_s: defaultdict[str, float] = defaultdict(float)
        self._trainers: dict[str, TrainerPace] = {}
        self._pulling: Counter[str] = Counter()
        self._stats: dict[str, TrainerStats] = {}
        self.steps: dict[tuple[str, str], Step] = {}

    def submit(
        self,
        spec: StepSpec,
        held: frozenset[int],
        client_id: str = "",
        version: int = NO_VERSION,
    ) -> Step:
        """Take a step, or find it again; the same step may come any number of times.

        :raises samphirecleat.errors.RequestError: STEP_CONFLICT for another step
            of the same name, UNKNOWN_SERVICE, OVERLOADED when this node holds
            as many steps or samples as it may.
        """
        if self._board.service(spec.service) is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{spec.service}"')
        now_s = asyncio.get_running_loop().time()
        key = (spec.trainer, spec.step_id)
        step = self.steps.get(key)
        if step is None:
            self._check_room(spec, now_s)
            step = Step(spec, held, now_s, client_id)
            self.steps[key] = step
        elif step.spec != spec:
            raise RequestError(
                ErrorKind.STEP_CONFLICT, f'step "{spec.step_id}" was submitted with other contents'
            )
        step.take_held(client_id, held, now_s)
        self._note_version(spec.trainer, version)
        self._stats.setdefault(spec.trainer, TrainerStats(now_s))
        self._work.set()
        return step

    def find(self, trainer: str, step_id: str) -> Step:
        """Return a step of this node.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP when this node does
            not work on the step; the trainer then submits it again.
        """
        step = self.steps.get((trainer, step_id))
        if step is None:
            raise RequestError(
                ErrorKind.UNKNOWN_STEP, f'submit step "{step_id}" here with what you hold'
            )
        return step

    async def pull(self, trainer: str, step_id: str, pull: Pull) -> PullReply:
        """Answer a pull, waiting up to its ``wait_s`` for a first sample.

        A node that leaves answers what its last runs give, and then asks the
        trainer to go elsewhere.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP, as :meth:`find`.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        self._note_pulled_version(self.find(trainer, step_id), pull.version)
        self._pulling[trainer] += 1
        self._work.set()
        try:
            reply = await self._wait_for_samples(trainer, step_id, pull)
        finally:
            self._pulling[trainer] -= 1
        stats = self._stats.setdefault(trainer, TrainerStats(started_at_s))
        waited_s = loop.time() - started_at_s
        stats.idle_s += waited_s
        stats.note_delivered(reply.samples, pull.version)
        self._observer.record_s("trainer_wait", waited_s)
        return reply

    async def _wait_for_samples(self, trainer: str, step_id: str, pull: Pull) -> PullReply:
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + pull.wait_s
        while True:
            step = self.find(trainer, step_id)
            reply = step.pull(pull, loop.time())
            left_s = give_up_at_s - loop.time()
            leaving = self._board.leaving and not step.runs
            if reply.samples or step.done or left_s <= 0 or leaving:
                return reply._replace(leaving=leaving)
            self._work.set()
            await _wait(step.changed, min(left_s, PULL_RECHECK_S))

    async def drive(self) -> None:
        """Start and cancel runs for as long as the node lives.

        Every sample that ends, pull and submission brings a pass at once; the
        tick is for what nothing tells of, as when callers leave room.
        """
        loop = asyncio.get_running_loop()
        while True:
            await _wait(self._work, TICK_S if self.steps else IDLE_TICK_S)
            self._work.clear()
            self._forget_old(loop.time())
            self.run_pass(loop.time())

    def run_pass(self, now_s: float) -> None:
        """Cancel what is of no use any more and start what there is room for."""
        by_service: dict[str, list[Step]] = defaultdict(list)
        for step in self.steps.values():
            self._cancel_useless(step, now_s)
            by_service[step.spec.service].append(step)
        self._board.active_trainers = self._find_active_trainers()
        if self._board.leaving:
            return
        for service, steps in by_service.items():
            if now_s < self._resume_at_s[service]:
                continue
            active = [step for step in steps if not step.done and not _abandoned(step, now_s)]
            room = self._start_first_runs(
                service, active, self._limiter.trainer_room(service), now_s
            )
            self._start_copies(service, active, room, now_s)

    async def close(self) -> None:
        """Cancel the runs of this node."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _find_active_trainers(self) -> Mapping[str, frozenset[str]]:
        """Return the trainers with samples still to make here, by service."""
        active: dict[str, set[str]] = {}
        for step in self.steps.values():
            if not step.done:
                active.setdefault(step.spec.service, set()).add(step.spec.trainer)
        return {service: frozenset(trainers) for service, trainers in active.items()}

    def undelivered(self, now_s: float) -> bool:
        """Whether samples are ready for a trainer that pulled lately."""
        return any(
            step.ready and step.pulled and now_s - step.touched_at_s < FORGET_DONE_AFTER_S
            for step in self.steps.values()
        )

    def trainers_report(self, now_s: float) -> Mapping[str, Any]:
        """Return each trainer's idle time and staleness as counted here."""
        return {name: stats.to_json(now_s) for name, stats in self._stats.items()}

    def _start_first_runs(
        self, service: str, steps: Sequence[Step], room: int, now_s: float
    ) -> int:
        """Start runs, the trainers in turn by their shares; return the room left."""
        excluded = {id(step): self._stale_targets(step, now_s) for step in steps}
        usable = {t.address for t in self._board.targets_of(service) if t.usable}
        shares = {name: t.share for name, t in self._board.config.services.trainers.items()}
        book = self._shares[service]
        # A step without a target that is new enough waits, and holds up no other.
        waiting = _by_trainer([step for step in steps if usable - excluded[id(step)]])
        while room > 0 and waiting:
            trainer = book.next_trainer(waiting)
            step = next((s for s in waiting[trainer] if s.next_start(now_s) is not None), None)
            if step is None:
                del waiting[trainer]
                continue
            position = step.next_start(now_s)
            assert position is not None
            run = step.note_started(position, now_s)
            book.charge(trainer, run.expected_tokens, shares)
            self._start(step, run, excluded[id(step)])
            room -= 1
        book.rest({step.spec.trainer for step in steps})
        return room

    def _start_copies(self, service: str, steps: Sequence[Step], room: int, now_s: float) -> None:
        pace = self._paces[service].pace
        for step in steps:
            for late in step.copies_wanted(self._copy_policy, pace, room, now_s):
                excluded = self._stale_targets(step, now_s) | {late.target}
                if any(
                    target.usable and target.address not in excluded
                    for target in self._board.targets_of(service)
                ):
                    run = step.note_started(late.position, now_s, is_copy=True)
                    self._start(step, run, excluded)
                    room -= 1

    def _start(self, step: Step, run: Run, excluded: frozenset[str]) -> None:
        task = asyncio.get_running_loop().create_task(self._make(step, run, excluded))
        self._tasks[run] = task
        task.add_done_callback(lambda _task: self._tasks.pop(run, None))

    async def _make(self, step: Step, run: Run, excluded: frozenset[str]) -> None:
        loop = asyncio.get_running_loop()
        try:
            sample = await self._maker.make(step.spec, run, excluded, self._note_span)
        except RequestError as error:
            self._observer.counters[f"samples_failed_{error.kind.value}"] += 1
            step.note_failed(run, loop.time(), self._rng.random())
            self._back_off(step.spec.service, error, loop.time())
        else:
            self._paces[step.spec.service].note(run)
            self._observer.record_s("sample", loop.time() - run.started_at_s)
            for other in step.note_made(run, sample):
                self._cancel(step, other)
        finally:
            self._work.set()

    def _note_span(self, run: Run, span: Span) -> None:
        self._streamed.note(run.target, span.version, asyncio.get_running_loop().time())

    def _back_off(self, service: str, error: RequestError, now_s: float) -> None:
        """Let a service that has no room rest; the jitter keeps nodes out of step."""
        if error.kind is ErrorKind.OVERLOADED:
            wait_s = error.retry_after_s * (0.5 + self._rng.random())
            self._resume_at_s[service] = max(self._resume_at_s[service], now_s + wait_s)

    def _cancel_useless(self, step: Step, now_s: float) -> None:
        for run in step.expect_version(self._coming_version(step, now_s)):
            self._observer.counters["runs_cancelled_stale"] += 1
            self._cancel(step, run)

    def _cancel(self, step: Step, run: Run) -> None:
        # Booked here and not in the task: a task that never began sees no cancellation.
        step.note_cancelled(run)
        task = self._tasks.get(run)
        if task is not None:
            task.cancel()

    def _coming_version(self, step: Step, now_s: float) -> int:
        trainer = step.spec.trainer
        pace = self._trainers.get(trainer, TrainerPace())
        pace = pace._replace(pulling=self._pulling[trainer] > 0)
        return coming_version(pace, self._newest_version(step.spec.service, now_s))

    def _newest_version(self, service: str, now_s: float) -> int:
        """Return the newest version known: from the store, or live on a target.

        Only the coordinator reads the store; the targets tell all the others.
        """
        weights = self._board.weights.get(service)
        versions = [true_version(self._board, t, now_s) for t in self._board.targets_of(service)]
        return max([*versions, weights.latest_version if weights else NO_VERSION])

    def _stale_targets(self, step: Step, now_s: float) -> frozenset[str]:
        targets = [
            target._replace(version=true_version(self._board, target, now_s))
            for target in self._board.targets_of(step.spec.service)
        ]
        coming = self._coming_version(step, now_s)
        return stale_targets(targets, coming, step.spec.staleness_bound)

    def _note_version(self, trainer: str, version: int) -> None:
        pace = self._trainers.get(trainer, TrainerPace())
        self._trainers[trainer] = pace._replace(version=max(pace.version, version))

    def _note_pulled_version(self, step: Step, version: int) -> None:
        trainer = step.spec.trainer
        pace = self._trainers.get(trainer, TrainerPace())
        if step.pulled and not step.done and NO_VERSION < pace.version < version:
            self._trainers[trainer] = pace._replace(moves_within_steps=True)
        self._note_version(trainer, version)

    def _check_room(self, spec: StepSpec, now_s: float) -> None:
        """Refuse a step that would take more memory than this node gives to steps."""
        self._forget_old(now_s)
        samples = sum(step.spec.size for step in self.steps.values())
        if len(self.steps) >= MAX_STEPS or samples + spec.size > MAX_SAMPLES:
            raise RequestError(
                ErrorKind.OVERLOADED,
                "this node works on as many steps as it may; submit it to another",
                retry_after_s=FULL_RETRY_S,
            )

    def _forget_old(self, now_s: float) -> None:
        for key, step in list(self.steps.items()):
            keep_s = FORGET_DONE_AFTER_S if step.done else FORGET_AFTER_S
            if now_s - step.touched_at_s > keep_s:
                for run in list(step.runs):
                    self._cancel(step, run)
                del self.steps[key]
        self._streamed.forget_gone()


def _by_trainer(steps: Sequence[Step]) -> dict[str, list[Step]]:
    """Return the steps of each trainer, the oldest first."""
    found: dict[str, list[Step]] = defaultdict(list)
    for step in steps:
        found[step.spec.trainer].append(step)
    return found


def _abandoned(step: Step, now_s: float) -> bool:
    """Whether its trainer pulled before and went silent, as one that moved to another node."""
    return step.pulled and now_s - step.touched_at_s > ABANDONED_AFTER_S


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    # Not asyncio.wait_for: up to Python 3.11 it drops a cancellation that comes
    # in the moment in which the event is set, and the task then never ends.
    with suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
