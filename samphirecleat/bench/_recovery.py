"""Bench of recovery: how long steps stand still after a failure, and what is made twice.

Nine real nodes and the stand-ins of one deployment; one trainer keeps a step of
many samples in progress. Each row brings about one failure in the middle of a
step; the first row brings about none and is what the others compare with.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial
from typing import Final

import aiohttp

from ..client import StepRequest, TrainerClient
from ..trial import DEPLOYMENTS, Fleet, until_ready
from ._harness import BenchResult, run_repeats

DEFAULT_SEED: Final = 14
NODES: Final = 9
REPEATS: Final = 2
GROUPS: Final = 64
SAMPLES_PER_GROUP: Final = 4
TOKENS: Final = 40
FAIL_AT_SAMPLES: Final = 60
OUTAGE_S: Final = 2.0
Failure = Callable[[Fleet], Awaitable[None]]


async def run(seed: int) -> BenchResult:
    """Run every failure."""
    rows = [
        await run_repeats(name, partial(_run_once, failure), seed, REPEATS)
        for name, failure in FAILURES.items()
    ]
    note = (
        f"{NODES} nodes, steps of {GROUPS * SAMPLES_PER_GROUP} samples, the failure after "
        f"{FAIL_AT_SAMPLES}; gap_s: longest time without a sample after it; twice: runs "
        "at engines for each sample; log and store: requests served during the step"
    )
    return BenchResult("recovery", seed, rows, note)


async def _run_once(failure: Failure, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODES, seed)
    await fleet.start()
    try:
        await until_ready(fleet)
        async with aiohttp.ClientSession() as session:
            return await _run_step(fleet, session, failure, seed)
    finally:
        await fleet.stop()


async def _run_step(
    fleet: Fleet, session: aiohttp.ClientSession, failure: Failure, seed: int
) -> Mapping[str, float]:
    loop = asyncio.get_running_loop()
    client = TrainerClient(session, "trainer-1", fleet.bootstrap, lambda: 0, seed=seed)
    request = StepRequest(
        step_id="step",
        service=fleet.shape.engine_service,
        prompts=[f"lesson {group}" for group in range(GROUPS)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=TOKENS,
        staleness_bound=10,
    )
    reads_before = fleet.log.reads
    started_at_s = last_at_s = loop.time()
    failing: asyncio.Task[None] | None = None
    count, gap_s = 0, 0.0
    async for _sample in client.run_step(request):
        count += 1
        if failing is not None:
            gap_s = max(gap_s, loop.time() - last_at_s)
        elif count == FAIL_AT_SAMPLES:
            failing = asyncio.ensure_future(failure(fleet))
        last_at_s = loop.time()
    took_s = loop.time() - started_at_s
    assert failing is not None
    await failing
    runs = sum(len(engine.runs) for engine in fleet.engines)
    return {
        "gap_s": gap_s,
        "step_s": took_s,
        "twice": runs / count,
        "log_reads_per_s": (fleet.log.reads - reads_before) / took_s,
        "store_refused": float(fleet.store.refused_loads),
    }


async def _no_failure(_fleet: Fleet) -> None:
    """Bring about nothing."""


async def _kill_owner(fleet: Fleet) -> None:
    """Stop the node that works on the step, without a drain."""
    owner = next(node for node in fleet.nodes if node.steps.steps)
    fleet.nodes.remove(owner)
    await owner.stop()


async def _silence_engine(fleet: Fleet) -> None:
    """Make every open connection of one engine silent; new ones work."""
    fleet.engines[0].silence_open_connections()


async def _crash_engine(fleet: Fleet) -> None:
    """Crash an engine and bring it back at the same address."""
    await fleet.engines[0].crash()
    await asyncio.sleep(OUTAGE_S)
    await fleet.engines[0].restart()


async def _log_outage(fleet: Fleet) -> None:
    """Take the log down for a while."""
    fleet.log.down = True
    await asyncio.sleep(OUTAGE_S)
    fleet.log.down = False


FAILURES: Final[Mapping[str, Failure]] = {
    "none": _no_failure,
    "owner killed": _kill_owner,
    "engine silent": _silence_engine,
    "engine crashed": _crash_engine,
    "log out 2 s": _log_outage,
}
