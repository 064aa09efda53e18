"""Calls and targets as the bound on calls that end their targets knows them."""

from collections.abc import Sequence

from ..crashes import Registered, TargetStart, call_mark
from ._target_table import TargetTable
from ._types import Call, Target


def call_digest(call: Call) -> bytes:
    """Return what stands for a call, whatever its id."""
    return call_mark(call.method, call.host, call.raw_path, call.caller, call.body)


def target_start(target: Target) -> TargetStart:
    """Return the start of a target that its registration tells of."""
    return TargetStart(target.instance, target.address, target.started_at_ms)


def registration_state(targets: TargetTable, start: TargetStart) -> Registered:
    """Return what the registrations in use say of one start of a target."""
    target = targets.targets.get(start.instance)
    if target is None or target_start(target) != start:
        return Registered.GONE
    return Registered.DRAINING if target.draining else Registered.READY


def sibling_targets(targets: TargetTable, start: TargetStart) -> Sequence[TargetStart]:
    """Return the other targets that serve the same as one that is registered."""
    target = targets.targets.get(start.instance)
    serving = targets.serving(target.service) if target is not None else ()
    return [target_start(other) for other in serving if other.instance != start.instance]
