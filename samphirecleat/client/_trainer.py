"""The trainers' client: the record of what the trainer holds of a step."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import ErrorKind, RequestError
from ..steps import Sample, encode_positions, sample_from_json
from ._entries import Entry, EntryList

PULL_WAIT_S: Final = 2.0
PULL_TIMEOUT_S: Final = 5.0
BACKOFF_S: Final = 0.2


class StepRequest(NamedTuple):
    """A step as the trainer's code asks for it."""

    step_id: str
    service: str
    prompts: Sequence[str]
    samples_per_group: int
    max_tokens: int
    staleness_bound: int
    scoring: str = ""

    @property
    def size(self) -> int:
        """How many samples the step has."""
        return len(self.prompts) * self.samples_per_group


class TrainerClient:
    """Runs steps for one trainer and hands on each sample exactly once.

    What the trainer holds is kept here and named in every pull, so that neither
    a lost answer nor the loss of the node that works on the step can double or
    lose a sample: the step is submitted to another node with what is held.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        trainer: str,
        bootstrap: Sequence[str],
        current_version: Callable[[], int],
        zone: str = "",
        seed: int | None = None,
    ) -> None:
        """Ask ``current_version`` at each pull which weights the trainer is at."""
        self._session = session
        self._trainer = trainer
        self._current_version = current_version
        self._entries = EntryList(session, bootstrap, zone, random.Random(seed))
        self._pulls = 0

    async def run_step(self, request: StepRequest) -> AsyncIterator[Sample]:
        """Yield every sample of a step once, as they become ready.

        :raises samphirecleat.errors.RequestError: when the step itself is wrong.
        """
        held: set[int] = set()
        node: Entry | None = None
        failed: list[str] = []
        while len(held) < request.size:
            if node is None:
                node = await self._submit(request, held, failed)
                if node is None:
                    await asyncio.sleep(BACKOFF_S)
                    failed.clear()
                    continue
            samples = await self._pull(node, request, held)
            if samples is None:
                failed.append(node.node_id)
                node = None
                continue
            for sample in samples:
                if sample.position not in held:
                    held.add(sample.position)
                    yield sample
        if node is not None:
            await self._pull(node, request, held, wait_s=0.0)

    async def _submit(
        self, request: StepRequest, held: set[int], failed: Sequence[str]
    ) -> Entry | None:
        try:
            entry = await self._entries.choose(failed)
        except RequestError:
            await self._entries.refresh()
            return None
        body = {
            "service": request.service,
            "prompts": list(request.prompts),
            "samples_per_group": request.samples_per_group,
            "max_tokens": request.max_tokens,
            "staleness_bound": request.staleness_bound,
            "scoring": request.scoring,
            "held": encode_positions(frozenset(held)),
        }
        try:
            await self._post(entry, request.step_id, "", body, PULL_TIMEOUT_S)
        except RequestError as error:
            if error.kind in (ErrorKind.STEP_CONFLICT, ErrorKind.MALFORMED):
                raise
            return None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        return entry

    async def _pull(
        self, node: Entry, request: StepRequest, held: set[int], wait_s: float = PULL_WAIT_S
    ) -> Sequence[Sample] | None:
        """Return the samples of one pull, or None when the node can not be asked."""
        self._pulls += 1
        number = self._pulls
        body = {
            "pull": number,
            "version": self._current_version(),
            "held": encode_positions(frozenset(held)),
            "wait_s": wait_s,
        }
        try:
            reply = await self._post(node, request.step_id, "/pull", body, wait_s + PULL_TIMEOUT_S)
            if int(reply["pull"]) != number:
                return ()
            return [sample_from_json(row) for row in reply["samples"]]
        except (RequestError, aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
            return None

    async def _post(
        self, node: Entry, step_id: str, suffix: str, body: Mapping[str, Any], timeout_s: float
    ) -> Mapping[str, Any]:
        url = f"http://{node.address}/v1/trainers/{self._trainer}/steps/{step_id}{suffix}"
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=1.0)
        async with self._session.post(url, json=body, timeout=timeout) as response:
            answer: Mapping[str, Any] = await response.json()
            if response.status != 200:
                raise RequestError.from_body(answer["error"])
            return answer
