"""`samphirecleat try`: a whole deployment in one process, checked against ledgers."""

from ._deployments import DEPLOYMENTS
from ._run import TrialOptions, TrialReport, print_report, run_trial, write_report

__all__ = [
    "DEPLOYMENTS",
    "TrialOptions",
    "TrialReport",
    "print_report",
    "run_trial",
    "write_report",
]
