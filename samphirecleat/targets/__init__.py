"""HTTP client of the targets: engines, plain services and scoring services."""

from typing import TYPE_CHECKING

from .._lazy_exports import lazy_exports
from ._connection_errors import is_connection_closed
from ._connector import make_connector
from ._errors import Failed, Lost, NotSent, Refused, TargetError, TargetFailure
from ._listening import is_listening
from ._orders import OrderFenced, OrderOutcome, OrderRefused, OrderTaken, OrderUnknown
from ._strict_connection import use_strict_handler

if TYPE_CHECKING:
    from ._client import TargetClient

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
    "is_connection_closed",
    "is_listening",
    "make_connector",
    "use_strict_handler",
]

# Loaded lazily: TargetClient speaks this project's own interface, while the connectors are also
# used for targets with other interfaces.
__getattr__ = lazy_exports(__name__, {"TargetClient": "_client"})
