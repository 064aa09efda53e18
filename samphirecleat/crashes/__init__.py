"""Calls that end the targets that run them: evidence of all nodes, and a bound on retries."""

from ._barred import barred_error, is_barred
from ._call_mark import call_mark
from ._guard import CrashGuard, EndRecorder, Registered, TargetStart, UnkeptEnds
from ._ledger import CrashLedger
from ._news import CrashNews
from ._suspect import FREE_ENDS, MOST_ENDS, SETTLE_S, RunEnd, Standing, Suspect

__all__ = [
    "FREE_ENDS",
    "MOST_ENDS",
    "SETTLE_S",
    "CrashGuard",
    "CrashLedger",
    "CrashNews",
    "EndRecorder",
    "Registered",
    "RunEnd",
    "Standing",
    "Suspect",
    "TargetStart",
    "UnkeptEnds",
    "barred_error",
    "call_mark",
    "is_barred",
]
