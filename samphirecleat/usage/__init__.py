"""Usage of workspaces: counted where calls run, kept in the log, reported once a window."""

from ._counter import UsageCounter, write_interval_s
from ._ledger import UsageLedger
from ._records import CountsAdded, ReportFixed, WindowCounts
from ._reporter import (
    REPORT_SUBJECT,
    ReportOutcome,
    ReportSchedule,
    UsageChannel,
    UsageDependencies,
    UsageDuty,
)
from ._true_clock import ClockSample, TrueClock

__all__ = [
    "REPORT_SUBJECT",
    "ClockSample",
    "CountsAdded",
    "ReportFixed",
    "ReportOutcome",
    "ReportSchedule",
    "TrueClock",
    "UsageChannel",
    "UsageCounter",
    "UsageDuty",
    "UsageLedger",
    "UsageDependencies",
    "WindowCounts",
    "write_interval_s",
]
