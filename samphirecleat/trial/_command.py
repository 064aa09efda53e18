"""The ``samphirecleat try`` command."""

import asyncio
import sys
from typing import Final, NoReturn

import uvloop

from ._deployments import DEPLOYMENTS
from ._fault_table import FAULTS, UnknownFaultError, select_faults
from ._report import print_report, write_report
from ._run import TrialOptions, run_trial

EXIT_BROKEN: Final = 1
EXIT_BAD_INPUT: Final = 2
MIN_NODES: Final = 3


def try_command(
    nodes: int = 9,
    seconds: float = 20.0,
    seed: int = 1,
    deployment: str = "los-aromos",
    faults: str = "none",
    report: str = "",
) -> None:
    """Run a deployment in one process and check every promise.

    ``faults`` is none, all, a comma-separated list of names, or list to print the
    names; ``report`` is the path of a JSON report to write. Exits with code 1 if a
    promise was broken or not checked, and with code 2 for invalid options.
    """
    # Fire parses "a,b" into a tuple before the command is called.
    names = faults if isinstance(faults, str) else ",".join(faults)
    if names == "list":
        _print_faults()
        return
    options = _read_options(nodes, seconds, seed, deployment, names)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        result = runner.run(run_trial(options))
    print_report(result)
    if report:
        write_report(result, report)
    if result.failed:
        print(f"Broken: {', '.join(result.broken) or 'none'}", file=sys.stderr)
        print(f"Not checked: {', '.join(result.unchecked) or 'none'}", file=sys.stderr)
        sys.exit(EXIT_BROKEN)


def _read_options(
    nodes: int, seconds: float, seed: int, deployment: str, faults: str
) -> TrialOptions:
    try:
        selected = select_faults(faults)
    except UnknownFaultError as error:
        _exit_with_usage_error(str(error))
    if deployment not in DEPLOYMENTS:
        _exit_with_usage_error(
            f"unknown deployment {deployment}; allowed: {', '.join(DEPLOYMENTS)}"
        )
    if nodes < MIN_NODES:
        _exit_with_usage_error(f"{nodes} nodes requested; at least {MIN_NODES} are required")
    return TrialOptions(nodes, seconds, seed, deployment, selected, progress=True)


def _exit_with_usage_error(reason: str) -> NoReturn:
    print(reason, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)


def _print_faults() -> None:
    for fault in FAULTS.values():
        print(f"{fault.name:20} {fault.description}")
