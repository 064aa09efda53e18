"""Admission of calls: concurrency windows, routing to targets, and retries."""

from ._crash_watch import other_usable_targets, registration_of
from ._dispatcher import Dispatcher
from ._limiter import Limiter

__all__ = [
    "Dispatcher",
    "Limiter",
    "other_usable_targets",
    "registration_of",
]
