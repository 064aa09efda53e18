"""Decides which engines of a service load the newest weights next.

A version counts as loaded on an engine only when the engine reports it. The remembered
state of an order only determines when to check or order again.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from ...blackboard import TargetView
from ...config import Service
from ...targets import OrderOutcome, OrderTaken, OrderUnknown

UNKNOWN_ORDER_TIMEOUT_S: Final = 3.0
ACCEPTED_ORDER_TIMEOUT_S: Final = 10.0
MIN_RETRY_DELAY_S: Final = 0.5
MAX_RETRY_DELAY_S: Final = 30.0


class OrderRecord(NamedTuple):
    """The latest load order that this coordinator sent to one target.

    ``outcome`` is None until the order is answered, at ``answered_at_s``. ``attempts``
    counts the orders of this version to this instance, and ``retry_at_s`` is the earliest
    time of the next one.
    """

    version: int
    instance: str
    attempts: int
    ordered_at_s: float
    outcome: OrderOutcome | None = None
    answered_at_s: float = math.inf
    retry_at_s: float = math.inf


class SwapView(NamedTuple):
    """The inputs to the next load orders of one service.

    ``in_flight`` counts this node's own calls by target address; ``orders`` holds the
    latest order by target address.
    """

    service: Service
    targets: Sequence[TargetView]
    in_flight: Mapping[str, int]
    latest_version: int
    parallel_loads: int
    orders: Mapping[str, OrderRecord]


class LoadOrder(NamedTuple):
    """An order to one target to load a version."""

    target: TargetView
    version: int


@dataclass(frozen=True)
class StalenessWeightedSwaps:
    """Load on as many engines at once as the service's ``staleness_weight`` allows."""


@dataclass(frozen=True)
class OneByOne:
    """Baseline: load on one engine at a time."""


@dataclass(frozen=True)
class AllAtOnce:
    """Baseline: load on all engines at once, ignoring the limits of the service and the store."""


SwapPolicy = StalenessWeightedSwaps | OneByOne | AllAtOnce
DEFAULT_SWAP_POLICY: Final = StalenessWeightedSwaps()


def decide_swaps(
    view: SwapView, now_s: float, policy: SwapPolicy = DEFAULT_SWAP_POLICY
) -> Sequence[LoadOrder]:
    """Return the load orders to send now.

    Engines whose samples exceed the staleness bound come first, since trainers can no
    longer use them; then those with the fewest running and waiting requests.
    """
    engines = [target for target in view.targets if target.reachable and not target.leaving]
    loading = [target for target in engines if _may_be_loading(target, view, now_s)]
    waiting = [target for target in engines if _can_be_ordered(target, view, now_s)]
    free_slots = _free_swap_slots(view, engines, loading, policy)
    waiting.sort(key=lambda target: _priority_key(target, view))
    return [LoadOrder(target, view.latest_version) for target in waiting[: max(0, free_slots)]]


def max_concurrent_swaps(service: Service, engine_count: int, parallel_loads: int) -> int:
    """Return how many engines of a service may load at the same time.

    An engine takes no requests while it loads. With a staleness weight of 1.0 a service
    uses the whole of ``max_swapping_share``, within the parallel loads of the store; with
    0.0, which favours the trainers' idle time, it loads on one engine at a time. All
    engines load at once only if the share is 1.0 or the service has a single engine.
    """
    max_swaps = max(1, math.floor(engine_count * service.max_swapping_share + 1e-9))
    desired_swaps = 1.0 + service.staleness_weight * (max_swaps - 1)
    return max(1, min(parallel_loads, math.floor(desired_swaps + 0.5)))


def retry_delay_s(attempts: int, jitter: float) -> float:
    """Return the delay in seconds after a failed load; ``jitter`` is from 0.0 to 1.0.

    The delay doubles with each attempt, so that an engine that cannot load does not use up
    the store's capacity, which the other engines need.
    """
    doubled_s: float = MIN_RETRY_DELAY_S * 2.0 ** min(10, attempts - 1)
    return min(MAX_RETRY_DELAY_S, doubled_s) * (0.5 + jitter)


def _free_swap_slots(
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
            max_swaps = max_concurrent_swaps(view.service, len(engines), view.parallel_loads)
            return max_swaps - len(loading)


def _may_be_loading(target: TargetView, view: SwapView, now_s: float) -> bool:
    """Return whether a target reports that it is loading, or has an order that may be pending."""
    if target.loading:
        return True
    record = _current_order(target, view)
    return record is not None and not _is_settled(target, record, now_s)


def _can_be_ordered(target: TargetView, view: SwapView, now_s: float) -> bool:
    if target.version >= view.latest_version or _may_be_loading(target, view, now_s):
        return False
    record = _current_order(target, view)
    return record is None or now_s >= record.retry_at_s


def _current_order(target: TargetView, view: SwapView) -> OrderRecord | None:
    """Return the order of the latest version to this instance of a target, or None.

    None is also returned once the target runs that version. An order to an earlier instance
    at the same address does not apply to the current instance.
    """
    record = view.orders.get(target.address)
    if record is None or target.version >= view.latest_version:
        return None
    if record.instance != target.instance or record.version != view.latest_version:
        return None
    return record


def _is_settled(target: TargetView, record: OrderRecord, now_s: float) -> bool:
    """Return whether an order can no longer cause the target to load.

    After an accepted order, the target's next report shows whether it is loading. An order
    whose answer was lost may still be in transit, so a report may precede its arrival.
    """
    match record.outcome:
        case None:
            return False
        case OrderTaken():
            reported = target.reported_at_s > record.answered_at_s
            return reported or now_s - record.answered_at_s > ACCEPTED_ORDER_TIMEOUT_S
        case OrderUnknown():
            return now_s - record.answered_at_s > UNKNOWN_ORDER_TIMEOUT_S
    return True


def _priority_key(target: TargetView, view: SwapView) -> tuple[bool, int, str]:
    past_bound = view.latest_version - target.version > view.service.staleness_bound
    reported = target.running + target.waiting
    work = max(reported, view.in_flight.get(target.address, 0))
    return (not past_bound, work, target.address)
