"""Weighted fair queueing between the trainers of one service."""

from collections.abc import Collection, Mapping


class FairShareScheduler:
    """Picks the trainer that has received the least service relative to its share.

    Service is measured in expected tokens divided by the share. A trainer that was
    idle resumes at the level of the active ones, or at its own if that is higher: it
    gets no credit for the idle time, so the others are not delayed until it has
    caught up.
    """

    def __init__(self) -> None:
        """Create a scheduler that has not served any trainer."""
        self._served: dict[str, float] = {}
        self._active: frozenset[str] = frozenset()

    def next_trainer(self, waiting: Collection[str]) -> str:
        """Return the waiting trainer to serve next; ties go to the lower name.

        :raises ValueError: if ``waiting`` is empty.
        """
        self._level_idle_trainers(waiting)
        return min(waiting, key=lambda trainer: (self._served[trainer], trainer))

    def charge(self, trainer: str, tokens: int, shares: Mapping[str, float]) -> None:
        """Charge a started run to its trainer; the default share is 1."""
        self._served[trainer] = self._served.get(trainer, 0.0) + tokens / shares.get(trainer, 1.0)

    def retain(self, active: Collection[str]) -> None:
        """Forget all trainers but the ``active`` ones, to bound memory."""
        self._active &= frozenset(active)
        self._served = {t: served for t, served in self._served.items() if t in active}

    def _level_idle_trainers(self, waiting: Collection[str]) -> None:
        active_levels = [self._served[t] for t in waiting if t in self._active]
        floor = min(active_levels, default=max(self._served.values(), default=0.0))
        for trainer in waiting:
            if trainer not in self._active:
                self._served[trainer] = max(self._served.get(trainer, 0.0), floor)
        self._active |= frozenset(waiting)
