"""Bench of recovery: how long a step stalls after a failure, and how many runs are repeated.

Nine real nodes and the stand-ins of one deployment. One trainer runs a step of many samples. Each
row injects one failure in the middle of the step; the first row injects none and is the baseline
of the others.
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
NODE_COUNT: Final = 9
REPEATS: Final = 2
GROUPS_PER_STEP: Final = 64
SAMPLES_PER_GROUP: Final = 4
MAX_TOKENS: Final = 40
SAMPLES_BEFORE_FAILURE: Final = 60
OUTAGE_S: Final = 2.0
Failure = Callable[[Fleet], Awaitable[None]]


async def run(seed: int) -> BenchResult:
    """Measure a step with every failure."""
    rows = [
        await run_repeats(name, partial(_run_with_failure, failure), seed, REPEATS)
        for name, failure in FAILURES.items()
    ]
    note = (
        f"{NODE_COUNT} nodes, steps of {GROUPS_PER_STEP * SAMPLES_PER_GROUP} samples, the failure "
        f"after {SAMPLES_BEFORE_FAILURE}; gap_s: longest time without a sample after it; twice: "
        "runs at engines per sample; log and store: requests served during the step"
    )
    return BenchResult("recovery", seed, rows, note)


async def _run_with_failure(failure: Failure, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODE_COUNT, seed)
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
        prompts=[f"lesson {group}" for group in range(GROUPS_PER_STEP)],
        samples_per_group=SAMPLES_PER_GROUP,
        max_tokens=MAX_TOKENS,
        staleness_bound=10,
    )
    reads_before = fleet.log.reads
    started_at_s = last_at_s = loop.time()
    failure_task: asyncio.Task[None] | None = None
    count, gap_s = 0, 0.0
    async for _sample in client.run_step(request):
        count += 1
        if failure_task is not None:
            gap_s = max(gap_s, loop.time() - last_at_s)
        elif count == SAMPLES_BEFORE_FAILURE:
            failure_task = asyncio.ensure_future(failure(fleet))
        last_at_s = loop.time()
    elapsed_s = loop.time() - started_at_s
    assert failure_task is not None
    await failure_task
    runs = sum(len(engine.runs) for engine in fleet.engines)
    return {
        "gap_s": gap_s,
        "step_s": elapsed_s,
        "twice": runs / count,
        "log_reads_per_s": (fleet.log.reads - reads_before) / elapsed_s,
        "store_refused": float(fleet.store.refused_loads),
    }


async def _no_failure(_fleet: Fleet) -> None:
    """Inject no failure."""


async def _kill_owner(fleet: Fleet) -> None:
    """Stop the node that runs the step, without a drain."""
    owner = next(node for node in fleet.nodes if node.steps.steps)
    fleet.nodes.remove(owner)
    await owner.stop()


async def _silence_engine(fleet: Fleet) -> None:
    """Make every open connection of one engine silent; new connections work."""
    fleet.engines[0].silence_open_connections()


async def _crash_engine(fleet: Fleet) -> None:
    """Crash an engine and restart it at the same address."""
    await fleet.engines[0].crash()
    await asyncio.sleep(OUTAGE_S)
    await fleet.engines[0].restart()


async def _log_outage(fleet: Fleet) -> None:
    """Make the log unavailable for ``OUTAGE_S``."""
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
