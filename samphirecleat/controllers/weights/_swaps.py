"""Decides which engines of a service load the newest weights next.

A version is live on an engine only when the engine itself says so. Everything
else that is remembered of an order only says when to look again.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...blackboard import TargetView
from ...config import Service
from ...targets import OrderOutcome, OrderTaken, OrderUnknown

UNKNOWN_SETTLES_AFTER_S: Final = 3.0
TAKEN_SETTLES_AFTER_S: Final = 10.0
FIRST_RETRY_S: Final = 0.5
LONGEST_RETRY_S: Final = 30.0


class OrderRecord(NamedTuple):
    """The latest order that this coordinator gave one target.

    ``outcome`` is None until the order is answered, at ``answered_at_s``.
    ``attempts`` counts the orders of this version to this instance, and
    ``retry_at_s`` is when the next may follow.
    """

    version: int
    instance: str
    attempts: int
    ordered_at_s: float
    outcome: OrderOutcome | None = None
    answered_at_s: float = math.inf
    retry_at_s: float = math.inf


class SwapView(NamedTuple):
    """What the next orders of one service are decided from.

    ``in_flight`` counts this node's own calls by target address; ``orders`` are
    the latest orders by target address.
    """

    service: Service
    targets: Sequence[TargetView]
    in_flight: Mapping[str, int]
    latest_version: int
    parallel_loads: int
    orders: Mapping[str, OrderRecord]


class OrderVersion(NamedTuple):
    """Order one target to load a version."""

    target: TargetView
    version: int


@dataclass(frozen=True)
class StalenessWeightedSwaps:
    """As many at once as the service's ``staleness_weight`` asks for."""


@dataclass(frozen=True)
class OneByOne:
    """Baseline: one engine at a time."""


@dataclass(frozen=True)
class AllAtOnce:
    """Baseline: every engine at once, whatever the service text and the store bear."""


SwapPolicy = StalenessWeightedSwaps | OneByOne | AllAtOnce
DEFAULT_SWAP_POLICY: Final = StalenessWeightedSwaps()


def decide_swaps(
    view: SwapView, now_s: float, policy: SwapPolicy = DEFAULT_SWAP_POLICY
) -> Sequence[OrderVersion]:
    """Return the orders to give now.

    Engines whose samples are past the bound come first, for trainers can use
    them no more; then those with the least work in hand.
    """
    engines = [target for target in view.targets if target.reachable and not target.leaving]
    loading = [target for target in engines if _may_be_loading(target, view, now_s)]
    waiting = [target for target in engines if _may_be_ordered(target, view, now_s)]
    room = _room(view, engines, loading, policy)
    waiting.sort(key=lambda target: _rank(target, view))
    return [OrderVersion(target, view.latest_version) for target in waiting[: max(0, room)]]


def swaps_at_once(service: Service, engine_count: int, parallel_loads: int) -> int:
    """Return how many engines of a service may load at one time.

    Loading takes an engine out of routing. A service that weighs staleness takes
    as many as ``max_swapping_share`` and the store allow; one that weighs its
    trainers' idle time gives up one engine's capacity at a time. All engines load
    at once only where the share is 1.0, or there is but one.
    """
    most = max(1, math.floor(engine_count * service.max_swapping_share + 1e-9))
    wanted = 1.0 + service.staleness_weight * (most - 1)
    return max(1, min(parallel_loads, math.floor(wanted + 0.5)))


def retry_wait_s(attempts: int, jitter: float) -> float:
    """Return how long to wait after a failed load; ``jitter`` is from 0.0 to 1.0.

    It doubles with each attempt: an engine that can not load must not use up the
    store's rate, which the others need.
    """
    doubled_s: float = FIRST_RETRY_S * 2.0 ** min(10, attempts - 1)
    return min(LONGEST_RETRY_S, doubled_s) * (0.5 + jitter)


def _room(
    view: SwapView,
    engines: Sequence[TargetView],
    loading: Sequence[TargetView],
    policy: SwapPolicy,
) -> int:
    match policy:
        case AllAtOnce():
            return len(engines)
        case OneByOne():
            return 1 - len(loading)
        case StalenessWeightedSwaps():
            allowed = swaps_at_once(view.service, len(engines), view.parallel_loads)
            return allowed - len(loading)


def _may_be_loading(target: TargetView, view: SwapView, now_s: float) -> bool:
    """Whether a target loads by its own word, or may by an order that is not settled."""
    if target.loading:
        return True
    record = _current_order(target, view)
    return record is not None and not _settled(target, record, now_s)


def _may_be_ordered(target: TargetView, view: SwapView, now_s: float) -> bool:
    if target.version >= view.latest_version or _may_be_loading(target, view, now_s):
        return False
    record = _current_order(target, view)
    return record is None or now_s >= record.retry_at_s


def _current_order(target: TargetView, view: SwapView) -> OrderRecord | None:
    """Return the order that a target may still be working on or have failed.

    An order to an earlier instance at the same address says nothing of this one.
    """
    record = view.orders.get(target.address)
    if record is None or target.version >= view.latest_version:
        return None
    if record.instance != target.instance or record.version != view.latest_version:
        return None
    return record


def _settled(target: TargetView, record: OrderRecord, now_s: float) -> bool:
    """Whether the target is known to load no more because of this order.

    After its answer a report of the target tells. An order whose answer was lost
    may still be on its way, so that a report may come too early to tell.
    """
    match record.outcome:
        case None:
            return False
        case OrderTaken():
            reported = target.reported_at_s > record.answered_at_s
            return reported or now_s - record.answered_at_s > TAKEN_SETTLES_AFTER_S
        case OrderUnknown():
            return now_s - record.answered_at_s > UNKNOWN_SETTLES_AFTER_S
    return True


def _rank(target: TargetView, view: SwapView) -> tuple[bool, int, str]:
    past_bound = view.latest_version - target.version > view.service.staleness_bound
    reported = target.running + target.waiting
    work = max(reported, view.in_flight.get(target.address, 0))
    return (not past_bound, work, target.address)
