"""Queues of services whose targets this node dispatches to, and their known capacity."""

from ._decisions import Decision, Refusal, RefusalReason, Start, Wait
from ._line import ServiceLine
from ._room import MAX_TARGET_BYTES, TargetRoom
from ._slot_queue import Grant, SlotQueue
from ._time_left import TimeLeft
from ._waiting_calls import LineEntry

__all__ = [
    "MAX_TARGET_BYTES",
    "Decision",
    "Grant",
    "LineEntry",
    "Refusal",
    "RefusalReason",
    "ServiceLine",
    "SlotQueue",
    "Start",
    "TargetRoom",
    "TimeLeft",
    "Wait",
]
