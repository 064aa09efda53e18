"""Runs a trial from start to its report."""

import asyncio
import json
import math
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from tabulate import tabulate

from ._checks import Verdict, check_promises
from ._deployments import DEPLOYMENTS
from ._fleet import Fleet
from ._records import Receipts
from ._workload import Workload

READY_TIMEOUT_S = 10.0


class TrialOptions(NamedTuple):
    """What the command line chose."""

    nodes: int = 9
    seconds: float = 20.0
    seed: int = 1
    deployment: str = "los-aromos"
    faults: Sequence[str] = ()


class TrialReport(NamedTuple):
    """The outcome of a trial; ``passed`` only if every promise was checked and held."""

    promises: Mapping[str, Verdict]
    measures: Mapping[str, float]
    faults: Sequence[Mapping[str, Any]]

    @property
    def broken(self) -> Sequence[str]:
        """The promises that were broken, or over which nothing was checked."""
        return [name for name, verdict in self.promises.items() if verdict.broken]

    def to_json(self) -> Mapping[str, Any]:
        """Return the report as it is written to a file."""
        return {
            "promises": {name: verdict.broken for name, verdict in self.promises.items()},
            "measures": dict(self.measures),
            "checked": {name: verdict.checked for name, verdict in self.promises.items()},
            "faults": list(self.faults),
        }


async def run_trial(options: TrialOptions) -> TrialReport:
    """Run one trial and return its report."""
    fleet = Fleet(DEPLOYMENTS[options.deployment], options.nodes, options.seed)
    await fleet.start()
    try:
        await until_ready(fleet)
        workload = Workload(fleet, options.seed)
        await workload.run(options.seconds)
        promises = check_promises(fleet, workload.receipts)
        return TrialReport(promises, _measure(workload.receipts), ())
    finally:
        await fleet.stop()


def print_report(report: TrialReport) -> None:
    """Print a readable summary."""
    rows = [
        (name, verdict.broken, verdict.checked, "held" if not verdict.broken else "BROKEN")
        for name, verdict in report.promises.items()
    ]
    print(tabulate(rows, headers=["promise", "broken", "checked", ""]))
    print()
    print(tabulate(report.measures.items(), headers=["measure", "value"], floatfmt=".4g"))


def write_report(report: TrialReport, path: str) -> None:
    """Write the report as JSON."""
    Path(path).write_text(json.dumps(report.to_json(), indent=2) + "\n")


async def until_ready(fleet: Fleet) -> None:
    """Wait until every node holds the text and sees usable targets."""
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + READY_TIMEOUT_S
    while not all(_is_ready(fleet, index) for index in range(len(fleet.nodes))):
        if loop.time() > give_up_at_s:
            raise TimeoutError(f"the fleet did not become ready: {fleet.nodes[0].own_report()}")
        await asyncio.sleep(0.05)


def _is_ready(fleet: Fleet, index: int) -> bool:
    board = fleet.nodes[index].board
    usable = sum(1 for target in board.targets.values() if target.usable)
    return (
        board.ready
        and usable == len(fleet.targets)
        and len(board.live_members()) == fleet.node_count
    )


def _measure(receipts: Receipts) -> Mapping[str, float]:
    answered = [call.took_s * 1000.0 for call in receipts.calls if call.answer is not None]
    staleness = [float(r.trainer_version - r.sample.oldest_version) for r in receipts.samples]
    ages = [r.age_s for r in receipts.samples]
    total_s = receipts.waited_s + receipts.trained_s
    return {
        "trainer_idle_ratio": receipts.waited_s / total_s if total_s else 0.0,
        "staleness_versions_p50": percentile(staleness, 50),
        "staleness_versions_p99": percentile(staleness, 99),
        "staleness_s_p50": percentile(ages, 50),
        "staleness_s_p99": percentile(ages, 99),
        "steps_completed": len(receipts.steps),
        "samples_delivered": len(receipts.samples),
        "answers_whole": len(answered),
        "answers_refused": sum(
            1 for c in receipts.calls if c.error is not None and c.error.ran.value == "no"
        ),
        "answers_unknown": sum(
            1 for c in receipts.calls if c.error is not None and c.error.ran.value != "no"
        ),
        "request_ms_p50": percentile(answered, 50),
        "request_ms_p99": percentile(answered, 99),
    }


def percentile(values: Sequence[float], percent: float) -> float:
    """Return the nearest-rank percentile, 0.0 for no values."""
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[max(0, math.ceil(len(ranked) * percent / 100.0) - 1)]
