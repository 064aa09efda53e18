"""Identifies one start of a target."""

from typing import NamedTuple


class TargetStart(NamedTuple):
    """One start of a target; the time distinguishes two starts of one instance."""

    instance: str
    address: str
    started_at_ms: int

    @property
    def name(self) -> str:
        """Name of this start in logs and in reports to other nodes."""
        return f"{self.instance}@{self.started_at_ms}"
