"""Which calls start, where, and when again: windows, routing, retries."""

from ._crash_watch import others_beside, registration_of
from ._dispatcher import Dispatcher
from ._limiter import Limiter

__all__ = [
    "Dispatcher",
    "Limiter",
    "others_beside",
    "registration_of",
]
