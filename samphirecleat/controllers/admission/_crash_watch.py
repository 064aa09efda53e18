"""The bound on calls that end their targets, for calls to the services of the text."""

import json
from collections.abc import Sequence

from ...blackboard import Blackboard, TargetView
from ...crashes import Registered, TargetStart, call_mark
from ...requests import Call


def mark_of(call: Call) -> bytes:
    """Return what stands for a call, whatever its key.

    Nothing in a call of this interface says who its caller is.
    """
    body = json.dumps(call.body, sort_keys=True, separators=(",", ":")).encode()
    return call_mark(call.method, call.service, "", "", body)


def start_of(target: TargetView) -> TargetStart:
    """Return the start of a target that it reported; each has an instance of its own."""
    return TargetStart(target.instance or target.address, target.address, 0)


def registration_of(board: Blackboard, start: TargetStart) -> Registered:
    """Return what is known of one start of a target.

    One that gives no answer may have ended; that is for its address to say.
    """
    target = board.targets.get(start.address)
    if target is None or start_of(target) != start:
        return Registered.GONE
    return Registered.DRAINING if target.leaving else Registered.READY


def other_usable_targets(board: Blackboard, start: TargetStart) -> Sequence[TargetStart]:
    """Return the other targets of the same service that answered when last asked."""
    target = board.targets.get(start.address)
    if target is None:
        return ()
    beside = board.targets_of(target.service)
    return [start_of(other) for other in beside if other.address != start.address and other.usable]
