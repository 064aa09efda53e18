"""Bench of concurrency limits: a peak of callers beside five trainers, and overload.

Nine real nodes in front of five engines with eight slots each. Five trainers keep steps in
progress all the time, each at any node that accepts it. The load of callers with high and low
priority rises to a peak and falls again. A second load without trainers runs at capacity and at
twice the capacity and measures how many calls are answered before their deadline.
"""

import asyncio
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Final

import aiohttp

from ..client import StepRequest, TrainerClient
from ..controllers.policies import AdaptiveWindow, LimitPolicy, NoLimits, Policies, StaticShare
from ..trial import DEPLOYMENTS, Fleet, service_text, until_ready
from ._harness import BenchResult, BenchRow, average_runs
from ._open_load import LoadCall, LoadOutcome, milliseconds, poisson_times, send_load

DEFAULT_SEED: Final = 12
NODE_COUNT: Final = 9
SECONDS_PER_TOKEN: Final = 0.02
MAX_TOKENS: Final = 20
DEADLINE_S: Final = 1.5
PEAK_LOAD_S: Final = 5.0
BASE_RATE_PER_S: Final = 15.0
PEAK_RATE_PER_S: Final = 75.0
OVERLOAD_LOAD_S: Final = 3.0
CAPACITY_PER_S: Final = 80.0
TRAINER_COUNT: Final = 5
GROUPS_PER_STEP: Final = 16
HIGH_PRIORITY: Final = 8
LOW_PRIORITY: Final = 2
VARIANTS: Final[Mapping[str, LimitPolicy]] = {
    "adaptive window": AdaptiveWindow(),
    "no limits": NoLimits(),
    "static share": StaticShare(),
}


async def run(seed: int) -> BenchResult:
    """Run every variant with the same arrivals."""
    rows = [await _run_variant(name, policy, seed) for name, policy in VARIANTS.items()]
    note = (
        f"{NODE_COUNT} nodes, 5 engines of 8 slots; callers {BASE_RATE_PER_S:g} to "
        f"{PEAK_RATE_PER_S:g} to {BASE_RATE_PER_S:g} calls/s over {PEAK_LOAD_S:g} s with "
        f"{TRAINER_COUNT} trainers, then {CAPACITY_PER_S:g} and {2 * CAPACITY_PER_S:g} calls/s "
        f"for {OVERLOAD_LOAD_S:g} s without; high and low are callers' priorities"
    )
    return BenchResult("limits", seed, rows, note)


async def _run_variant(name: str, policy: LimitPolicy, seed: int) -> BenchRow:
    peak = await _run_peak(policy, seed)
    at_capacity = await _run_overload(policy, seed, CAPACITY_PER_S)
    overloaded = await _run_overload(policy, seed, 2.0 * CAPACITY_PER_S)
    figures = {
        **peak,
        "in_time_per_s_1x": at_capacity,
        "in_time_per_s_2x": overloaded,
        "goodput_2x": overloaded / max(1.0, at_capacity),
    }
    return average_runs(name, [figures])


async def _run_peak(policy: LimitPolicy, seed: int) -> Mapping[str, float]:
    fleet = await _start_fleet(policy, seed)
    sample_counts: Counter[str] = Counter()
    try:
        trainers = [
            asyncio.create_task(_train(fleet, n, sample_counts)) for n in range(TRAINER_COUNT)
        ]
        calls = _draw_calls(fleet.shape.engine_service, seed, _peak_rate_per_s, PEAK_LOAD_S)
        outcomes = await send_load(fleet.bootstrap, calls, random.Random(seed))
        for task in trainers:
            task.cancel()
        await asyncio.gather(*trainers, return_exceptions=True)
    finally:
        await fleet.stop()
    return {**_caller_figures(outcomes), **_trainer_figures(sample_counts)}


async def _run_overload(policy: LimitPolicy, seed: int, rate_per_s: float) -> float:
    """Return the calls per second that were answered within their deadline."""
    fleet = await _start_fleet(policy, seed)
    try:
        calls = _draw_calls(
            fleet.shape.engine_service, seed, lambda _s: rate_per_s, OVERLOAD_LOAD_S
        )
        outcomes = await send_load(fleet.bootstrap, calls, random.Random(seed))
    finally:
        await fleet.stop()
    return sum(_in_time(outcome) for outcome in outcomes) / OVERLOAD_LOAD_S


async def _start_fleet(policy: LimitPolicy, seed: int) -> Fleet:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODE_COUNT, seed, Policies(limits=policy))
    fleet.first_text = service_text(fleet.shape, trainers=TRAINER_COUNT)
    await fleet.start()
    for engine in fleet.engines:
        engine.token_s = SECONDS_PER_TOKEN
    await until_ready(fleet)
    return fleet


async def _train(fleet: Fleet, number: int, sample_counts: Counter[str]) -> None:
    """Run one step after another until cancelled; count its samples in ``sample_counts``."""
    trainer = f"trainer-{number + 1}"
    async with aiohttp.ClientSession() as session:
        client = TrainerClient(session, trainer, fleet.bootstrap, lambda: 0, seed=number)
        for step in range(1000):
            request = StepRequest(
                step_id=f"step-{step}",
                service=fleet.shape.engine_service,
                prompts=[f"{trainer} step {step} group {g}" for g in range(GROUPS_PER_STEP)],
                samples_per_group=4,
                max_tokens=MAX_TOKENS,
                staleness_bound=10,
            )
            async for _sample in client.run_step(request):
                sample_counts[trainer] += 1


def _peak_rate_per_s(now_s: float) -> float:
    """Return the calls per second at a time: one rise and fall, its maximum after the middle."""
    phase = min(1.0, now_s / PEAK_LOAD_S) ** 1.3
    height = math.sin(math.pi * phase) ** 2
    return BASE_RATE_PER_S + (PEAK_RATE_PER_S - BASE_RATE_PER_S) * height


def _draw_calls(
    service: str, seed: int, rate_per_s: Callable[[float], float], end_s: float
) -> Sequence[LoadCall]:
    rng = random.Random(seed)
    return [
        LoadCall(
            at_s,
            service,
            "generate",
            f"client {rng.random()}",
            MAX_TOKENS,
            rng.choice((HIGH_PRIORITY, LOW_PRIORITY)),
            DEADLINE_S,
        )
        for at_s in poisson_times(rate_per_s, end_s, seed)
    ]


def _in_time(outcome: LoadOutcome) -> bool:
    return outcome.completed and outcome.completed_s <= outcome.call.deadline_s


def _caller_figures(outcomes: Sequence[LoadOutcome]) -> Mapping[str, float]:
    figures: dict[str, float] = {}
    for name, priority in (("high", HIGH_PRIORITY), ("low", LOW_PRIORITY)):
        selected = [o for o in outcomes if o.call.priority == priority]
        figures[f"{name}_in_time"] = sum(_in_time(o) for o in selected) / max(1, len(selected))
        figures[f"{name}_ms_p99"] = milliseconds(selected, 99)
    figures["refused"] = float(sum(o.refused for o in outcomes))
    figures["late_or_lost"] = float(sum(1 for o in outcomes if not _in_time(o) and not o.refused))
    return figures


def _trainer_figures(sample_counts: Counter[str]) -> Mapping[str, float]:
    total = sample_counts.total()
    lowest = min(sample_counts[f"trainer-{n + 1}"] for n in range(TRAINER_COUNT))
    return {
        "samples_per_s": total / PEAK_LOAD_S,
        "lowest_share": lowest * TRAINER_COUNT / max(1, total),
    }
