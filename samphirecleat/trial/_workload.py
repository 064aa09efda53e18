"""The load of a trial: callers of both services and one trainer."""

import asyncio
import random
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import aiohttp

from ..client import CallAnswer, CallerClient, StepRequest, TrainerClient
from ..errors import ErrorKind, RequestError
from ..node import Node
from ..steps import Sample
from ._exchange_watch import trace_exchanges
from ._fleet import Fleet
from ._records import CallReceipt, Receipts, SampleReceipt, StepReceipt

CALLS_PER_S: Final = 40.0
CALL_TOKENS: Final = 12
CALL_DEADLINE_S: Final = 8.0
STEP_GROUPS: Final = 8
SAMPLES_PER_GROUP: Final = 4
STEP_TOKENS: Final = 24
STALENESS_BOUND: Final = 2
TRAINING_TIME_S: Final = 0.3
STEP_TIMEOUT_S: Final = 45.0


class Workload:
    """Sends load to a fleet and keeps the receipts."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        """Create a workload that is drawn from ``seed``."""
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.receipts = Receipts()
        self.trainer_version = 0
        self._pull_version = 0
        self._prompt_count = 0
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    async def run(self, seconds: float) -> None:
        """Send load for ``seconds`` or until :meth:`stop`, then wait for pending calls."""
        async with self.new_session() as session:
            trainer = asyncio.create_task(self._run_trainer(session))
            await self._send_calls(session, seconds)
            self.stop()
            await asyncio.gather(*self._call_tasks, trainer)

    def stop(self) -> None:
        """Stop sending new load; :meth:`run` returns when pending calls have finished."""
        self._stopping = True

    def new_session(self) -> aiohttp.ClientSession:
        """Return a session whose HTTP exchanges are recorded in the receipts."""
        traces = [trace_exchanges(self.receipts.exchanges)]
        return aiohttp.ClientSession(trace_configs=traces)

    def new_client(self, session: aiohttp.ClientSession) -> CallerClient:
        """Return a caller client in a random zone of the deployment."""
        zone = self._rng.choice(list(self._fleet.shape.zones))
        return CallerClient(session, self._fleet.bootstrap, zone, seed=self._rng.randrange(2**32))

    async def call(
        self,
        client: CallerClient,
        service: str,
        method: str,
        *,
        idempotent: bool,
        max_tokens: int = CALL_TOKENS,
        deadline_s: float = CALL_DEADLINE_S,
    ) -> None:
        """Make one call and record its receipt."""
        body = self._new_body(max_tokens)

        async def send() -> CallAnswer:
            return await client.call(
                service, method, body, deadline_s=deadline_s, idempotent=idempotent
            )

        await self._record_call(service, method, body, idempotent, send)

    async def call_node(
        self, session: aiohttp.ClientSession, node: Node, *, max_tokens: int
    ) -> None:
        """Make one call through the given node without retries and record its receipt."""
        body = self._new_body(max_tokens)
        service = self._fleet.shape.engine_service
        identity = node.board.identity
        key = f"{identity.node_id}.{identity.incarnation}.0.{secrets.token_hex(8)}"
        url = f"http://{identity.http_address}/v1/services/{service}/generate"

        async def send() -> CallAnswer:
            try:
                async with session.post(url, json=body, headers={"x-request-key": key}) as response:
                    answer = await response.json()
            except (aiohttp.ClientError, OSError) as error:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error
            if response.status != 200:
                raise RequestError.from_body(answer["error"])
            return CallAnswer(key, answer)

        await self._record_call(service, "generate", body, True, send)

    async def call_plain(self, session: aiohttp.ClientSession, node: Node, prompt: str) -> None:
        """Send an idempotent plain call to the given node and ignore its outcome."""
        shape = self._fleet.shape
        address = node.board.identity.http_address
        url = f"http://{address}/v1/services/{shape.plain_service}/{shape.plain_idempotent}"
        try:
            async with session.post(url, json={"prompt": prompt}) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            return

    def _new_body(self, max_tokens: int) -> dict[str, Any]:
        """Return a request body with a prompt that is unique within the trial."""
        self._prompt_count += 1
        prompt = f"quote {self._prompt_count} for client {self._prompt_count % 50}"
        return {"prompt": prompt, "max_tokens": max_tokens}

    async def _record_call(
        self,
        service: str,
        method: str,
        body: Mapping[str, Any],
        idempotent: bool,
        send: Callable[[], Awaitable[CallAnswer]],
    ) -> None:
        started_at_s = time.monotonic()
        answer = error = None
        try:
            answer = await send()
        except RequestError as request_error:
            error = request_error
        took_s = time.monotonic() - started_at_s
        self.receipts.calls.append(
            CallReceipt(service, method, body, idempotent, answer, error, took_s)
        )

    async def _send_calls(self, session: aiohttp.ClientSession, seconds: float) -> None:
        clients = [self.new_client(session) for _zone in self._fleet.shape.zones]
        end_at_s = time.monotonic() + seconds
        while time.monotonic() < end_at_s and not self._stopping:
            task = asyncio.create_task(self._call_random_method(self._rng.choice(clients)))
            self._call_tasks.add(task)
            task.add_done_callback(self._call_tasks.discard)
            await asyncio.sleep(self._rng.expovariate(CALLS_PER_S))

    async def _call_random_method(self, client: CallerClient) -> None:
        shape = self._fleet.shape
        service, method, idempotent = self._rng.choice(
            [
                (shape.engine_service, "generate", True),
                (shape.plain_service, shape.plain_idempotent, True),
                (shape.plain_service, shape.plain_once, False),
            ]
        )
        await self.call(client, service, method, idempotent=idempotent)

    async def _run_trainer(self, session: aiohttp.ClientSession) -> None:
        client = TrainerClient(
            session,
            "trainer-1",
            self._fleet.bootstrap,
            self._report_version,
            self._fleet.shape.zones[0],
            seed=self._rng.randrange(2**32),
        )
        number = 0
        publishing: set[asyncio.Task[None]] = set()
        while not self._stopping:
            number += 1
            await self._run_step(client, number)
            await asyncio.sleep(TRAINING_TIME_S)
            self.receipts.trained_s += TRAINING_TIME_S
            # Trainers publish weights while the next step is already running.
            task = asyncio.create_task(self._publish_weights(session))
            publishing.add(task)
            task.add_done_callback(publishing.discard)
        await asyncio.gather(*publishing)

    def _report_version(self) -> int:
        """Return the trainer's version for a pull and store it for the sample receipts."""
        self._pull_version = self.trainer_version
        return self._pull_version

    async def _run_step(self, client: TrainerClient, number: int) -> None:
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
        whole = True
        try:
            async with asyncio.timeout(STEP_TIMEOUT_S):
                async for sample in client.run_step(request):
                    age_s = time.monotonic() - started_at_s
                    self._record_sample(request, sample, age_s)
        except (TimeoutError, RequestError):
            whole = False
        waited_s = time.monotonic() - started_at_s
        self.receipts.waited_s += waited_s
        self.receipts.steps.append(StepReceipt(request.step_id, request.size, waited_s, whole))

    def _record_sample(self, request: StepRequest, sample: Sample, age_s: float) -> None:
        self.receipts.samples.append(
            SampleReceipt(
                request.step_id,
                sample,
                request.prompts[sample.position // SAMPLES_PER_GROUP],
                request.max_tokens,
                self._pull_version,
                STALENESS_BOUND,
                age_s,
            )
        )

    async def _publish_weights(self, session: aiohttp.ClientSession) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, TRAINING_TIME_S))
        self.trainer_version += 1
        service = self._fleet.shape.engine_service
        url = f"{self._fleet.store.url}/v1/services/{service}/versions/{self.trainer_version}"
        try:
            async with session.put(url) as response:
                await response.read()
        except aiohttp.ClientError:
            return
