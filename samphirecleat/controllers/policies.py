"""The policies of a node, including the baselines that the benches compare against.

Each family is a set of frozen data classes; the decision functions of
:mod:`~samphirecleat.controllers.admission` match on them.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ..steps import DEFAULT_COPY_POLICY, CopyPolicy
from .weights import DEFAULT_SWAP_POLICY, SwapPolicy


@dataclass(frozen=True)
class RandomTarget:
    """Baseline: a usable target chosen uniformly at random."""


@dataclass(frozen=True)
class RoundRobin:
    """Baseline: the usable targets in rotation, counted per node."""


@dataclass(frozen=True)
class LeastReported:
    """Baseline: the target with the lowest reported load; nodes with the same reports herd."""


@dataclass(frozen=True)
class TwoChoices:
    """The less loaded of two random targets, regardless of prompt prefixes."""


@dataclass(frozen=True)
class PrefixAffinity:
    """The highest-ranked target for the prompt's prefix whose load is within a bound.

    A target is skipped if its expected load exceeds ``load_bound`` times the mean of the
    service, plus one call. ``prefix_length`` is in characters.
    """

    prefix_length: int = 32
    load_bound: float = 1.25


RoutingPolicy = RandomTarget | RoundRobin | LeastReported | TwoChoices | PrefixAffinity


@dataclass(frozen=True)
class NoLimits:
    """Baseline: every call is admitted immediately."""


@dataclass(frozen=True)
class StaticShare:
    """Baseline: each node gets a fixed share of the slots, for callers and trainers alike."""

    slack: float = 1.5


@dataclass(frozen=True)
class AdaptiveWindow:
    """A window per class that follows the reported occupancy of the targets.

    Occupancy is running plus waiting calls per slot. The trainers' window grows while
    occupancy is below ``trainer_occupancy`` and shrinks above it; the callers' window
    shrinks only above ``caller_occupancy``, and never below ``caller_slack`` times this
    node's even share of the slots. A window grows by its part of the free slots and
    shrinks by the factor ``decrease``.
    """

    trainer_occupancy: float = 0.9
    caller_occupancy: float = 1.25
    caller_slack: float = 1.1
    decrease: float = 0.85


LimitPolicy = NoLimits | StaticShare | AdaptiveWindow


class RetryLimit(NamedTuple):
    """The retry budget of a node for one service, in retries.

    Each first attempt earns ``ratio`` of a retry, up to a balance of ``cap``. All nodes
    together may send ``cap`` retries each in the first moment of a fault, so the cap is
    kept small.
    """

    ratio: float = 0.2
    cap: float = 3.0


class Policies(NamedTuple):
    """The policies of one node."""

    routing: RoutingPolicy = PrefixAffinity()
    limits: LimitPolicy = AdaptiveWindow()
    retries: RetryLimit = RetryLimit()
    copies: CopyPolicy = DEFAULT_COPY_POLICY
    swaps: SwapPolicy = DEFAULT_SWAP_POLICY
