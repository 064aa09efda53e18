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


class TableServiceView:
    """The services of a target table, as the crash guard sees them."""

    def __init__(self, table: TargetTable) -> None:
        """Read from ``table``."""
        self._table = table

    def service_of(self, start_name: str) -> tuple[str, TargetStart] | None:
        """Return the service and the start of that name, None if it isn't registered."""
        target = self._table.targets.get(start_name.rpartition("@")[0])
        if target is None or target_start(target).name != start_name:
            return None
        return target.service, target_start(target)

    def accepting(self, service: str) -> Sequence[TargetStart]:
        """Return the targets of a service that are registered and don't drain."""
        return [target_start(target) for target in self._table.accepting_targets(service)]

    def has_failed(self, start: TargetStart, now_s: float) -> bool:
        """Whether a target failed a call just before, other than by refusing it."""
        target = self._table.targets.get(start.instance)
        return target is not None and self._table.has_failed(target, now_s)
