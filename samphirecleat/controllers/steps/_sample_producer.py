"""Produces one sample: a streamed generation and its score."""

import asyncio
import random
import secrets
from collections.abc import Callable, Collection
from typing import Final

from ..._decoding import MALFORMED_INPUT_ERRORS
from ...blackboard import Blackboard
from ...errors import ErrorKind, RequestError
from ...requests import AnswerLine, AnswerLog, Call, Span, WorkClass, merge_spans
from ...steps import Run, Sample, StepSpec
from ..admission import Dispatcher

SAMPLE_DEADLINE_S: Final = 600.0
SCORE_DEADLINE_S: Final = 30.0
MAX_SCORE_ATTEMPTS: Final = 8
MIN_SCORE_RETRY_DELAY_S: Final = 0.1
MAX_SCORE_RETRY_DELAY_S: Final = 3.0
SpanCallback = Callable[[Run, Span], None]


class _ProgressTrackingAnswer(AnswerLog):
    """An answer that also records its run's progress as its lines arrive."""

    def __init__(self, run: Run, on_span: SpanCallback) -> None:
        super().__init__()
        self._run = run
        self._on_span = on_span

    def add(self, line: AnswerLine) -> None:
        self._run.target = self.target
        for span in line.get("spans", ()):
            self._run.record_span(span, asyncio.get_running_loop().time())
            self._on_span(self._run, span)
        super().add(line)


class SampleProducer:
    """Sends the calls for one sample through the dispatcher."""

    def __init__(self, board: Blackboard, dispatcher: Dispatcher, rng: random.Random) -> None:
        """Use ``rng`` for the jitter of score retries."""
        self._board = board
        self._dispatcher = dispatcher
        self._rng = rng

    async def produce(
        self, spec: StepSpec, run: Run, excluded: Collection[str], on_span: SpanCallback
    ) -> Sample:
        """Return the sample of a run; its spans cover all tokens that were received.

        A failed score is retried with the same text, since generating again would cost far
        more and gain nothing.

        :raises samphirecleat.errors.RequestError: if the generation or the scoring fails.
        """
        request_id = self._request_id(spec, run)
        body = {
            "prompt": spec.prompt_of(run.position),
            "max_tokens": spec.max_tokens_of(run.position),
            # Streamed, so that the run's progress and versions are known while it runs.
            "stream": True,
        }
        answer = _ProgressTrackingAnswer(run, on_span)
        await self._call(spec.service, "generate", body, request_id, answer, excluded)
        text: list[str] = []
        spans: list[Span] = []
        target = run_id = ""
        async for line in answer.read():
            text.append(line.get("text", ""))
            spans.extend(line.get("spans", ()))
            target = line.get("target", target)
            run_id = line.get("run_id", run_id)
        if not spans:
            raise RequestError(ErrorKind.TARGET_FAILED, "the engine returned no tokens")
        run.generated_at_s = asyncio.get_running_loop().time()
        full_text = "".join(text)
        score = await self._score(spec, full_text, request_id)
        return Sample(
            run.position, full_text, merge_spans(spans), score, target, run_id, request_id
        )

    async def _score(self, spec: StepSpec, text: str, request_id: str) -> float | None:
        if not spec.scoring:
            return None
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._score_once(spec.scoring, text, f"{request_id}/score-{attempt}")
            except RequestError as error:
                if attempt >= MAX_SCORE_ATTEMPTS or error.kind is ErrorKind.UNKNOWN_SERVICE:
                    raise
                doubled_s = MIN_SCORE_RETRY_DELAY_S * 2.0 ** (attempt - 1)
                wait_s = max(error.retry_after_s, min(MAX_SCORE_RETRY_DELAY_S, doubled_s))
                await asyncio.sleep(wait_s * (0.5 + self._rng.random()))

    async def _score_once(self, service: str, text: str, request_id: str) -> float:
        answer = AnswerLog()
        await self._call(service, "score", {"text": text}, request_id, answer)
        async for line in answer.read():
            try:
                return float(line["result"]["score"])
            except MALFORMED_INPUT_ERRORS as error:
                raise RequestError(
                    ErrorKind.TARGET_FAILED,
                    "the scoring service returned a score that is not a number",
                ) from error
        raise RequestError(ErrorKind.TARGET_FAILED, "the scoring service returned no score")

    async def _call(
        self,
        service: str,
        method: str,
        body: dict[str, object],
        request_id: str,
        answer: AnswerLog,
        excluded: Collection[str] = (),
    ) -> None:
        deadline_s = SAMPLE_DEADLINE_S if method == "generate" else SCORE_DEADLINE_S
        call = Call(
            service=service,
            method=method,
            body=body,
            deadline_at_s=asyncio.get_running_loop().time() + deadline_s,
            priority=0,
            idempotent=True,
            request_id=request_id,
            work_class=WorkClass.TRAINER,
            excluded_targets=excluded,
        )
        await self._dispatcher.run(call, answer)

    def _request_id(self, spec: StepSpec, run: Run) -> str:
        incarnation = self._board.identity.incarnation
        return (
            f"{spec.trainer}/{spec.step_id}/{run.position}"
            f"/{incarnation}-{run.attempt}-{secrets.token_hex(3)}"
        )
