"""Queue of the positions of a step that need a run."""

import heapq
from collections import Counter
from typing import Final

from ._types import StepSpec

MIN_RETRY_DELAY_S: Final = 0.1
MAX_RETRY_DELAY_S: Final = 5.0
DUE_NOW_S: Final = 0.0


class PositionQueue:
    """Priority queue of positions, longest expected sample first, then by position.

    A position whose run failed is delayed with exponential backoff, so that one
    that cannot succeed costs little and does not delay the others.
    """

    def __init__(self, spec: StepSpec) -> None:
        """Create an empty queue."""
        self._spec = spec
        self._due: list[tuple[int, int]] = []
        self._delayed: list[tuple[float, int]] = []
        self._due_at_s: dict[int, float] = {}
        self._failures: Counter[int] = Counter()
        self.tokens = 0
        """Expected tokens of all queued positions."""

    def __len__(self) -> int:
        return len(self._due_at_s)

    def add(self, position: int) -> None:
        """Queue a position that is due now; no effect if it is queued already."""
        if position not in self._due_at_s:
            self._insert(position, DUE_NOW_S)
            heapq.heappush(self._due, self._rank(position))

    def add_failed(self, position: int, now_s: float, jitter: float) -> None:
        """Queue a position whose run failed, due after a delay.

        The delay doubles with each failure up to ``MAX_RETRY_DELAY_S``, and is then
        scaled by a factor of 0.5 + ``jitter``, where ``jitter`` is from 0.0 to 1.0.
        No effect if the position is queued already.
        """
        if position in self._due_at_s:
            return
        self._failures[position] += 1
        backoff_s = MIN_RETRY_DELAY_S * 2.0 ** min(10, self._failures[position] - 1)
        delay_s = min(MAX_RETRY_DELAY_S, backoff_s) * (0.5 + jitter)
        self._insert(position, now_s + delay_s)
        heapq.heappush(self._delayed, (now_s + delay_s, position))

    def remove(self, position: int) -> None:
        """Remove a position if it is queued.

        Its heap entry stays and is skipped by :meth:`first`.
        """
        if self._due_at_s.pop(position, None) is not None:
            self.tokens -= self._spec.expected_tokens_of(position)

    def first(self, now_s: float) -> int | None:
        """Return the first position that is due, without removing it, or None."""
        while self._delayed and self._delayed[0][0] <= now_s:
            due_at_s, position = heapq.heappop(self._delayed)
            # Skips entries of positions that were removed or queued again since.
            if self._due_at_s.get(position) == due_at_s:
                self._due_at_s[position] = DUE_NOW_S
                heapq.heappush(self._due, self._rank(position))
        while self._due:
            position = self._due[0][1]
            if self._due_at_s.get(position) == DUE_NOW_S:
                return position
            heapq.heappop(self._due)
        return None

    def _insert(self, position: int, due_at_s: float) -> None:
        self._due_at_s[position] = due_at_s
        self.tokens += self._spec.expected_tokens_of(position)

    def _rank(self, position: int) -> tuple[int, int]:
        return -self._spec.expected_tokens_of(position), position
