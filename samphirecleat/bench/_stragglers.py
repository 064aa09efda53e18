"""Stragglers: steps of 512 samples with a heavy tail, a slow engine and a crash.

A slow engine makes all of its samples late, and an engine that crashes loses the
runs it had in hand. Measured over real nodes and stand-in engines on loopback.
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
NODES: Final = 3
GROUPS: Final = 128
SAMPLES_PER_GROUP: Final = 4
SHORTEST_TOKENS: Final = 8
LONGEST_TOKENS: Final = 200
TAIL_EXPONENT: Final = 1.6
TOKEN_S: Final = 0.008
SLOW_FACTOR: Final = 6.0
CRASH_AT_SHARE: Final = 0.4
DOWN_S: Final = 1.0
TRAIN_S: Final = 2.0


class Variant(NamedTuple):
    """One way to run a step."""

    name: str
    copies: CopyPolicy


VARIANTS: Final[Sequence[Variant]] = (
    Variant("copies by pace", CopyStragglers(budget_ratio=0.1)),
    Variant("no copies", NoCopies()),
    Variant("copy all late", CopyAllRemaining()),
)


async def run(seed: int) -> BenchResult:
    """Run every variant over the same steps and faults."""
    rows = [
        await run_repeats(variant.name, partial(_run_once, variant), seed, REPEATS)
        for variant in VARIANTS
    ]
    note = (
        f"{GROUPS * SAMPLES_PER_GROUP} samples a step on {NODES} nodes; one engine at 1/"
        f"{SLOW_FACTOR:.0f} of its pace, another crashes at {CRASH_AT_SHARE:.0%} of the step and is"
        f" back after {DOWN_S:.0f} s. The bound takes all engines for whole and at full pace."
    )
    return BenchResult("stragglers", seed, rows, note)


async def _run_once(variant: Variant, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODES, seed, Policies(copies=variant.copies))
    await fleet.start()
    try:
        await until_ready(fleet)
        for engine in fleet.engines:
            engine.token_s = TOKEN_S
        fleet.engines[0].token_s = TOKEN_S * SLOW_FACTOR
        return await _measure(fleet, random.Random(seed))
    finally:
        await fleet.stop()


async def _measure(fleet: Fleet, rng: random.Random) -> Mapping[str, float]:
    lengths = draw_lengths(rng, GROUPS)
    request = StepRequest(
        step_id="step-1",
        service=fleet.shape.engine_service,
        prompts=[f"lesson {group}" for group in range(GROUPS)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=LONGEST_TOKENS,
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
                crash = asyncio.create_task(_crash_for_a_while(fleet.engines[1]))
            if count == request.size:
                took_s = time.monotonic() - started_at_s
        if crash is not None:
            await crash
    needed = sum(lengths) * SAMPLES_PER_GROUP
    spent = sum(run.tokens for engine in fleet.engines for run in engine.runs)
    bound_s = packing_bound_s(lengths, sum(engine.slots for engine in fleet.engines))
    return {
        "step_s": took_s,
        "to_bound": took_s / bound_s,
        "extra_tokens": spent / needed - 1.0,
        "trainer_idle_ratio": took_s / (took_s + TRAIN_S),
    }


def draw_lengths(rng: random.Random, count: int) -> Sequence[int]:
    """Draw lengths in tokens with a heavy tail."""
    return [
        min(LONGEST_TOKENS, int(SHORTEST_TOKENS * rng.paretovariate(TAIL_EXPONENT)))
        for _ in range(count)
    ]


def packing_bound_s(lengths: Sequence[int], slots: int) -> float:
    """Return the least time in which any order could make all samples."""
    total = sum(lengths) * SAMPLES_PER_GROUP
    return max(total / slots, max(lengths)) * TOKEN_S


async def _crash_for_a_while(engine: StandInEngine) -> None:
    await engine.crash()
    await asyncio.sleep(DOWN_S)
    await engine.restart(0)
