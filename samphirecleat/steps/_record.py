"""The trainer's own record of one step: it alone decides what counts as delivered."""

from collections.abc import Sequence
from typing import Final

from ._types import Pull, PullReply, Sample, is_fresh

NO_PULL: Final = 0


class DeliveryRecord:
    """What a trainer holds of a step, and the pull that it waits for.

    Each position is delivered once, whichever nodes work on the step and
    whatever answers come late, twice or out of order.
    """

    def __init__(
        self, client_id: str, size: int, staleness_bound: int, held: frozenset[int] = frozenset()
    ) -> None:
        """Begin with the positions that the trainer already holds."""
        self.client_id = client_id
        self.size = size
        self.staleness_bound = staleness_bound
        self.held = set(held)
        self._number = 0
        self._awaited = NO_PULL
        self._version = 0

    @property
    def complete(self) -> bool:
        """Whether every sample of the step is held."""
        return len(self.held) == self.size

    def next_pull(self, version: int, wait_s: float, limit: int) -> Pull:
        """Return the next pull; answers to earlier ones count no more from here on."""
        self._number += 1
        self._awaited = self._number
        self._version = version
        return Pull(self._number, version, frozenset(self.held), wait_s, limit, self.client_id)

    def accept(self, reply: PullReply, version_now: int) -> Sequence[Sample]:
        """Return the samples that this answer delivers, and hold them from now on.

        An answer to any but the latest pull is dropped: without that, one that
        was overtaken could bring a sample that is past the bound by now. A
        sample is checked against the version that the pull named and the one
        that the trainer has reached since; one past the bound is not held, so
        that the next pull asks for it again.
        """
        if reply.number != self._awaited:
            return ()
        self._awaited = NO_PULL
        version = max(self._version, version_now)
        delivered = []
        for sample in reply.samples:
            known = 0 <= sample.position < self.size and sample.position not in self.held
            if known and is_fresh(sample, version, self.staleness_bound):
                self.held.add(sample.position)
                delivered.append(sample)
        return delivered
