"""The load of a trial: callers of both services, and one trainer with its steps."""

import asyncio
import random
import time
from typing import Final

import aiohttp

from ..client import CallerClient, StepRequest, TrainerClient
from ..errors import RequestError
from ._fleet import Fleet
from ._records import CallReceipt, Receipts, SampleReceipt, StepReceipt

CALLS_PER_S: Final = 40.0
CALL_TOKENS: Final = 12
CALL_DEADLINE_S: Final = 8.0
STEP_GROUPS: Final = 8
SAMPLES_PER_GROUP: Final = 4
STEP_TOKENS: Final = 24
STALENESS_BOUND: Final = 2
TRAIN_S: Final = 0.3


class Workload:
    """Drives a fleet until told to stop, and keeps the receipts."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Draw the load from ``seed``."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.receipts = Receipts()
        self.trainer_version = 0
        self._calls: set[asyncio.Task[None]] = set()
        self._stopping = False

    async def run(self, seconds: float) -> None:
        """Send load for ``seconds``, then let what is in flight end."""
        async with aiohttp.ClientSession() as session:
            trainer = asyncio.create_task(self._train(session))
            await self._send_calls(session, seconds)
            self._stopping = True
            await asyncio.gather(*self._calls, trainer)

    async def _send_calls(self, session: aiohttp.ClientSession, seconds: float) -> None:
        client = CallerClient(
            session,
            self._fleet.bootstrap,
            self._fleet.shape.zones[0],
            seed=self._rng.randrange(2**32),
        )
        end_at_s = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end_at_s:
            number += 1
            task = asyncio.create_task(self._call(client, number))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._rng.expovariate(CALLS_PER_S))

    async def _call(self, client: CallerClient, number: int) -> None:
        shape = self._fleet.shape
        service, method, idempotent = self._rng.choice(
            [
                (shape.engine_service, "generate", True),
                (shape.plain_service, shape.plain_idempotent, True),
                (shape.plain_service, shape.plain_once, False),
            ]
        )
        prompt = f"quote {number} for client {self._rng.randrange(50)}"
        body = {"prompt": prompt, "max_tokens": CALL_TOKENS}
        started_at_s = time.monotonic()
        answer = error = None
        try:
            answer = await client.call(
                service, method, body, deadline_s=CALL_DEADLINE_S, idempotent=idempotent
            )
        except RequestError as failed:
            error = failed
        took_s = time.monotonic() - started_at_s
        self.receipts.calls.append(
            CallReceipt(number, service, method, prompt, idempotent, answer, error, took_s)
        )

    async def _train(self, session: aiohttp.ClientSession) -> None:
        client = TrainerClient(
            session, "trainer-1", self._fleet.bootstrap, lambda: self.trainer_version
        )
        number = 0
        while not self._stopping:
            number += 1
            await self._step(client, number)
            await asyncio.sleep(TRAIN_S)
            self.receipts.trained_s += TRAIN_S
            await self._publish_weights(session)

    async def _step(self, client: TrainerClient, number: int) -> None:
        request = StepRequest(
            step_id=f"step-{number}",
            service=self._fleet.shape.engine_service,
            prompts=[f"lesson {number}, group {group}" for group in range(STEP_GROUPS)],
            samples_per_group=SAMPLES_PER_GROUP,
            max_tokens=STEP_TOKENS,
            staleness_bound=STALENESS_BOUND,
            scoring="scoring",
        )
        started_at_s = time.monotonic()
        async for sample in client.run_step(request):
            self.receipts.samples.append(
                SampleReceipt(
                    request.step_id,
                    sample,
                    request.prompts[sample.position // SAMPLES_PER_GROUP],
                    self.trainer_version,
                    STALENESS_BOUND,
                    time.monotonic() - started_at_s,
                )
            )
        waited_s = time.monotonic() - started_at_s
        self.receipts.waited_s += waited_s
        self.receipts.steps.append(StepReceipt(request.step_id, request.size, waited_s))

    async def _publish_weights(self, session: aiohttp.ClientSession) -> None:
        self.trainer_version += 1
        service = self._fleet.shape.engine_service
        url = f"{self._fleet.store.url}/v1/services/{service}/versions/{self.trainer_version}"
        try:
            async with session.put(url) as response:
                await response.read()
        except aiohttp.ClientError:
            return
