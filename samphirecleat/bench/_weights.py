"""Weights: a trainer's versions to all engines under the store's limit, one swap failing.

Minutes are scaled down to seconds. Measured over real nodes and stand-in engines
on loopback; a trainer publishes a version after each of its steps.
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
NODES: Final = 3
STEPS: Final = 4
GROUPS: Final = 24
SAMPLES_PER_GROUP: Final = 4
TOKENS: Final = 40
TOKEN_S: Final = 0.005
STALENESS_BOUND: Final = 1
TRAIN_S: Final = 0.4
LOAD_S: Final = 0.25
PARALLEL_LOADS: Final = 3
MAX_SWAPPING_SHARE: Final = 0.5
FAILS_AT_STEP: Final = 2
SAMPLING_S: Final = 0.02
LAST_VERSION_WAIT_S: Final = 6.0


class Variant(NamedTuple):
    """One way to bring weights to engines."""

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
class _Seen:
    """What is observed of the engines and of the trainer."""

    published_at_s: dict[int, float] = field(default_factory=dict)
    everywhere_s: dict[int, float] = field(default_factory=dict)
    lost: list[float] = field(default_factory=list)
    staleness: list[int] = field(default_factory=list)
    waited_s: float = 0.0
    trained_s: float = 0.0


async def run(seed: int) -> BenchResult:
    """Run every variant over the same steps."""
    rows = [
        await run_repeats(variant.name, partial(_run_once, variant), seed, REPEATS)
        for variant in VARIANTS
    ]
    note = (
        f"{STEPS} versions, 6 engines, {LOAD_S} s a load, {PARALLEL_LOADS} loads at once at the"
        f" store, at most {MAX_SWAPPING_SHARE:.0%} of the engines; one load of version"
        f" {FAILS_AT_STEP} fails partway. Staleness bound {STALENESS_BOUND}."
    )
    return BenchResult("weights", seed, rows, note)


async def _run_once(variant: Variant, seed: int) -> Mapping[str, float]:
    shape = DEPLOYMENTS["lavadero-norte"]._replace(staleness_weight=variant.staleness_weight)
    fleet = Fleet(shape, NODES, seed, Policies(swaps=variant.policy))
    fleet.first_text = service_text(shape, max_swapping_share=MAX_SWAPPING_SHARE)
    fleet.store.load_s = LOAD_S
    fleet.store.parallel_loads = PARALLEL_LOADS
    await fleet.start()
    seen = _Seen()
    try:
        await until_ready(fleet)
        for engine in fleet.engines:
            engine.token_s = TOKEN_S
        sampler = asyncio.create_task(_sample(fleet, seen))
        try:
            await _train(fleet, seen, seed)
            refused = fleet.store.refused_loads
        finally:
            sampler.cancel()
    finally:
        await fleet.stop()
    return {
        "everywhere_s": fmean(seen.everywhere_s.values()) if seen.everywhere_s else 0.0,
        "everywhere": float(len(seen.everywhere_s)),
        "trainer_idle_ratio": seen.waited_s / (seen.waited_s + seen.trained_s),
        "staleness_versions": fmean(seen.staleness),
        "capacity_lost": fmean(seen.lost),
        "refused_loads": float(refused),
    }


async def _train(fleet: Fleet, seen: _Seen, seed: int) -> None:
    version = 0
    async with aiohttp.ClientSession() as session:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: version, seed=seed)
        for number in range(1, STEPS + 1):
            if number == FAILS_AT_STEP:
                random.Random(seed).choice(fleet.engines).fail_next_loads = 1
            started_at_s = time.monotonic()
            async for sample in client.run_step(_step(fleet, number)):
                seen.staleness.append(version - sample.oldest_version)
            seen.waited_s += time.monotonic() - started_at_s
            await asyncio.sleep(TRAIN_S)
            seen.trained_s += TRAIN_S
            version = number
            await _publish(fleet, session, version)
            seen.published_at_s[version] = time.monotonic()
        give_up_at_s = time.monotonic() + LAST_VERSION_WAIT_S
        while version not in seen.everywhere_s and time.monotonic() < give_up_at_s:
            await asyncio.sleep(SAMPLING_S)


def _step(fleet: Fleet, number: int) -> StepRequest:
    return StepRequest(
        step_id=f"step-{number}",
        service=fleet.shape.engine_service,
        prompts=[f"lesson {number}, group {group}" for group in range(GROUPS)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=TOKENS,
        staleness_bound=STALENESS_BOUND,
    )


async def _publish(fleet: Fleet, session: aiohttp.ClientSession, version: int) -> None:
    service = fleet.shape.engine_service
    url = f"{fleet.store.url}/v1/services/{service}/versions/{version}"
    async with session.put(url) as response:
        response.raise_for_status()


async def _sample(fleet: Fleet, seen: _Seen) -> None:
    """Watch the engines themselves, not what the nodes believe of them."""
    while True:
        await asyncio.sleep(SAMPLING_S)
        now_s = time.monotonic()
        loading = sum(1 for engine in fleet.engines if engine.loading)
        if seen.published_at_s:
            seen.lost.append(loading / len(fleet.engines))
        for version, published_at_s in seen.published_at_s.items():
            everywhere = all(engine.version >= version for engine in fleet.engines)
            if everywhere and version not in seen.everywhere_s:
                seen.everywhere_s[version] = now_s - published_at_s
