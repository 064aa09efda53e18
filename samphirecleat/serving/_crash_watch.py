"""Maps calls and targets to the types of the crash guard."""

from collections.abc import Sequence

from ..crashes import RegistrationState, TargetStart, request_digest
from ._target_table import TargetTable
from ._types import Call, Target


def call_digest(call: Call) -> bytes:
    """Return the digest that identifies a call independently of its request ID."""
    return request_digest(call.method, call.host, call.raw_path, call.caller, call.body)


def target_start(target: Target) -> TargetStart:
    """Return the process start that a target's registration describes."""
    return TargetStart(target.instance, target.address, target.started_at_ms)


def registration_state(table: TargetTable, start: TargetStart) -> RegistrationState:
    """Return the registration state of one start of a target."""
    target = table.targets.get(start.instance)
    if target is None or target_start(target) != start:
        return RegistrationState.GONE
    return RegistrationState.DRAINING if target.draining else RegistrationState.READY


def sibling_targets(table: TargetTable, start: TargetStart) -> Sequence[TargetStart]:
    """Return the other targets of the same service; none if the target isn't registered."""
    target = table.targets.get(start.instance)
    accepting = table.accepting_targets(target.service) if target is not None else ()
    return [target_start(other) for other in accepting if other.instance != start.instance]
