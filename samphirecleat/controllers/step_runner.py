"""Works on the steps that trainers submitted to this node."""

import asyncio
import secrets
from collections.abc import Mapping
from typing import Final

from ..blackboard import Blackboard
from ..errors import ErrorKind, RequestError
from ..observe import Observer
from ..requests import AnswerLog, Call, Span, WorkClass, merge_spans
from ..steps import Pull, PullReply, Sample, StartSample, Step, StepSpec
from .dispatcher import Dispatcher
from .limiter import Limiter

TICK_S: Final = 0.02
SAMPLE_DEADLINE_S: Final = 60.0
FORGET_AFTER_S: Final = 600.0


class StepRunner:
    """Holds the steps of this node and drives :class:`~samphirecleat.steps.Step`."""

    def __init__(
        self, board: Blackboard, dispatcher: Dispatcher, limiter: Limiter, observer: Observer
    ) -> None:
        """Wire the parts that make samples."""
        self._board = board
        self._dispatcher = dispatcher
        self._limiter = limiter
        self._observer = observer
        self._runs: set[asyncio.Task[None]] = set()
        self.steps: dict[tuple[str, str], Step] = {}

    def submit(self, spec: StepSpec, held: frozenset[int]) -> Step:
        """Take a step, or find it again; the same step may come any number of times.

        :raises samphirecleat.errors.RequestError: STEP_CONFLICT for another step
            of the same name, UNKNOWN_SERVICE.
        """
        service = self._board.service(spec.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{spec.service}"')
        key = (spec.trainer, spec.step_id)
        step = self.steps.get(key)
        if step is None:
            step = Step(spec, held, asyncio.get_running_loop().time())
            self.steps[key] = step
        elif step.spec != spec:
            raise RequestError(
                ErrorKind.STEP_CONFLICT, f'step "{spec.step_id}" was submitted with other contents'
            )
        step.held |= held
        return step

    async def pull(self, trainer: str, step_id: str, pull: Pull) -> PullReply:
        """Answer a pull, waiting up to its ``wait_s`` for a first sample.

        :raises samphirecleat.errors.RequestError: UNKNOWN_STEP when this node does
            not work on the step; the trainer then submits it again.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + pull.wait_s
        while True:
            step = self.steps.get((trainer, step_id))
            if step is None:
                raise RequestError(
                    ErrorKind.UNKNOWN_STEP, f'submit step "{step_id}" here with what you hold'
                )
            reply = step.pull(pull, loop.time())
            left_s = give_up_at_s - loop.time()
            done = len(step.held) == step.spec.size
            if reply.samples or done or left_s <= 0 or self._board.leaving:
                return reply
            await _wait(step.changed, min(left_s, 0.5))

    async def drive(self) -> None:
        """Start runs for as long as the node lives."""
        while True:
            await asyncio.sleep(TICK_S)
            self._forget_old(asyncio.get_running_loop().time())
            if self._board.leaving:
                continue
            self._board.active_trainers = self._find_active_trainers()
            for step in list(self.steps.values()):
                for start in step.decide_starts(self._limiter.trainer_room(step.spec.service)):
                    self._start(step, start)

    async def close(self) -> None:
        """Cancel the runs of this node."""
        for task in list(self._runs):
            task.cancel()
        await asyncio.gather(*self._runs, return_exceptions=True)

    def _find_active_trainers(self) -> Mapping[str, frozenset[str]]:
        """Return the trainers with samples still to make here, by service."""
        active: dict[str, set[str]] = {}
        for step in self.steps.values():
            if step.missing:
                active.setdefault(step.spec.service, set()).add(step.spec.trainer)
        return {service: frozenset(trainers) for service, trainers in active.items()}

    def _start(self, step: Step, start: StartSample) -> None:
        step.note_started(start)
        task = asyncio.get_running_loop().create_task(self._make(step, start))
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)

    async def _make(self, step: Step, start: StartSample) -> None:
        sample = None
        try:
            sample = await self._generate(step.spec, start)
        except RequestError as error:
            self._observer.counters[f"samples_failed_{error.kind.value}"] += 1
            await asyncio.sleep(min(error.retry_after_s, 0.2))
        finally:
            step.note_ended(start.position, sample)

    async def _generate(self, spec: StepSpec, start: StartSample) -> Sample:
        request_id = (
            f"{spec.trainer}/{spec.step_id}/{start.position}"
            f"/{self._board.identity.incarnation}-{start.attempt}-{secrets.token_hex(3)}"
        )
        body = {"prompt": spec.prompt_of(start.position), "max_tokens": spec.max_tokens}
        answer = await self._call(spec.service, "generate", body, request_id)
        text: list[str] = []
        spans: list[Span] = []
        target = run_id = ""
        async for line in answer.read():
            text.append(line.get("text", ""))
            spans.extend(line.get("spans", ()))
            target = line.get("target", target)
            run_id = line.get("run_id", run_id)
        whole = "".join(text)
        score = await self._score(spec, whole, request_id)
        return Sample(start.position, whole, merge_spans(spans), score, target, run_id, request_id)

    async def _score(self, spec: StepSpec, text: str, request_id: str) -> float | None:
        if not spec.scoring:
            return None
        answer = await self._call(spec.scoring, "score", {"text": text}, f"{request_id}/score")
        async for line in answer.read():
            return float(line["result"]["score"])
        raise RequestError(ErrorKind.TARGET_FAILED, "the scoring service gave no score")

    async def _call(
        self, service: str, method: str, body: dict[str, object], request_id: str
    ) -> AnswerLog:
        answer = AnswerLog()
        call = Call(
            service=service,
            method=method,
            body=body,
            deadline_at_s=asyncio.get_running_loop().time() + SAMPLE_DEADLINE_S,
            priority=0,
            idempotent=True,
            request_id=request_id,
            work_class=WorkClass.TRAINER,
        )
        await self._dispatcher.run(call, answer)
        return answer

    def _forget_old(self, now_s: float) -> None:
        for key, step in list(self.steps.items()):
            whole = len(step.held) == step.spec.size
            if now_s - step.touched_at_s > (FORGET_AFTER_S if not whole else 5.0):
                del self.steps[key]


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
