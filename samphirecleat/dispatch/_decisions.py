"""The decisions of a service's queue about a call: it starts, it waits, or it is refused."""

from enum import Enum
from typing import NamedTuple

from ._target_limiter import TargetLimiter
from ._waiting_calls import QueuedCall


class RefusalReason(Enum):
    """Why a call is refused without having run; the names are those of the counters.

    ``NO_TARGET``: the service has no target. ``CLOSED``: all its targets are closed for longer than
    the call can wait. ``OBJECTIVE``: the queue is too long for its latency objective. ``DEADLINE``:
    it cannot be answered before its deadline. ``REPLACED``: it gave way to a call of a workspace
    that has fewer calls waiting. ``CAPACITY``: the service lost capacity while it waited.
    ``LATE``: it waited longer than estimated.
    """

    NO_TARGET = "no_target"
    CLOSED = "closed"
    OBJECTIVE = "objective"
    DEADLINE = "deadline"
    REPLACED = "replaced"
    CAPACITY = "capacity"
    LATE = "late"


class Start(NamedTuple):
    """A call that is counted at a target and may be sent there; ``probe`` if that was closed."""

    entry: QueuedCall
    limiter: TargetLimiter
    probe: bool


class Wait(NamedTuple):
    """A call that waits; ``replaced`` is the refusal of the call that gave up its place."""

    entry: QueuedCall
    replaced: "Refusal | None" = None


class Refusal(NamedTuple):
    """A call that is refused; its caller may retry after ``retry_after_s``.

    ``booked`` says that the capacity for the retry is reserved.
    """

    entry: QueuedCall
    reason: RefusalReason
    retry_after_s: float
    booked: bool


Decision = Start | Wait | Refusal
