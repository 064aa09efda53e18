"""Bench of routing: nodes choose targets and see only their own traffic.

Nine real nodes in front of five unequal engines, one of them three times slower than the others.
Load reports are 0.2 s old, the cache of an engine holds a fifth of the prefixes, and the prefixes
of calls have a Zipf distribution.
"""

import random
from collections.abc import Mapping, Sequence
from functools import partial
from typing import Final

from ..controllers.policies import (
    LeastReported,
    Policies,
    PrefixAffinity,
    RandomTarget,
    RoundRobin,
    RoutingPolicy,
    TwoChoices,
)
from ..standins import StandInEngine
from ..trial import DEPLOYMENTS, Fleet, until_ready
from ._harness import BenchResult, run_repeats
from ._open_load import LoadCall, LoadOutcome, milliseconds, poisson_times, send_load

DEFAULT_SEED: Final = 11
NODE_COUNT: Final = 9
LOAD_DURATION_S: Final = 3.0
RATE_PER_S: Final = 110.0
REPEATS: Final = 2
PREFIX_COUNT: Final = 60
CACHE_SIZE: Final = 12
PREFILL_S: Final = 0.12
MAX_TOKENS: Final = 10
VARIANTS: Final[Mapping[str, RoutingPolicy]] = {
    "prefix affinity": PrefixAffinity(),
    "two choices": TwoChoices(),
    "least reported": LeastReported(),
    "round robin": RoundRobin(),
    "random": RandomTarget(),
}


async def run(seed: int) -> BenchResult:
    """Run every variant with the same arrivals."""
    rows = [
        await run_repeats(name, partial(_run_once, policy), seed, REPEATS)
        for name, policy in VARIANTS.items()
    ]
    note = (
        f"{NODE_COUNT} nodes, 5 engines, {RATE_PER_S:g} calls/s for {LOAD_DURATION_S:g} s; "
        "milliseconds"
    )
    return BenchResult("routing", seed, rows, note)


async def _run_once(policy: RoutingPolicy, seed: int) -> Mapping[str, float]:
    fleet = Fleet(DEPLOYMENTS["los-aromos"], NODE_COUNT, seed, Policies(routing=policy))
    await fleet.start()
    try:
        _configure_unequal_engines(fleet.engines)
        await until_ready(fleet)
        calls = _draw_calls(fleet.shape.engine_service, seed)
        outcomes = await send_load(fleet.bootstrap, calls, random.Random(seed))
        return _figures(fleet.engines, outcomes)
    finally:
        await fleet.stop()


def _configure_unequal_engines(engines: Sequence[StandInEngine]) -> None:
    for engine in engines:
        engine.cache_size = CACHE_SIZE
        engine.prefill_s = PREFILL_S
    engines[1].slots = 4
    engines[2].token_s *= 3.0


def _draw_calls(service: str, seed: int) -> Sequence[LoadCall]:
    rng = random.Random(seed)
    weights = [1.0 / rank for rank in range(1, PREFIX_COUNT + 1)]
    calls = []
    for at_s in poisson_times(lambda _now_s: RATE_PER_S, LOAD_DURATION_S, seed):
        prefix = rng.choices(range(PREFIX_COUNT), weights)[0]
        prompt = f"shared instructions number {prefix:04}".ljust(32) + f" {rng.random()}"
        calls.append(LoadCall(at_s, service, "generate", prompt, MAX_TOKENS, 5, 10.0))
    return calls


def _figures(
    engines: Sequence[StandInEngine], outcomes: Sequence[LoadOutcome]
) -> Mapping[str, float]:
    hits = sum(engine.prefix_hits for engine in engines)
    misses = sum(engine.prefix_misses for engine in engines)
    runs = [len(engine.runs) for engine in engines]
    return {
        "first_p50": milliseconds(outcomes, 50, first=True),
        "first_p99": milliseconds(outcomes, 99, first=True),
        "whole_p50": milliseconds(outcomes, 50),
        "whole_p99": milliseconds(outcomes, 99),
        "hit_ratio": hits / max(1, hits + misses),
        "busiest_share": max(runs) / max(1, sum(runs)),
        "refused": float(sum(outcome.refused for outcome in outcomes)),
        "answered": float(sum(outcome.completed for outcome in outcomes)),
    }
