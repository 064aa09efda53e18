"""Counts the calls that each workspace has started recently.

Load addressed: a few large workspaces send most of the calls of a service with 83 workspaces. With
one queue for all, the calls of the small ones would wait behind those of the large ones.
"""

import math
from typing import Final

# Time in which a start's weight falls to 1/e. Over this time the workspaces get equal shares.
MEMORY_S: Final = 2.0
# Weights grow by e per ``MEMORY_S``; they are scaled down long before they exceed a float's range.
RESCALE_EXPONENT: Final = 50.0
MIN_COUNT: Final = 0.001


class RecentStarts:
    """Starts by workspace, older ones counting less.

    New starts are given larger weights, instead of reducing the old ones, so that counts can be
    compared without being brought up to date.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._weights: dict[str, float] = {}
        self._base_s = 0.0

    def record(self, workspace: str, now_s: float) -> None:
        """Count a start."""
        if now_s - self._base_s > RESCALE_EXPONENT * MEMORY_S:
            self._rescale(now_s)
        weight = math.exp((now_s - self._base_s) / MEMORY_S)
        self._weights[workspace] = self._weights.get(workspace, 0.0) + weight

    def undo(self, workspace: str, now_s: float) -> None:
        """Take back the latest start of a workspace, whose call did not run."""
        weight = math.exp((now_s - self._base_s) / MEMORY_S)
        self._weights[workspace] = max(0.0, self._weights.get(workspace, 0.0) - weight)

    def rank(self, workspace: str) -> float:
        """Return a value that is smaller for workspaces with fewer recent starts."""
        return self._weights.get(workspace, 0.0)

    def _rescale(self, now_s: float) -> None:
        factor = math.exp(max(-700.0, (self._base_s - now_s) / MEMORY_S))
        self._base_s = now_s
        self._weights = {
            workspace: weight * factor
            for workspace, weight in self._weights.items()
            if weight * factor > MIN_COUNT
        }
