"""Adapts calls and targets of the configured services to the crash guard."""

import json
from collections.abc import Sequence

from ...blackboard import Blackboard, TargetView
from ...crashes import RegistrationState, TargetStart, request_digest
from ...requests import Call


def call_digest(call: Call) -> bytes:
    """Return the digest that identifies a call independently of its request key.

    It covers method, service and body. The caller is left empty, because a call of
    this interface does not name it.
    """
    body = json.dumps(call.body, sort_keys=True, separators=(",", ":")).encode()
    return request_digest(call.method, call.service, "", "", body)


def target_start(target: TargetView) -> TargetStart:
    """Return the target's current process start, told apart by the reported instance."""
    return TargetStart(target.instance or target.address, target.address, 0)


def registration_state(board: Blackboard, start: TargetStart) -> RegistrationState:
    """Return the registration state of one process start of a target.

    An unreachable target still counts as registered; whether its process ended
    is decided by probing its address.
    """
    target = board.targets.get(start.address)
    if target is None or target_start(target) != start:
        return RegistrationState.GONE
    return RegistrationState.DRAINING if target.leaving else RegistrationState.READY


def sibling_targets(board: Blackboard, start: TargetStart) -> Sequence[TargetStart]:
    """Return the other usable targets of the same service."""
    target = board.targets.get(start.address)
    if target is None:
        return ()
    same_service = board.targets_of(target.service)
    return [
        target_start(other)
        for other in same_service
        if other.address != start.address and other.usable
    ]


class BoardServiceView:
    """The configured services and their targets on the blackboard, as the crash guard sees them."""

    def __init__(self, board: Blackboard) -> None:
        """Read from ``board``."""
        self._board = board

    def service_of(self, start_name: str) -> tuple[str, TargetStart] | None:
        """Return the service and the start of that name, None if no target has it."""
        for target in self._board.targets.values():
            if target_start(target).name == start_name:
                return target.service, target_start(target)
        return None

    def accepting(self, service: str) -> Sequence[TargetStart]:
        """Return the targets of a service that can be reached and don't leave."""
        return [target_start(target) for target in self._board.targets_of(service) if target.usable]

    def has_failed(self, start: TargetStart, now_s: float) -> bool:
        """Return False: a target that refuses connections counts as unreachable already."""
        del start, now_s
        return False
