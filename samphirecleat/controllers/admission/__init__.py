"""Admission of calls: concurrency windows, routing to targets, and retries."""

from ._crash_watch import BoardServiceView, registration_state, sibling_targets
from ._dispatcher import Dispatcher
from ._limiter import Limiter

__all__ = [
    "BoardServiceView",
    "Dispatcher",
    "Limiter",
    "sibling_targets",
    "registration_state",
]
