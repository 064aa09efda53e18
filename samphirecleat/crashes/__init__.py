"""Detects calls that crash their targets, across all nodes, and bounds their retries."""

from ._blocked import blocked_error, is_blocked
from ._crash_gossip import CrashGossip
from ._crashed_services import ServiceSize, ServiceView
from ._guard import (
    CrashGuard,
    EvidenceRecorder,
    NullEvidenceRecorder,
    RegistrationState,
)
from ._ledger import CrashLedger
from ._request_digest import request_digest
from ._suspect import (
    MAX_CRASHES,
    MIN_CRASHES_TO_REFUSE,
    OWED_BACKOFF_S,
    SETTLE_S,
    CrashedRun,
    CrashVerdict,
    Suspect,
    Suspicion,
)
from ._target_start import TargetStart
from ._urgent_reports import ReportSender, UrgentReports

__all__ = [
    "MIN_CRASHES_TO_REFUSE",
    "MAX_CRASHES",
    "OWED_BACKOFF_S",
    "SETTLE_S",
    "CrashGuard",
    "CrashLedger",
    "CrashGossip",
    "EvidenceRecorder",
    "RegistrationState",
    "ReportSender",
    "ServiceSize",
    "ServiceView",
    "CrashedRun",
    "CrashVerdict",
    "Suspect",
    "Suspicion",
    "TargetStart",
    "UrgentReports",
    "NullEvidenceRecorder",
    "blocked_error",
    "request_digest",
    "is_blocked",
]
