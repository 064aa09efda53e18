"""Writes down what a trial brought about, and when."""

import time
from typing import Any, TypedDict


class FaultEvent(TypedDict):
    """One thing that was brought about, in seconds from the trial's start."""

    fault: str
    at_s: float
    detail: str


class Journal:
    """The events of one trial, in the order in which they came about."""

    def __init__(self) -> None:
        """Count time from now."""
        self._started_at_s = time.monotonic()
        self.events: list[FaultEvent] = []

    def note(self, fault: str, detail: str, **figures: Any) -> None:
        """Write down one event."""
        at_s = round(time.monotonic() - self._started_at_s, 3)
        more = "".join(f" {name}={value}" for name, value in figures.items())
        self.events.append({"fault": fault, "at_s": at_s, "detail": detail + more})
