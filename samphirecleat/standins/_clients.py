"""Sample callers and a sample trainer, which print the answers they receive."""

from collections import Counter
from collections.abc import Mapping, Sequence
from functools import partial

import aiohttp

from ..client import CallerClient, StepRequest, TrainerClient
from ..errors import RequestError
from ..steps import Sample


async def run_callers(
    nodes: Sequence[str], service: str, method: str, count: int, *, idempotent: bool
) -> Mapping[str, int]:
    """Make ``count`` calls in sequence and return the number of calls per outcome."""
    outcome_counts: Counter[str] = Counter()
    async with aiohttp.ClientSession() as session:
        client = CallerClient(session, nodes)
        for number in range(count):
            body = {"prompt": f"quote {number}", "max_tokens": 8}
            try:
                answer = await client.call(service, method, body, idempotent=idempotent)
            except RequestError as error:
                outcome_counts[f"{error.kind.value}, ran: {error.ran.value}"] += 1
                print(f"call {number}: {error}", flush=True)
            else:
                outcome_counts["answered"] += 1
                print(f"call {number}: {_format_answer(answer.body)}", flush=True)
    return outcome_counts


async def run_trainer(
    nodes: Sequence[str],
    service: str,
    scoring: str,
    weight_store: str,
    steps: int,
    *,
    groups: int = 4,
    samples_per_group: int = 4,
    staleness_bound: int = 2,
) -> None:
    """Run ``steps`` training steps in sequence and publish new weights after each."""
    async with aiohttp.ClientSession() as session:
        version = await _latest_version(session, weight_store, service)
        for number in range(steps):
            client = TrainerClient(session, "trainer-1", nodes, partial(int, version))
            request = StepRequest(
                step_id=f"step-from-version-{version}",
                service=service,
                prompts=[f"lesson {version}, group {group}" for group in range(groups)],
                samples_per_group=samples_per_group,
                max_tokens=16,
                staleness_bound=staleness_bound,
                scoring=scoring,
            )
            samples = [sample async for sample in client.run_step(request)]
            _print_step(number, request, samples)
            version += 1
            await _publish_weights(session, weight_store, service, version)
            print(f"published weights, version {version}", flush=True)


async def _latest_version(session: aiohttp.ClientSession, store: str, service: str) -> int:
    async with session.get(f"{store}/v1/services/{service}/latest") as response:
        return int((await response.json())["version"])


async def _publish_weights(
    session: aiohttp.ClientSession, store: str, service: str, version: int
) -> None:
    async with session.put(f"{store}/v1/services/{service}/versions/{version}") as response:
        await response.read()


def _print_step(number: int, request: StepRequest, samples: Sequence[Sample]) -> None:
    versions = Counter(span.version for sample in samples for span in sample.spans)
    version_list = ", ".join(f"version {version}" for version in sorted(versions))
    print(
        f"step {number}: {len(samples)} of {request.size} samples, "
        f"{len({sample.position for sample in samples})} distinct, made by {version_list}",
        flush=True,
    )


def _format_answer(body: Mapping[str, object]) -> str:
    if "spans" in body:
        return f"{body['text']!r} made by {body['spans']}"
    return str(body.get("result"))
