"""`samphirecleat try`: a whole deployment in one process, checked against ledgers."""

from ._deployments import DEPLOYMENTS, DeploymentShape, service_text
from ._fleet import TRIAL_TIMINGS, Fleet, free_port
from ._run import (
    TrialOptions,
    TrialReport,
    percentile,
    print_report,
    run_trial,
    until_ready,
    write_report,
)

__all__ = [
    "DEPLOYMENTS",
    "TRIAL_TIMINGS",
    "DeploymentShape",
    "Fleet",
    "TrialOptions",
    "TrialReport",
    "free_port",
    "percentile",
    "print_report",
    "run_trial",
    "service_text",
    "until_ready",
    "write_report",
]
