"""Calls and targets as the bound on calls that end their targets knows them."""

from collections.abc import Sequence

from ..crashes import RegistrationState, TargetStart, request_digest
from ._target_table import TargetTable
from ._types import Call, Target


def call_digest(call: Call) -> bytes:
    """Return what stands for a call, whatever its id."""
    return request_digest(call.method, call.host, call.raw_path, call.caller, call.body)


def target_start(target: Target) -> TargetStart:
    """Return the start of a target that its registration tells of."""
    return TargetStart(target.instance, target.address, target.started_at_ms)


def registration_state(targets: TargetTable, start: TargetStart) -> RegistrationState:
    """Return what the registrations in use say of one start of a target."""
    target = targets.targets.get(start.instance)
    if target is None or target_start(target) != start:
        return RegistrationState.GONE
    return RegistrationState.DRAINING if target.draining else RegistrationState.READY


def sibling_targets(targets: TargetTable, start: TargetStart) -> Sequence[TargetStart]:
    """Return the other targets that serve the same as one that is registered."""
    target = targets.targets.get(start.instance)
    serving = targets.serving(target.service) if target is not None else ()
    return [target_start(other) for other in serving if other.instance != start.instance]
