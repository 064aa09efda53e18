"""The client for trainers, which tracks the samples of a step that it received."""

import asyncio
import random
import secrets
from collections.abc import AsyncIterator, Callable, Collection, Mapping, Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from .._decoding import MALFORMED_INPUT_ERRORS
from ..errors import ErrorKind, RequestError
from ..steps import DeliveryRecord, PullReply, Sample, encode_positions, reply_from_json
from ._entries import Entry, EntryList

PULL_WAIT_S: Final = 2.0
PULL_TIMEOUT_S: Final = 3.0
PULL_LIMIT: Final = 512
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 2.0
_NON_RETRYABLE_KINDS: Final = (
    ErrorKind.STEP_CONFLICT,
    ErrorKind.MALFORMED,
    ErrorKind.BODY_TOO_LARGE,
    ErrorKind.UNKNOWN_SERVICE,
)


class StepRequest(NamedTuple):
    """A step to be generated for a trainer.

    ``group_max_tokens`` and ``group_length_hints`` hold one number per group, or are
    empty. A hint is the expected length in tokens; the longest groups start first.
    """

    step_id: str
    service: str
    prompts: Sequence[str]
    samples_per_group: int
    max_tokens: int
    staleness_bound: int
    scoring: str = ""
    group_max_tokens: Sequence[int] = ()
    group_length_hints: Sequence[int] = ()

    @property
    def size(self) -> int:
        """The number of samples of the step."""
        return len(self.prompts) * self.samples_per_group


class Group(NamedTuple):
    """All samples of the prompt with the index ``number``, in order of position."""

    number: int
    samples: Sequence[Sample]


class TrainerClient:
    """Runs steps for one trainer and yields each sample exactly once.

    The client tracks the positions that it received and sends them with every pull. If
    an answer or the node that runs the step is lost, the step is submitted to another
    node together with these positions, so no sample is duplicated or lost.
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
        """Call ``current_version`` at each pull for the trainer's weight version."""
        self._session = session
        self._trainer = trainer
        self._current_version = current_version
        self._rng = random.Random(seed)
        self._entries = EntryList(session, bootstrap, zone, self._rng)

    async def run_step(
        self, request: StepRequest, held: Collection[int] = ()
    ) -> AsyncIterator[Sample]:
        """Yield every sample of a step once, as the samples become ready.

        ``held`` lists the positions that the trainer already has, for example after a
        restart; they are not generated again.

        :raises samphirecleat.errors.RequestError: if the step is invalid.
        """
        record = DeliveryRecord(
            secrets.token_hex(6), request.size, request.staleness_bound, frozenset(held)
        )
        failed: list[str] = []
        node: Entry | None = None
        while not record.complete:
            node = node or await self._submit(request, record, failed)
            reply = await self._pull(node, request, record)
            if reply is not None:
                for sample in record.accept(reply, self._current_version()):
                    yield sample
            if reply is None or reply.leaving:
                failed.append(node.node_id)
                node = None
        if node is not None:
            # Tells the node that the step is complete, so that it can discard it early.
            await self._pull(node, request, record, wait_s=0.0)

    async def run_groups(self, request: StepRequest) -> AsyncIterator[Group]:
        """Yield each group of a step once, as soon as all of its samples are received.

        :raises samphirecleat.errors.RequestError: if the step is invalid.
        """
        partial: dict[int, list[Sample]] = {}
        async for sample in self.run_step(request):
            number = sample.position // request.samples_per_group
            samples = partial.setdefault(number, [])
            samples.append(sample)
            if len(samples) == request.samples_per_group:
                del partial[number]
                yield Group(number, sorted(samples, key=lambda s: s.position))

    async def _submit(
        self, request: StepRequest, record: DeliveryRecord, failed: list[str]
    ) -> Entry:
        """Submit the step to nodes until one accepts it, and return that node.

        Nodes that failed are tried again once no other node is left. The delay between
        rounds grows exponentially, so trainers do not overload a recovering fleet.
        """
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                entry = await self._entries.choose(failed)
            except RequestError as error:
                await asyncio.sleep(max(backoff_s, error.retry_after_s * 0.1) * self._jitter())
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2.0)
                failed.clear()
                await self._entries.refresh()
                continue
            body = _step_body(request, record, self._current_version())
            try:
                await self._post(entry, request.step_id, "", body, PULL_TIMEOUT_S)
            except RequestError as error:
                if error.kind in _NON_RETRYABLE_KINDS:
                    raise
                failed.append(entry.node_id)
            except (aiohttp.ClientError, TimeoutError, OSError, *MALFORMED_INPUT_ERRORS):
                failed.append(entry.node_id)
            else:
                return entry

    async def _pull(
        self,
        node: Entry,
        request: StepRequest,
        record: DeliveryRecord,
        wait_s: float = PULL_WAIT_S,
    ) -> PullReply | None:
        """Return the reply to one pull, or None if the pull failed."""
        pull = record.next_pull(self._current_version(), wait_s, PULL_LIMIT)
        body = {
            "pull": pull.number,
            "client": pull.client_id,
            "version": pull.version,
            "held": encode_positions(pull.held),
            "wait_s": pull.wait_s,
            "limit": pull.limit,
        }
        try:
            reply = await self._post(node, request.step_id, "/pull", body, wait_s + PULL_TIMEOUT_S)
            return reply_from_json(reply)
        except (RequestError, aiohttp.ClientError, TimeoutError, OSError):
            return None
        except MALFORMED_INPUT_ERRORS:
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

    def _jitter(self) -> float:
        return 0.5 + self._rng.random()


def _step_body(request: StepRequest, record: DeliveryRecord, version: int) -> Mapping[str, Any]:
    return {
        "service": request.service,
        "prompts": list(request.prompts),
        "samples_per_group": request.samples_per_group,
        "max_tokens": request.max_tokens,
        "staleness_bound": request.staleness_bound,
        "scoring": request.scoring,
        "group_max_tokens": list(request.group_max_tokens),
        "group_length_hints": list(request.group_length_hints),
        "held": encode_positions(frozenset(record.held)),
        "client": record.client_id,
        "version": version,
    }
