"""Usage accounting: counts each workspace's calls and reports them to the platform per window."""

from ._counter import UsageCounter, write_interval_s
from ._ledger import UsageLedger
from ._records import CountsAdded, CountsFinalized, WindowCounts
from ._reporter import (
    REPORT_SUBJECT,
    ReportOutcome,
    ReportSchedule,
    UsageChannel,
    UsageDependencies,
    UsageDuty,
)
from ._true_clock import ClockSample, TrueClock, clock_samples

__all__ = [
    "REPORT_SUBJECT",
    "ClockSample",
    "CountsAdded",
    "CountsFinalized",
    "ReportOutcome",
    "ReportSchedule",
    "TrueClock",
    "UsageChannel",
    "UsageCounter",
    "UsageDuty",
    "UsageLedger",
    "UsageDependencies",
    "WindowCounts",
    "clock_samples",
    "write_interval_s",
]
