"""Bench of stragglers: steps of 512 samples with heavy-tailed lengths, a slow engine and a crash.

All samples of the slow engine are late, and the engine that crashes loses its runs. Measured with
real nodes and stand-in engines on loopback.
"""

import asyncio
import random
import time
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Final, NamedTuple

import aiohttp

from ..client import StepRequest, TrainerClient
from ..controllers.policies import Policies
from ..standins import StandInEngine
from ..steps import CopyAllRemaining, CopyPolicy, CopyStragglers, NoCopies
from ..trial import DEPLOYMENTS, Fleet, until_ready
from ._harness import BenchResult, run_repeats

DEFAULT_SEED: Final = 11
REPEATS: Final = 2
NODE_COUNT: Final = 3
GROUPS_PER_STEP: Final = 128
SAMPLES_PER_GROUP: Final = 4
MIN_TOKENS: Final = 8
MAX_TOKENS: Final = 200
TAIL_EXPONENT: Final = 1.6
SECONDS_PER_TOKEN: Final = 0.008
SLOW_FACTOR: Final = 6.0
CRASH_AT_SHARE: Final = 0.4
DOWNTIME_S: Final = 1.0
TRAINING_S: Final = 2.0


class Variant(NamedTuple):
    """A policy for speculative copies of samples, and its name in the results."""

    name: str
    copies: CopyPolicy


VARIANTS: Final[Sequence[Variant]] = (
    Variant("copies by pace", CopyStragglers(budget_ratio=0.1)),
    Variant("no copies", NoCopies()),
    Variant("copy all late", CopyAllRemaining()),
)


async def run(seed: int) -> BenchResult:
    """Run every variant with the same steps and faults."""
    rows = [
        await run_repeats(variant.name, partial(_run_once, variant), seed, REPEATS)
        for variant in VARIANTS
    ]
    note = (
        f"{GROUPS_PER_STEP * SAMPLES_PER_GROUP} samples a step on {NODE_COUNT} nodes; one engine "
        f"at 1/{SLOW_FACTOR:.0f} of its speed, another crashes at {CRASH_AT_SHARE:.0%} of the step"
        f" and is back after {DOWNTIME_S:.0f} s. The bound assumes that all engines run at"
        " full speed."
    )
    return BenchResult("stragglers", seed, rows, note)


async def _run_once(variant: Variant, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODE_COUNT, seed, Policies(copies=variant.copies))
    await fleet.start()
    try:
        await until_ready(fleet)
        for engine in fleet.engines:
            engine.token_s = SECONDS_PER_TOKEN
        fleet.engines[0].token_s = SECONDS_PER_TOKEN * SLOW_FACTOR
        return await _measure(fleet, random.Random(seed))
    finally:
        await fleet.stop()


async def _measure(fleet: Fleet, rng: random.Random) -> Mapping[str, float]:
    lengths = draw_lengths(rng, GROUPS_PER_STEP)
    request = StepRequest(
        step_id="step-1",
        service=fleet.shape.engine_service,
        prompts=[f"lesson {group}" for group in range(GROUPS_PER_STEP)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=MAX_TOKENS,
        staleness_bound=0,
        group_max_tokens=lengths,
    )
    async with aiohttp.ClientSession() as session:
        client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=1)
        started_at_s = time.monotonic()
        count = 0
        crash: asyncio.Task[None] | None = None
        async for _sample in client.run_step(request):
            count += 1
            if crash is None and count >= CRASH_AT_SHARE * request.size:
                crash = asyncio.create_task(_crash_and_restart(fleet.engines[1]))
            if count == request.size:
                elapsed_s = time.monotonic() - started_at_s
        if crash is not None:
            await crash
    needed_tokens = sum(lengths) * SAMPLES_PER_GROUP
    generated_tokens = sum(run.tokens for engine in fleet.engines for run in engine.runs)
    bound_s = packing_bound_s(lengths, sum(engine.slots for engine in fleet.engines))
    return {
        "step_s": elapsed_s,
        "to_bound": elapsed_s / bound_s,
        "extra_tokens": generated_tokens / needed_tokens - 1.0,
        "trainer_idle_ratio": elapsed_s / (elapsed_s + TRAINING_S),
    }


def draw_lengths(rng: random.Random, count: int) -> Sequence[int]:
    """Draw lengths in tokens from a truncated Pareto distribution."""
    return [
        min(MAX_TOKENS, int(MIN_TOKENS * rng.paretovariate(TAIL_EXPONENT))) for _ in range(count)
    ]


def packing_bound_s(lengths: Sequence[int], slots: int) -> float:
    """Return a lower bound, in seconds, on the time in which ``slots`` can generate all samples."""
    total = sum(lengths) * SAMPLES_PER_GROUP
    return max(total / slots, max(lengths)) * SECONDS_PER_TOKEN


async def _crash_and_restart(engine: StandInEngine) -> None:
    await engine.crash()
    await asyncio.sleep(DOWNTIME_S)
    await engine.restart(0)
