"""`samphirecleat try`: a whole deployment in one process, checked against ledgers."""

from ._command import try_command
from ._deployments import DEPLOYMENTS
from ._fault_table import FAULTS, UnknownFaultError, select_faults
from ._report import TrialReport, print_report, write_report
from ._run import TrialOptions, run_trial

__all__ = [
    "DEPLOYMENTS",
    "FAULTS",
    "TrialOptions",
    "TrialReport",
    "UnknownFaultError",
    "print_report",
    "run_trial",
    "select_faults",
    "try_command",
    "write_report",
]
