"""Decides how much of a service's work this node lets in, and what waits or is refused.

Two windows for each service, one for callers and one for trainers, follow the
occupancy that the targets report. Nothing is agreed between nodes: every node
sees the same occupancy and gives way or grows by the same rule, so that shares
even out by themselves, and a caller's peak squeezes trainers wherever it comes
in.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

from ..policies import AdaptiveWindow, LimitPolicy, NoLimits, StaticShare

UNLIMITED: Final = 1_000_000.0
SMALLEST_WINDOW: Final = 1.0
QUEUE_PER_SLOT: Final = 8.0
FIRST_RETRY_AFTER_S: Final = 0.5
LONGEST_RETRY_AFTER_S: Final = 5.0


class OccupancyView(NamedTuple):
    """A service as its targets report it, seen from one node.

    ``slots`` are those of the usable targets, ``in_use`` what runs and waits
    there by their reports, ``node_count`` the live nodes that share them.
    ``trainer_share`` is the part of all trainers' shares in the service that
    belongs to trainers with steps at this node (to one trainer while none has), 0.0
    to 1.0.
    """

    slots: int
    in_use: int
    node_count: int
    trainer_share: float

    @property
    def node_share(self) -> float:
        """This node's even share of the slots."""
        return self.slots / max(1, self.node_count)


class Windows(NamedTuple):
    """How many calls of each class this node may have in flight to a service."""

    callers: float
    trainers: float


def next_windows(
    policy: LimitPolicy, windows: Windows | None, view: OccupancyView, in_flight: Windows
) -> Windows:
    """Return the windows for the next control period; None starts them afresh."""
    match policy:
        case NoLimits():
            return Windows(UNLIMITED, UNLIMITED)
        case StaticShare(slack=slack):
            share = max(SMALLEST_WINDOW, view.node_share * slack)
            return Windows(share, share)
        case AdaptiveWindow():
            if windows is None:
                share = max(SMALLEST_WINDOW, view.node_share)
                return Windows(
                    share * policy.caller_slack, _next_trainer_window(policy, share, view, 0.0)
                )
            return Windows(
                _next_caller_window(policy, windows.callers, view, in_flight.callers),
                _next_trainer_window(policy, windows.trainers, view, in_flight.trainers),
            )


def _next_caller_window(
    policy: AdaptiveWindow, window: float, view: OccupancyView, in_flight: float
) -> float:
    """Never below the node's even share and some slack: callers give way to nobody else."""
    floor = max(SMALLEST_WINDOW, view.node_share * policy.caller_slack)
    room = policy.caller_occupancy * view.slots - view.in_use
    if room < 0.0:
        return max(floor, window * policy.decrease)
    if in_flight < 0.8 * window:
        return max(floor, window)
    grown = window + room / max(1, view.node_count)
    return max(floor, min(grown, view.slots * 2.0))


def _next_trainer_window(
    policy: AdaptiveWindow, window: float, view: OccupancyView, in_flight: float
) -> float:
    """Grow into what is free, since all of a step may be worked on by one node.

    The room is divided by the trainers' shares, for each of them may have its
    step at another node, which sees the same room at the same time. A node that
    has no trainer's work keeps its window at that part of the room, so that a
    step which comes to it need not wait for the window to grow.
    """
    room = policy.trainer_occupancy * view.slots - view.in_use
    if not in_flight:
        return min(max(SMALLEST_WINDOW, room * view.trainer_share), float(max(1, view.slots)))
    if room < 0.0:
        return max(SMALLEST_WINDOW, window * policy.decrease)
    if in_flight < 0.8 * window:
        return window
    grown = window + room * view.trainer_share
    return min(max(SMALLEST_WINDOW, grown), float(max(1, view.slots)))


class AdmissionView(NamedTuple):
    """What one caller's admission is decided from.

    ``ahead`` counts queued calls of the same or a higher priority;
    ``service_s`` is the mean that calls took lately and ``upper_s`` what few of them
    exceeded; ``left_s`` is what is left until the deadline.
    """

    window: float
    in_flight: int
    ahead: int
    queued: int
    service_s: float
    upper_s: float
    left_s: float


@dataclass(frozen=True)
class Admit:
    """The call may start now."""


@dataclass(frozen=True)
class Queue:
    """The call waits for its turn."""


@dataclass(frozen=True)
class Refuse:
    """The call is refused at once, with the time after which to come back."""

    retry_after_s: float


Admission = Admit | Queue | Refuse


def decide_admission(view: AdmissionView) -> Admission:
    """Decide whether a caller's call starts, waits, or is refused.

    A call that can not be expected to end before its deadline is refused when it
    comes, not when its deadline nears: it would only take a slot from a call
    that can still be answered, and its caller can turn elsewhere meanwhile.
    """
    if view.in_flight < view.window and not view.ahead:
        return Admit()
    wait_s = expected_wait_s(view)
    if view.queued >= view.window * QUEUE_PER_SLOT or wait_s + view.upper_s > view.left_s:
        return Refuse(min(LONGEST_RETRY_AFTER_S, max(FIRST_RETRY_AFTER_S, wait_s)))
    return Queue()


def expected_wait_s(view: AdmissionView) -> float:
    """Return how long a call that comes now would wait for its start."""
    rounds = (view.ahead + 1) / max(SMALLEST_WINDOW, view.window)
    return rounds * view.service_s


def free_trainer_slots(windows: Windows, callers_queued: int, trainers_in_flight: int) -> int:
    """Return how many more trainer calls may start; none while callers wait."""
    if callers_queued:
        return 0
    return max(0, int(windows.trainers) - trainers_in_flight)
