"""Runs of calls that ended with their targets."""

from ._call_mark import call_mark
from ._guard import CrashGuard, Registered, TargetStart

__all__ = ["CrashGuard", "Registered", "TargetStart", "call_mark"]
