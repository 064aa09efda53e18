"""Bench of weight rollout: each version reaches all engines under the load limit of the store.

A trainer publishes a version after each of its steps, and one load fails. Minutes are scaled down
to seconds. Measured with real nodes and stand-in engines on loopback.
"""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from statistics import fmean
from typing import Final, NamedTuple

import aiohttp

from ..client import StepRequest, TrainerClient
from ..controllers.policies import Policies
from ..controllers.weights import AllAtOnce, OneByOne, StalenessWeightedSwaps, SwapPolicy
from ..trial import DEPLOYMENTS, Fleet, service_text, until_ready
from ._harness import BenchResult, run_repeats

DEFAULT_SEED: Final = 21
REPEATS: Final = 1
NODE_COUNT: Final = 3
STEP_COUNT: Final = 4
GROUPS_PER_STEP: Final = 24
SAMPLES_PER_GROUP: Final = 4
MAX_TOKENS: Final = 40
SECONDS_PER_TOKEN: Final = 0.005
STALENESS_BOUND: Final = 1
TRAINING_S: Final = 0.4
LOAD_S: Final = 0.25
PARALLEL_LOADS: Final = 3
MAX_SWAPPING_SHARE: Final = 0.5
FAILING_LOAD_STEP: Final = 2
SAMPLING_INTERVAL_S: Final = 0.02
LAST_VERSION_TIMEOUT_S: Final = 6.0


class Variant(NamedTuple):
    """A policy that decides when engines swap weights, and its name in the results."""

    name: str
    policy: SwapPolicy
    staleness_weight: float


VARIANTS: Final[Sequence[Variant]] = (
    Variant("weighed, 0.5", StalenessWeightedSwaps(), 0.5),
    Variant("weighed, 0.2 (lavadero-norte)", StalenessWeightedSwaps(), 0.2),
    Variant("weighed, 0.8 (los-aromos)", StalenessWeightedSwaps(), 0.8),
    Variant("one by one", OneByOne(), 0.5),
    Variant("all at once", AllAtOnce(), 0.5),
)


@dataclass
class _Measurements:
    """Measurements of the engines and of the trainer."""

    published_at_s: dict[int, float] = field(default_factory=dict)
    everywhere_s: dict[int, float] = field(default_factory=dict)
    capacity_lost: list[float] = field(default_factory=list)
    staleness: list[int] = field(default_factory=list)
    waited_s: float = 0.0
    trained_s: float = 0.0


async def run(seed: int) -> BenchResult:
    """Run every variant with the same steps."""
    rows = [
        await run_repeats(variant.name, partial(_run_once, variant), seed, REPEATS)
        for variant in VARIANTS
    ]
    note = (
        f"{STEP_COUNT} versions, 6 engines, {LOAD_S} s per load, {PARALLEL_LOADS} parallel loads at"
        f" the store, at most {MAX_SWAPPING_SHARE:.0%} of the engines; one load of version"
        f" {FAILING_LOAD_STEP} fails partway. Staleness bound {STALENESS_BOUND}."
    )
    return BenchResult("weights", seed, rows, note)


async def _run_once(variant: Variant, seed: int) -> Mapping[str, float]:
    shape = DEPLOYMENTS["lavadero-norte"]._replace(staleness_weight=variant.staleness_weight)
    fleet = Fleet(shape, NODE_COUNT, seed, Policies(swaps=variant.policy))
    fleet.first_text = service_text(shape, max_swapping_share=MAX_SWAPPING_SHARE)
    fleet.store.load_s = LOAD_S
    fleet.store.parallel_loads = PARALLEL_LOADS
    await fleet.start()
    measured = _Measurements()
    try:
        await until_ready(fleet)
        for engine in fleet.engines:
            engine.token_s = SECONDS_PER_TOKEN
        sampler = asyncio.create_task(_sample_engines(fleet, measured))
        try:
            await _train(fleet, measured, seed)
            refused = fleet.store.refused_loads
        finally:
            sampler.cancel()
    finally:
        await fleet.stop()
    return {
        "everywhere_s": fmean(measured.everywhere_s.values()) if measured.everywhere_s else 0.0,
        "everywhere": float(len(measured.everywhere_s)),
        "trainer_idle_ratio": measured.waited_s / (measured.waited_s + measured.trained_s),
        "staleness_versions": fmean(measured.staleness),
        "capacity_lost": fmean(measured.capacity_lost),
        "refused_loads": float(refused),
    }


async def _train(fleet: Fleet, measured: _Measurements, seed: int) -> None:
    version = 0
    async with aiohttp.ClientSession() as session:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: version, seed=seed)
        for number in range(1, STEP_COUNT + 1):
            if number == FAILING_LOAD_STEP:
                random.Random(seed).choice(fleet.engines).fail_next_loads = 1
            started_at_s = time.monotonic()
            async for sample in client.run_step(_step_request(fleet, number)):
                measured.staleness.append(version - sample.oldest_version)
            measured.waited_s += time.monotonic() - started_at_s
            await asyncio.sleep(TRAINING_S)
            measured.trained_s += TRAINING_S
            version = number
            await _publish(fleet, session, version)
            measured.published_at_s[version] = time.monotonic()
        deadline_s = time.monotonic() + LAST_VERSION_TIMEOUT_S
        while version not in measured.everywhere_s and time.monotonic() < deadline_s:
            await asyncio.sleep(SAMPLING_INTERVAL_S)


def _step_request(fleet: Fleet, number: int) -> StepRequest:
    return StepRequest(
        step_id=f"step-{number}",
        service=fleet.shape.engine_service,
        prompts=[f"lesson {number}, group {group}" for group in range(GROUPS_PER_STEP)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=MAX_TOKENS,
        staleness_bound=STALENESS_BOUND,
    )


async def _publish(fleet: Fleet, session: aiohttp.ClientSession, version: int) -> None:
    service = fleet.shape.engine_service
    url = f"{fleet.store.url}/v1/services/{service}/versions/{version}"
    async with session.put(url) as response:
        response.raise_for_status()


async def _sample_engines(fleet: Fleet, measured: _Measurements) -> None:
    """Sample the state of the engines directly, rather than the view that nodes have of it."""
    while True:
        await asyncio.sleep(SAMPLING_INTERVAL_S)
        now_s = time.monotonic()
        loading = sum(1 for engine in fleet.engines if engine.loading)
        if measured.published_at_s:
            measured.capacity_lost.append(loading / len(fleet.engines))
        for version, published_at_s in measured.published_at_s.items():
            everywhere = all(engine.version >= version for engine in fleet.engines)
            if everywhere and version not in measured.everywhere_s:
                measured.everywhere_s[version] = now_s - published_at_s
