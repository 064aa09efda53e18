"""Bench of retry budgets: the targets of a service refuse a share of their calls for a while.

Five plain targets behind nine real nodes. For 1.5 s each target refuses a share of its calls
before it starts them. Load amplification is the number of calls that reach targets for each call
of a caller.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Final

from ..controllers.policies import Policies, RetryLimit
from ..standins import StandInPlainService
from ..trial import DEPLOYMENTS, Fleet, until_ready
from ._harness import BenchResult, BenchRow, average_runs
from ._open_load import LoadCall, LoadOutcome, poisson_times, send_load

DEFAULT_SEED: Final = 13
NODE_COUNT: Final = 9
RATE_PER_S: Final = 80.0
LOAD_DURATION_S: Final = 3.5
FAULT_START_S: Final = 1.0
FAULT_END_S: Final = 2.5
DEADLINE_S: Final = 2.0
REFUSED_CALL_SHARES: Final = (0.05, 0.3, 1.0)
BUDGETS: Final[Mapping[str, RetryLimit]] = {
    "budget": RetryLimit(),
    "no retries": RetryLimit(0.0, 0.0),
    "no budget": RetryLimit(1_000_000.0, 1_000_000.0),
}


class _RefusalFault:
    """Makes targets refuse a share of their calls during the fault."""

    def __init__(self, targets: Sequence[StandInPlainService], share: float, seed: int) -> None:
        self._targets = targets
        self._share = share
        self._rng = random.Random(seed)

    def on_time(self, at_s: float) -> None:
        """Draw again, before each call, which targets refuse their next call."""
        failing = FAULT_START_S <= at_s < FAULT_END_S
        for target in self._targets:
            refuses = failing and self._rng.random() < self._share
            target.refuse_next = 1_000_000 if refuses else 0


async def run(seed: int) -> BenchResult:
    """Run every budget with every share of refused calls."""
    rows = [await _run_variant(name, limit, seed) for name, limit in BUDGETS.items()]
    note = (
        f"{NODE_COUNT} nodes, {RATE_PER_S:g} calls/s; targets refuse 5%, 30%, 100% of calls from "
        f"{FAULT_START_S:g} s to {FAULT_END_S:g} s; load: calls at targets per call during the "
        "fault; back_s: time from the end of the fault until every call is answered"
    )
    return BenchResult("retries", seed, rows, note)


async def _run_variant(name: str, limit: RetryLimit, seed: int) -> BenchRow:
    figures: dict[str, float] = {}
    for share in REFUSED_CALL_SHARES:
        outcome = await _run_once(limit, share, seed)
        figures.update({f"{key}_{share:.0%}": value for key, value in outcome.items()})
    return average_runs(name, [figures])


async def _run_once(limit: RetryLimit, share: float, seed: int) -> Mapping[str, float]:
    shape = DEPLOYMENTS["los-aromos"]._replace(plain_count=5)
    fleet = Fleet(shape, NODE_COUNT, seed, Policies(retries=limit))
    await fleet.start()
    try:
        await until_ready(fleet)
        fault = _RefusalFault(fleet.plain, share, seed)
        calls = _draw_calls(shape.plain_service, shape.plain_idempotent, seed)
        outcomes = await send_load(fleet.bootstrap, calls, random.Random(seed), fault.on_time)
        reached = sum(len(target.arrivals) for target in fleet.plain)
    finally:
        await fleet.stop()
    return _figures(outcomes, reached)


def _draw_calls(service: str, method: str, seed: int) -> Sequence[LoadCall]:
    times = poisson_times(lambda _s: RATE_PER_S, LOAD_DURATION_S, seed)
    return [
        LoadCall(at_s, service, method, f"card {number}", 1, 5, DEADLINE_S)
        for number, at_s in enumerate(times)
    ]


def _figures(outcomes: Sequence[LoadOutcome], reached: int) -> Mapping[str, float]:
    during = [o for o in outcomes if FAULT_START_S <= o.call.at_s < FAULT_END_S]
    outside = len(outcomes) - len(during)
    failed_after = [o.call.at_s for o in outcomes if o.call.at_s >= FAULT_END_S and not o.completed]
    return {
        "load": (reached - outside) / max(1, len(during)),
        "ok": sum(o.completed for o in during) / max(1, len(during)),
        "back_s": max(failed_after, default=FAULT_END_S) - FAULT_END_S,
    }
