"""`samphirecleat try`: runs a deployment in one process and checks its guarantees."""

from ._addresses import AddressPool, free_port
from ._command import try_command
from ._deployments import DEPLOYMENTS, DeploymentShape, service_text
from ._fault_table import FAULTS, UnknownFaultError, select_faults
from ._fleet import TRIAL_TIMINGS, Fleet
from ._measures import percentile
from ._report import TrialReport, print_report, write_report
from ._run import TrialOptions, run_trial, until_ready

__all__ = [
    "AddressPool",
    "DEPLOYMENTS",
    "DeploymentShape",
    "FAULTS",
    "Fleet",
    "TRIAL_TIMINGS",
    "TrialOptions",
    "TrialReport",
    "UnknownFaultError",
    "free_port",
    "percentile",
    "print_report",
    "run_trial",
    "select_faults",
    "service_text",
    "try_command",
    "until_ready",
    "write_report",
]
