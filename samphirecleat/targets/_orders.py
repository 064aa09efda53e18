"""The outcomes of an order to a target, distinguished by what is known about its effect."""

from dataclasses import dataclass


@dataclass(frozen=True)
class OrderTaken:
    """The target accepted the order; only a later report shows the effect."""


@dataclass(frozen=True)
class OrderFenced:
    """The target rejected the fencing number of the order: another node holds the lease."""


@dataclass(frozen=True)
class OrderRefused:
    """The target did not accept the order, or no byte of it was sent."""

    detail: str


@dataclass(frozen=True)
class OrderUnknown:
    """The order was sent without a response; it may have taken effect."""

    detail: str


OrderOutcome = OrderTaken | OrderFenced | OrderRefused | OrderUnknown
