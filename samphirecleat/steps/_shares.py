"""Fair shares between the trainers of one service."""

from collections.abc import Collection, Mapping


class FairShareScheduler:
    """Weighted fair queueing: the trainer that had least for its share is next.

    What a trainer had is counted in expected tokens over its share. One that
    comes back after a pause starts level with the others: it neither loses
    what it did not use nor holds the others up to catch up.
    """

    def __init__(self) -> None:
        """Start with nothing served."""
        self._served: dict[str, float] = {}
        self._active: frozenset[str] = frozenset()

    def next_trainer(self, waiting: Collection[str]) -> str:
        """Return which of the waiting trainers is next.

        :raises ValueError: when none waits.
        """
        self._level(waiting)
        return min(waiting, key=lambda trainer: (self._served[trainer], trainer))

    def charge(self, trainer: str, tokens: int, shares: Mapping[str, float]) -> None:
        """Record that a run was started; a trainer without a share counts as 1."""
        self._served[trainer] = self._served.get(trainer, 0.0) + tokens / shares.get(trainer, 1.0)

    def retain(self, active: Collection[str]) -> None:
        """Forget the trainers that have no step any more, so that memory is bounded."""
        self._active &= frozenset(active)
        self._served = {t: served for t, served in self._served.items() if t in active}

    def _level(self, waiting: Collection[str]) -> None:
        stayed = [self._served[t] for t in waiting if t in self._active]
        floor = min(stayed, default=max(self._served.values(), default=0.0))
        for trainer in waiting:
            if trainer not in self._active:
                self._served[trainer] = max(self._served.get(trainer, 0.0), floor)
        self._active |= frozenset(waiting)
