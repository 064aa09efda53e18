"""The waiting calls of one rank of a service's queue, by workspace and by the time they are due.

Load addressed: more than a thousand calls a second arrive at a queue of a few hundred calls, and a
slow target may serve only those that still have much time. Both the start of a call and the
admission of another one must not look at every waiting call.
"""

from bisect import bisect_left, insort
from collections.abc import Callable, Collection, Iterator
from typing import NamedTuple

from ._recent_starts import RecentStarts


class QueuedCall(NamedTuple):
    """A call that waits, or asks to wait, for a target of a service.

    ``key`` grows with each call and so keeps the order of arrival. ``objective_end_s`` is the end
    of the latency objective. ``for_trainer`` is its work class, ``priority`` 0 the highest.
    ``excluded`` are targets to avoid while there are others. A ``returning`` call has been refused
    before or has no time to retry. A ``repeated`` one has had an attempt that failed.
    """

    key: int
    arrival_s: float
    deadline_s: float
    objective_end_s: float
    for_trainer: bool
    priority: int
    workspace: str
    body_bytes: int
    excluded: Collection[str] = ()
    returning: bool = False
    repeated: bool = False


class _Waiting(NamedTuple):
    due_s: float
    key: int
    entry: QueuedCall


def _due(waiting: _Waiting) -> float:
    return waiting.due_s


def _order(waiting: _Waiting) -> tuple[float, int]:
    return waiting.due_s, waiting.key


class WaitingCalls:
    """Calls of one rank; of each workspace, the call that is due first comes first."""

    def __init__(self, due_s: Callable[[QueuedCall], float]) -> None:
        """Order by ``due_s``, the time by which a call is to be answered."""
        self._due_s = due_s
        self._by_workspace: dict[str, list[_Waiting]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of calls."""
        return self._count

    def __iter__(self) -> Iterator[QueuedCall]:
        """Iterate over the calls in the order in which they are due."""
        calls = sorted(w for waiting in self._by_workspace.values() for w in waiting)
        return iter([w.entry for w in calls])

    @property
    def workspaces(self) -> int:
        """Number of workspaces with waiting calls."""
        return len(self._by_workspace)

    def count_of(self, workspace: str) -> int:
        """Return the number of waiting calls of a workspace."""
        return len(self._by_workspace.get(workspace, ()))

    def add(self, entry: QueuedCall) -> None:
        """Add a call."""
        waiting = self._by_workspace.setdefault(entry.workspace, [])
        insort(waiting, _Waiting(self._due_s(entry), entry.key, entry))
        self._count += 1

    def remove(self, entry: QueuedCall) -> bool:
        """Remove a call; return False if it isn't here."""
        waiting = self._by_workspace.get(entry.workspace, [])
        index = bisect_left(waiting, (self._due_s(entry), entry.key), key=_order)
        if index >= len(waiting) or waiting[index].key != entry.key:
            return False
        del waiting[index]
        self._count -= 1
        if not waiting:
            del self._by_workspace[entry.workspace]
        return True

    def first(
        self, due_from_s: float, starts: RecentStarts, fits: Callable[[QueuedCall], bool]
    ) -> QueuedCall | None:
        """Return the next call that is due at ``due_from_s`` or later and for which ``fits`` holds.

        It belongs to the workspace with the fewest recent starts and is due first of its calls.
        """
        best: tuple[float, _Waiting] | None = None
        for workspace, waiting in self._by_workspace.items():
            if waiting[-1].due_s < due_from_s:
                continue
            rank = starts.rank(workspace)
            if best is not None and rank > best[0]:
                continue
            for index in range(bisect_left(waiting, due_from_s, key=_due), len(waiting)):
                candidate = waiting[index]
                if fits(candidate.entry):
                    if best is None or (rank, _order(candidate)) < (best[0], _order(best[1])):
                        best = rank, candidate
                    break
        return best[1].entry if best is not None else None

    def take_due_before(self, time_s: float) -> list[QueuedCall]:
        """Remove and return the calls that are due before a time."""
        taken = []
        for workspace, waiting in list(self._by_workspace.items()):
            if waiting[0].due_s >= time_s:
                continue
            index = bisect_left(waiting, time_s, key=_due)
            taken += [w.entry for w in waiting[:index]]
            del waiting[:index]
            if not waiting:
                del self._by_workspace[workspace]
        self._count -= len(taken)
        return taken

    def last_of_largest(self) -> QueuedCall:
        """Return the call due last of the workspace with the most waiting calls."""
        return max(self._by_workspace.values(), key=len)[-1].entry
