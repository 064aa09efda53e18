"""Takes steps from trainers and answers their pulls; bounds what is held of them."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final

from ..._waiting import wait_for_event
from ...blackboard import Blackboard
from ...errors import ErrorKind, RequestError
from ...observe import Observer
from ...steps import NO_VERSION, Pull, PullReply, Step, StepSpec, TrainerStats
from ..weights import VersionOutlook

PULL_RECHECK_S: Final = 0.5
FORGET_AFTER_S: Final = 600.0
FORGET_DONE_AFTER_S: Final = 5.0
MAX_STEPS: Final = 64
MAX_SAMPLES: Final = 65_536
MAX_TRAINERS: Final = 256
FULL_RETRY_S: Final = 5.0


class StepRegistry:
    """Holds the steps of this node.

    ``work`` is set whenever there may be something to start or to cancel.
    """

    def __init__(self, board: Blackboard, observer: Observer) -> None:
        """Start without any step."""
        self._board = board
        self._observer = observer
        self._stats: dict[str, TrainerStats] = {}
        self.outlook = VersionOutlook(board)
        self.work = asyncio.Event()
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
            self._check_room(spec)
            step = Step(spec, held, now_s, client_id)
            self.steps[key] = step
        elif step.spec != spec:
            raise RequestError(
                ErrorKind.STEP_CONFLICT, f'step "{spec.step_id}" was submitted with other contents'
            )
        step.update_held(client_id, held, now_s)
        self.outlook.note_version(spec.trainer, version)
        self._stats.setdefault(spec.trainer, TrainerStats(now_s))
        self.work.set()
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
        self.outlook.note_pull(self.find(trainer, step_id), pull.version)
        self.outlook.begin_pull(trainer)
        self.work.set()
        try:
            reply = await self._wait_for_samples(trainer, step_id, pull)
        finally:
            self.outlook.end_pull(trainer)
        stats = self._stats.setdefault(trainer, TrainerStats(started_at_s))
        waited_s = loop.time() - started_at_s
        stats.idle_s += waited_s
        stats.record_delivery(reply.samples, pull.version)
        self._observer.record_s("trainer_wait", waited_s)
        return reply

    def undelivered(self, now_s: float) -> bool:
        """Whether samples are ready for a trainer that pulled lately."""
        return any(
            step.ready and step.pulled and now_s - step.touched_at_s < FORGET_DONE_AFTER_S
            for step in self.steps.values()
        )

    def trainers_report(self, now_s: float) -> Mapping[str, Any]:
        """Return each trainer's idle time and staleness as counted here."""
        return {name: stats.to_json(now_s) for name, stats in self._stats.items()}

    def forget_old(self, now_s: float) -> Sequence[Step]:
        """Forget steps that are whole or long untouched, and return them."""
        forgotten = []
        for key, step in list(self.steps.items()):
            keep_s = FORGET_DONE_AFTER_S if step.done else FORGET_AFTER_S
            if now_s - step.touched_at_s > keep_s:
                forgotten.append(self.steps.pop(key))
        if len(self._stats) > MAX_TRAINERS:
            self._forget_trainers()
        return forgotten

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
            self.work.set()
            await wait_for_event(step.changed, min(left_s, PULL_RECHECK_S))

    def _check_room(self, spec: StepSpec) -> None:
        """Refuse a step that would take more memory than this node gives to steps."""
        samples = sum(step.spec.size for step in self.steps.values())
        if len(self.steps) >= MAX_STEPS or samples + spec.size > MAX_SAMPLES:
            raise RequestError(
                ErrorKind.OVERLOADED,
                "this node works on as many steps as it may; submit it to another",
                retry_after_s=FULL_RETRY_S,
            )

    def _forget_trainers(self) -> None:
        """Keep only trainers with a step: names are free, and would fill the memory."""
        active = {trainer for trainer, _step_id in self.steps}
        self._stats = {name: s for name, s in self._stats.items() if name in active}
        self.outlook.forget_others(active)
