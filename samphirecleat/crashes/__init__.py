"""Detects calls that crash their targets, across all nodes, and bounds their retries."""

from ._barred import barred_error, is_barred
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
from ._suspect import MAX_ENDS, MIN_ENDS_TO_REFUSE, SETTLE_S, CrashVerdict, RunEnd, Suspect

__all__ = [
    "MIN_ENDS_TO_REFUSE",
    "MAX_ENDS",
    "SETTLE_S",
    "CrashGuard",
    "CrashLedger",
    "CrashGossip",
    "EvidenceRecorder",
    "RegistrationState",
    "RunEnd",
    "CrashVerdict",
    "Suspect",
    "TargetStart",
    "NullEvidenceRecorder",
    "barred_error",
    "request_digest",
    "is_barred",
]
