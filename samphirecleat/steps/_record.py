"""Exactly-once delivery of a step's samples, on the side of the trainer."""

from collections.abc import Sequence
from typing import Final

from ._types import Pull, PullReply, Sample, is_fresh

NO_PULL: Final = 0


class DeliveryRecord:
    """A trainer's record of the samples it holds of one step.

    This record alone decides which samples count as delivered. Each position is
    delivered once, whichever nodes execute the step and whether replies are late,
    duplicated or out of order.
    """

    def __init__(
        self, client_id: str, size: int, staleness_bound: int, held: frozenset[int] = frozenset()
    ) -> None:
        """Create a record with the positions that the trainer already holds."""
        self.client_id = client_id
        self.size = size
        self.staleness_bound = staleness_bound
        self.held = set(held)
        self._number = 0
        self._pending_number = NO_PULL
        self._pull_version = 0

    @property
    def complete(self) -> bool:
        """Whether the trainer holds every sample of the step."""
        return len(self.held) == self.size

    def next_pull(self, version: int, wait_s: float, limit: int) -> Pull:
        """Return the next pull; replies to earlier pulls are ignored from now on."""
        self._number += 1
        self._pending_number = self._number
        self._pull_version = version
        return Pull(self._number, version, frozenset(self.held), wait_s, limit, self.client_id)

    def accept(self, reply: PullReply, version_now: int) -> Sequence[Sample]:
        """Record a reply's samples as held and return those that it delivers.

        Replies to any pull but the latest are dropped: a reply that was overtaken
        could contain a sample that exceeds the staleness bound by now. Each sample
        is checked against the newer of the version that the pull named and the one
        that the trainer has reached since. A sample that exceeds the bound is not
        held, so that the next pull requests it again.
        """
        if reply.number != self._pending_number:
            return ()
        self._pending_number = NO_PULL
        version = max(self._pull_version, version_now)
        delivered = []
        for sample in reply.samples:
            is_missing = 0 <= sample.position < self.size and sample.position not in self.held
            if is_missing and is_fresh(sample, version, self.staleness_bound):
                self.held.add(sample.position)
                delivered.append(sample)
        return delivered
