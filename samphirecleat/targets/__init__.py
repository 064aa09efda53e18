"""Clients of the targets: engines, plain services and scoring services."""

from ._client import TargetClient
from ._errors import Failed, Lost, NotSent, Refused, TargetError, TargetFailure

__all__ = [
    "Failed",
    "Lost",
    "NotSent",
    "Refused",
    "TargetClient",
    "TargetError",
    "TargetFailure",
]
