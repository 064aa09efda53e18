"""Which calls start, where, and when again: windows, routing, retries."""

from ._dispatcher import Dispatcher
from ._limiter import Limiter

__all__ = [
    "Dispatcher",
    "Limiter",
]
