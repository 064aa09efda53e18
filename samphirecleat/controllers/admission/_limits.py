"""Decides how many calls to a service this node runs, queues or refuses.

Each service has two concurrency windows, one for callers and one for trainers,
which follow the occupancy reported by the targets. Nodes do not coordinate: all
see the same occupancy and grow or shrink by the same rule, so their shares
converge, and a peak of callers reduces trainer traffic at every node.
"""

from dataclasses import dataclass
from typing import Final, NamedTuple

from ..policies import AdaptiveWindow, LimitPolicy, NoLimits, StaticShare

UNLIMITED_WINDOW: Final = 1_000_000.0
MIN_WINDOW: Final = 1.0
MAX_QUEUED_PER_SLOT: Final = 8.0
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 5.0


class OccupancyView(NamedTuple):
    """The occupancy of a service as reported by its targets.

    ``slots`` is the total of the usable targets, ``in_use`` the calls running or
    waiting there, and ``node_count`` the number of live nodes that share them.
    ``trainer_share`` is the fraction (0.0 to 1.0) of all trainers' shares in the
    service held by trainers with steps at this node, or one trainer's even
    fraction while no trainer has steps here.
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
    """The maximum number of calls of each class in flight from this node to a service."""

    callers: float
    trainers: float


def next_windows(
    policy: LimitPolicy, windows: Windows | None, view: OccupancyView, in_flight: Windows
) -> Windows:
    """Return the windows for the next control period; ``windows`` is None at the start."""
    match policy:
        case NoLimits():
            return Windows(UNLIMITED_WINDOW, UNLIMITED_WINDOW)
        case StaticShare(slack=slack):
            share = max(MIN_WINDOW, view.node_share * slack)
            return Windows(share, share)
        case AdaptiveWindow():
            if windows is None:
                share = max(MIN_WINDOW, view.node_share)
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
    """Return the callers' window, at least the node's even share times ``caller_slack``.

    Callers are not reduced further in favour of any other traffic.
    """
    floor = max(MIN_WINDOW, view.node_share * policy.caller_slack)
    headroom = policy.caller_occupancy * view.slots - view.in_use
    if headroom < 0.0:
        return max(floor, window * policy.decrease)
    if in_flight < 0.8 * window:
        return max(floor, window)
    grown = window + headroom / max(1, view.node_count)
    return max(floor, min(grown, view.slots * 2.0))


def _next_trainer_window(
    policy: AdaptiveWindow, window: float, view: OccupancyView, in_flight: float
) -> float:
    """Return the trainers' window, which may grow to all free slots.

    A whole step may run at one node. Free slots are divided by the trainers' shares,
    because each trainer's step may be at another node that sees the same free slots
    at the same time. A node without trainer calls keeps its window at its part of
    the free slots, so that a new step does not wait for the window to grow.
    """
    headroom = policy.trainer_occupancy * view.slots - view.in_use
    if not in_flight:
        return min(max(MIN_WINDOW, headroom * view.trainer_share), float(max(1, view.slots)))
    if headroom < 0.0:
        return max(MIN_WINDOW, window * policy.decrease)
    if in_flight < 0.8 * window:
        return window
    grown = window + headroom * view.trainer_share
    return min(max(MIN_WINDOW, grown), float(max(1, view.slots)))


class AdmissionView(NamedTuple):
    """The input of :func:`decide_admission`.

    ``queued_ahead`` counts queued calls of the same or a higher priority.
    ``mean_duration_s`` is the recent mean duration of calls, ``high_estimate_s`` a
    duration that few of them exceeded, and ``remaining_s`` the time until the deadline.
    """

    window: float
    in_flight: int
    queued_ahead: int
    queued: int
    mean_duration_s: float
    high_estimate_s: float
    remaining_s: float


@dataclass(frozen=True)
class Admit:
    """The call may start now."""


@dataclass(frozen=True)
class Queue:
    """The call is queued."""


@dataclass(frozen=True)
class Refuse:
    """The call is refused; the caller may retry after ``retry_after_s``."""

    retry_after_s: float


Admission = Admit | Queue | Refuse


def decide_admission(view: AdmissionView) -> Admission:
    """Decide whether a caller's call starts, is queued or is refused.

    A call that is not expected to end before its deadline is refused on arrival: it
    would take a slot from a call that can still be answered in time, and an early
    refusal lets the caller retry elsewhere.
    """
    if view.in_flight < view.window and not view.queued_ahead:
        return Admit()
    wait_s = expected_wait_s(view)
    if (
        view.queued >= view.window * MAX_QUEUED_PER_SLOT
        or wait_s + view.high_estimate_s > view.remaining_s
    ):
        return Refuse(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))
    return Queue()


def expected_wait_s(view: AdmissionView) -> float:
    """Return the expected queueing time of a call that arrives now."""
    rounds = (view.queued_ahead + 1) / max(MIN_WINDOW, view.window)
    return rounds * view.mean_duration_s


def free_trainer_slots(windows: Windows, callers_queued: int, trainers_in_flight: int) -> int:
    """Return how many more trainer calls may start; none while callers are queued."""
    if callers_queued:
        return 0
    return max(0, int(windows.trainers) - trainers_in_flight)
