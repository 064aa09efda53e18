"""Calls and targets as the bound on calls that end their targets knows them."""

from ..crashes import Registered, TargetStart, call_mark
from ._target_table import TargetTable
from ._types import Call, Target


def mark_of(call: Call) -> bytes:
    """Return what stands for a call, whatever its id."""
    return call_mark(call.method, call.host, call.raw_path, call.caller, call.body)


def start_of(target: Target) -> TargetStart:
    """Return the start of a target that its registration tells of."""
    return TargetStart(target.instance, target.address, target.started_at_ms)


def registration_of(targets: TargetTable, start: TargetStart) -> Registered:
    """Return what the registrations in use say of one start of a target."""
    target = targets.targets.get(start.instance)
    if target is None or start_of(target) != start:
        return Registered.GONE
    return Registered.DRAINING if target.draining else Registered.READY
