"""The positions of a step that still need a run, longest first."""

import heapq
from collections import Counter
from typing import Final

from ._types import StepSpec

FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 5.0
AT_ONCE_S: Final = 0.0


class PositionQueue:
    """Positions to start, longest expected first, then group by group.

    A position whose run failed waits longer each time, so that one that can not
    succeed costs little and holds up no other.
    """

    def __init__(self, spec: StepSpec) -> None:
        """Start empty."""
        self._spec = spec
        self._due: list[tuple[int, int]] = []
        self._delayed: list[tuple[float, int]] = []
        self._due_at_s: dict[int, float] = {}
        self._failures: Counter[int] = Counter()

    def __len__(self) -> int:
        return len(self._due_at_s)

    def add(self, position: int) -> None:
        """Queue a position, once."""
        if position not in self._due_at_s:
            self._due_at_s[position] = AT_ONCE_S
            heapq.heappush(self._due, self._rank(position))

    def add_failed(self, position: int, now_s: float, jitter: float) -> None:
        """Queue a position whose run failed; ``jitter`` is from 0.0 to 1.0."""
        if position in self._due_at_s:
            return
        self._failures[position] += 1
        doubled_s = FIRST_RETRY_S * 2.0 ** min(10, self._failures[position] - 1)
        wait_s = min(LONGEST_RETRY_S, doubled_s) * (0.5 + jitter)
        self._due_at_s[position] = now_s + wait_s
        heapq.heappush(self._delayed, (now_s + wait_s, position))

    def remove(self, position: int) -> None:
        """Take a position out; it is skipped when its turn comes."""
        self._due_at_s.pop(position, None)

    def first(self, now_s: float) -> int | None:
        """Return the position whose turn it is, or None when none is due."""
        while self._delayed and self._delayed[0][0] <= now_s:
            due_at_s, position = heapq.heappop(self._delayed)
            # An entry of a position that was taken out since counts no more.
            if self._due_at_s.get(position) == due_at_s:
                self._due_at_s[position] = AT_ONCE_S
                heapq.heappush(self._due, self._rank(position))
        while self._due:
            position = self._due[0][1]
            if self._due_at_s.get(position) == AT_ONCE_S:
                return position
            heapq.heappop(self._due)
        return None

    def _rank(self, position: int) -> tuple[int, int]:
        return -self._spec.expected_tokens_of(position), position
