"""Records the events of a trial."""

import time
from typing import Any, TypedDict


class FaultEvent(TypedDict):
    """One event; ``at_s`` is in seconds since the trial started."""

    fault: str
    at_s: float
    detail: str


class Journal:
    """The events of one trial in chronological order."""

    def __init__(self) -> None:
        """Start the clock of the journal."""
        self._started_at_s = time.monotonic()
        self.events: list[FaultEvent] = []

    def record(self, fault: str, detail: str, **figures: Any) -> None:
        """Append an event; ``figures`` are added to ``detail`` as name=value."""
        at_s = round(time.monotonic() - self._started_at_s, 3)
        figures_text = "".join(f" {name}={value}" for name, value in figures.items())
        self.events.append({"fault": fault, "at_s": at_s, "detail": detail + figures_text})
