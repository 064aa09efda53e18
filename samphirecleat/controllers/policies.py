"""The policies that a node is built with, and the baselines that benches measure against.

Each family is a set of frozen data classes; the decision functions of
:mod:`~samphirecleat.controllers.admission` match on them.
"""

from dataclasses import dataclass
from typing import NamedTuple

from ..steps import DEFAULT_COPY_POLICY, CopyPolicy
from .weights import DEFAULT_SWAP_POLICY, SwapPolicy


@dataclass(frozen=True)
class RandomTarget:
    """Baseline: any usable target with equal chance."""


@dataclass(frozen=True)
class RoundRobin:
    """Baseline: the usable targets in turn, as this node counts."""


@dataclass(frozen=True)
class LeastReported:
    """Baseline: the target with the lowest last report; nodes that share reports herd."""


@dataclass(frozen=True)
class TwoChoices:
    """The better of two targets drawn at random, without regard to prefixes."""


@dataclass(frozen=True)
class PrefixAffinity:
    """The targets that rank first for the prompt's prefix, while their load is bounded.

    A target is passed over when its expected load exceeds ``load_bound`` times
    the mean of the service, plus one call. ``prefix_length`` is in characters.
    """

    prefix_length: int = 32
    load_bound: float = 1.25


RoutingPolicy = RandomTarget | RoundRobin | LeastReported | TwoChoices | PrefixAffinity


@dataclass(frozen=True)
class NoLimits:
    """Baseline: everything is admitted at once."""


@dataclass(frozen=True)
class StaticShare:
    """Baseline: a fixed share of the service's slots for each node, no classes."""

    slack: float = 1.5


@dataclass(frozen=True)
class AdaptiveWindow:
    """A window for each class that follows the reported occupancy of the targets.

    Occupancy is running plus waiting calls per slot. Trainers grow while it is
    below ``trainer_occupancy`` and give way above it; callers give way only
    above ``caller_occupancy``, and never below ``caller_slack`` times this node's
    even share of the slots. Windows grow by their part of what is free and shrink
    to ``decrease`` of themselves.
    """

    trainer_occupancy: float = 0.9
    caller_occupancy: float = 1.25
    caller_slack: float = 1.1
    decrease: float = 0.85


LimitPolicy = NoLimits | StaticShare | AdaptiveWindow


class RetryLimit(NamedTuple):
    """How many retries a node may send for a service, in retries.

    Each first attempt earns ``ratio`` of a retry, up to ``cap`` saved ones. The
    cap is what all nodes together may send on top in the first moment of a
    fault, so it is kept small: it counts once for each node.
    """

    ratio: float = 0.2
    cap: float = 3.0


class Policies(NamedTuple):
    """The policies of one node; the defaults are what the benches favoured."""

    routing: RoutingPolicy = PrefixAffinity()
    limits: LimitPolicy = AdaptiveWindow()
    retries: RetryLimit = RetryLimit()
    copies: CopyPolicy = DEFAULT_COPY_POLICY
    swaps: SwapPolicy = DEFAULT_SWAP_POLICY
