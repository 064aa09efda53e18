"""Runs a trial and produces its report."""

import asyncio
import sys
import time
from collections.abc import Sequence
from typing import Final, NamedTuple

from ._checks import check_promises
from ._config_checks import IN_FORCE_DEADLINE_S
from ._deployments import DEPLOYMENTS
from ._fleet import Fleet
from ._fleet_monitor import FleetMonitor
from ._journal import Journal
from ._measures import measure
from ._report import TrialReport
from ._schedule import Schedule
from ._workload import Workload

READY_TIMEOUT_S: Final = 15.0
SCHEDULE_TIMEOUT_S: Final = 60.0
MIN_LOAD_S: Final = 6.0
PROGRESS_PERIOD_S: Final = 0.5


class TrialOptions(NamedTuple):
    """Options of a trial.

    Load is sent for ``seconds``, but at least for ``MIN_LOAD_S``, since a leaving
    target may still get requests for 3 s and the check needs time after that.
    """

    nodes: int = 9
    seconds: float = 20.0
    seed: int = 1
    deployment: str = "los-aromos"
    faults: Sequence[str] = ()
    progress: bool = False


async def run_trial(options: TrialOptions) -> TrialReport:
    """Run one trial and return its report."""
    fleet = Fleet(DEPLOYMENTS[options.deployment], options.nodes, options.seed)
    await fleet.start()
    try:
        await until_ready(fleet)
        return await _run_load(fleet, options)
    finally:
        await fleet.stop()


async def _run_load(fleet: Fleet, options: TrialOptions) -> TrialReport:
    seconds = max(MIN_LOAD_S, options.seconds)
    journal = Journal()
    workload = Workload(fleet, options.seed)
    monitor = FleetMonitor(fleet)
    schedule = Schedule(fleet, workload, journal, options.seed, seconds)
    background = [asyncio.create_task(monitor.run())]
    if options.progress:
        background.append(asyncio.create_task(_print_progress(workload, journal, seconds)))
    try:
        async with asyncio.TaskGroup() as group:
            group.create_task(workload.run(seconds))
            group.create_task(_run_schedule(SCHEDULE_TIMEOUT_S + seconds, schedule, options.faults))
        await asyncio.sleep(_remaining_settle_s(fleet))
    finally:
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
    promises = check_promises(fleet, workload.receipts, monitor)
    measures = measure(fleet, workload.receipts, monitor)
    return TrialReport(promises, measures, journal.events)


def _remaining_settle_s(fleet: Fleet) -> float:
    """Return how long to keep observing until the deadline of the last text has passed."""
    changes_s = [append.at_s for append in fleet.log.appends if append.stream == "config"]
    changes_s += [outage.end_s for outage in fleet.log_outages]
    settled_at_s = max(changes_s) + IN_FORCE_DEADLINE_S + PROGRESS_PERIOD_S
    return max(0.0, settled_at_s - time.monotonic())


async def _run_schedule(timeout_s: float, schedule: Schedule, faults: Sequence[str]) -> None:
    async with asyncio.timeout(timeout_s):
        await schedule.run(faults)


async def _print_progress(workload: Workload, journal: Journal, seconds: float) -> None:
    started_at_s = time.monotonic()
    try:
        while True:
            receipts = workload.receipts
            print(
                f"\r{time.monotonic() - started_at_s:5.1f} of {seconds:.0f} s: "
                f"{len(receipts.calls)} calls, {len(receipts.steps)} steps, "
                f"{len(receipts.samples)} samples, {len(journal.events)} events ",
                end="",
                file=sys.stderr,
                flush=True,
            )
            await asyncio.sleep(PROGRESS_PERIOD_S)
    finally:
        print(file=sys.stderr)


async def until_ready(fleet: Fleet) -> None:
    """Wait until every node is ready and sees all targets and nodes.

    :raises TimeoutError: after ``READY_TIMEOUT_S``.
    """
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
