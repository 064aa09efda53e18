"""Accepts steps from trainers, answers their pulls, and bounds the memory that they use."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final

from ..._waiting import wait_for_event
from ...blackboard import Blackboard
from ...errors import ErrorKind, RequestError
from ...observe import Observer
from ...steps import NO_VERSION, Pull, PullReply, Step, StepSpec, TrainerStats
from ..weights import VersionForecast

PULL_RECHECK_S: Final = 0.5
EVICT_IDLE_AFTER_S: Final = 600.0
EVICT_DONE_AFTER_S: Final = 5.0
MAX_STEPS: Final = 64
MAX_SAMPLES: Final = 65_536
MAX_TRAINERS: Final = 256
OVERLOADED_RETRY_S: Final = 5.0


class StepRegistry:
    """Holds the steps of this node.

    ``work_available`` is set whenever there may be runs to start or to cancel.
    """

    def __init__(self, board: Blackboard, observer: Observer) -> None:
        """Create a registry without steps."""
        self._board = board
        self._observer = observer
        self._stats: dict[str, TrainerStats] = {}
        self.version_forecast = VersionForecast(board)
        self.work_available = asyncio.Event()
        self.steps: dict[tuple[str, str], Step] = {}

    def submit(
        self,
        spec: StepSpec,
        held: frozenset[int],
        client_id: str = "",
        version: int = NO_VERSION,
    ) -> Step:
        """Add a step, or return the existing one; submitting the same step again is safe.

        ``held`` are the positions that the trainer already has. ``version`` is the version
        that the trainer names.

        :raises samphirecleat.errors.RequestError: STEP_CONFLICT if the step exists with
            other contents, UNKNOWN_SERVICE, or OVERLOADED if this node is at its limit of
            steps or samples.
        """
        if self._board.service(spec.service) is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{spec.service}"')
        now_s = asyncio.get_running_loop().time()
        key = (spec.trainer, spec.step_id)
        step = self.steps.get(key)
        if step is None:
            self._check_capacity(spec)
            step = Step(spec, held, now_s, client_id)
            self.steps[key] = step
        elif step.spec != spec:
            raise RequestError(
                ErrorKind.STEP_CONFLICT, f'step "{spec.step_id}" already exists with other contents'
            )
        step.update_held(client_id, held, now_s)
        self.version_forecast.record_version(spec.trainer, version)
        self._stats.setdefault(spec.trainer, TrainerStats(now_s))
        self.work_available.set()
        return step

    def find(self, trainer: str, step_id: str) -> Step:
        """Return a step of this node.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP if this node does not hold
            the step; the trainer then submits it again.
        """
        step = self.steps.get((trainer, step_id))
        if step is None:
            raise RequestError(
                ErrorKind.UNKNOWN_STEP,
                f'step "{step_id}" is not on this node; submit it with the positions already held',
            )
        return step

    async def pull(self, trainer: str, step_id: str, pull: Pull) -> PullReply:
        """Answer a pull, waiting up to its ``wait_s`` for the first sample.

        A leaving node delivers the samples of its remaining runs, and then directs the
        trainer to another node.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP, as in :meth:`find`.
        """
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        self.version_forecast.record_pull(self.find(trainer, step_id), pull.version)
        self.version_forecast.begin_pull(trainer)
        self.work_available.set()
        try:
            reply = await self._wait_for_samples(trainer, step_id, pull)
        finally:
            self.version_forecast.end_pull(trainer)
        stats = self._stats.setdefault(trainer, TrainerStats(started_at_s))
        waited_s = loop.time() - started_at_s
        stats.idle_s += waited_s
        stats.record_delivery(reply.samples, pull.version)
        self._observer.record_s("trainer_wait", waited_s)
        return reply

    def has_undelivered_samples(self, now_s: float) -> bool:
        """Return whether samples are ready for a trainer that pulled recently."""
        return any(
            step.ready and step.pulled and now_s - step.touched_at_s < EVICT_DONE_AFTER_S
            for step in self.steps.values()
        )

    def trainers_report(self, now_s: float) -> Mapping[str, Any]:
        """Return the idle time and staleness of each trainer, as counted by this node."""
        return {name: stats.to_json(now_s) for name, stats in self._stats.items()}

    def evict_expired(self, now_s: float) -> Sequence[Step]:
        """Evict steps that are done or have long been idle, and return them."""
        evicted = []
        for key, step in list(self.steps.items()):
            keep_s = EVICT_DONE_AFTER_S if step.done else EVICT_IDLE_AFTER_S
            if now_s - step.touched_at_s > keep_s:
                evicted.append(self.steps.pop(key))
        if len(self._stats) > MAX_TRAINERS:
            self._evict_trainers()
        return evicted

    async def _wait_for_samples(self, trainer: str, step_id: str, pull: Pull) -> PullReply:
        loop = asyncio.get_running_loop()
        timeout_at_s = loop.time() + pull.wait_s
        while True:
            step = self.find(trainer, step_id)
            reply = step.pull(pull, loop.time())
            remaining_s = timeout_at_s - loop.time()
            leaving = self._board.leaving and not step.runs
            if reply.samples or step.done or remaining_s <= 0 or leaving:
                return reply._replace(leaving=leaving)
            self.work_available.set()
            await wait_for_event(step.changed, min(remaining_s, PULL_RECHECK_S))

    def _check_capacity(self, spec: StepSpec) -> None:
        """Refuse a step that would exceed this node's limit of steps or samples.

        :raises samphirecleat.errors.RequestError: OVERLOADED if it would.
        """
        samples = sum(step.spec.size for step in self.steps.values())
        if len(self.steps) >= MAX_STEPS or samples + spec.size > MAX_SAMPLES:
            raise RequestError(
                ErrorKind.OVERLOADED,
                "this node is at its limit of steps or samples; submit the step to another node",
                retry_after_s=OVERLOADED_RETRY_S,
            )

    def _evict_trainers(self) -> None:
        """Keep only trainers with a step.

        Trainers choose their own names, so without eviction the statistics could fill the
        memory.
        """
        active = {trainer for trainer, _step_id in self.steps}
        self._stats = {name: s for name, s in self._stats.items() if name in active}
        self.version_forecast.retain_trainers(active)
