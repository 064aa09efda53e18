"""Calls that end the targets that run them: evidence of all nodes, and a bound on retries."""

from ._barred import barred_error, is_barred
from ._gossip import CrashGossip
from ._guard import (
    CrashGuard,
    EvidenceRecorder,
    NullEvidenceRecorder,
    RegistrationState,
    TargetStart,
)
from ._ledger import CrashLedger
from ._request_digest import request_digest
from ._suspect import MIN_ENDS_TO_REFUSE, MOST_ENDS, SETTLE_S, CrashVerdict, RunEnd, Suspect

__all__ = [
    "MIN_ENDS_TO_REFUSE",
    "MOST_ENDS",
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
