"""Clients of the targets: engines, plain services and scoring services."""

from ._client import TargetClient
from ._connector import make_connector
from ._errors import Failed, Lost, NotSent, Refused, TargetError, TargetFailure
from ._orders import OrderFenced, OrderOutcome, OrderRefused, OrderTaken, OrderUnknown
from ._strict_connection import make_strict

__all__ = [
    "Failed",
    "Lost",
    "NotSent",
    "OrderFenced",
    "OrderOutcome",
    "OrderRefused",
    "OrderTaken",
    "OrderUnknown",
    "Refused",
    "TargetClient",
    "TargetError",
    "TargetFailure",
    "make_connector",
    "make_strict",
]
