"""Detects calls that crash their targets, across all nodes, and bounds their retries."""

from ._blocked import blocked_error, is_blocked
from ._crash_gossip import CrashGossip
from ._guard import (
    CrashGuard,
    EvidenceRecorder,
    NullEvidenceRecorder,
    RegistrationState,
    TargetStart,
)
from ._ledger import CrashLedger
from ._request_digest import request_digest
from ._suspect import (
    MAX_CRASHES,
    MIN_CRASHES_TO_REFUSE,
    SETTLE_S,
    CrashedRun,
    CrashVerdict,
    Suspect,
)

__all__ = [
    "MIN_CRASHES_TO_REFUSE",
    "MAX_CRASHES",
    "SETTLE_S",
    "CrashGuard",
    "CrashLedger",
    "CrashGossip",
    "EvidenceRecorder",
    "RegistrationState",
    "CrashedRun",
    "CrashVerdict",
    "Suspect",
    "TargetStart",
    "NullEvidenceRecorder",
    "blocked_error",
    "request_digest",
    "is_blocked",
]
