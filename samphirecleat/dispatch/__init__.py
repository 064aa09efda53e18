"""Queues of services whose targets this node dispatches to, and their known capacity."""

from ._room import MAX_TARGET_BYTES
from ._slot_queue import Grant, SlotQueue

__all__ = ["MAX_TARGET_BYTES", "Grant", "SlotQueue"]
