"""The engines of one plan, ranked by how well they suit the next item.

Load pattern: some hundred items wait for some ten to some hundred engines, up to 200 times a
second. The engines are kept sorted, and an item looks only at the first ones that it fits. Faster
engines rank first, in coarse classes, so that engines of about the same speed share the load.
"""

from bisect import insort
from collections.abc import Mapping, Sequence, Set
from typing import Final, NamedTuple

from ..serving import DEFAULT_PRIORITY

# Run counts are compared in steps of this size; engines within one step count as equally busy.
RUN_COUNT_STEP: Final = 2
# An item that no engine had memory for takes a free slot after this long, whatever memory texts are
# expected to need. If they do need it, the engine preempts its newest run for a while, which costs
# far less than a slot that stays empty.
MAX_MEMORY_WAIT_S: Final = 1.5
# Share of the slots of engines faster than the median that short texts leave to long ones.
RESERVED_SHARE: Final = 0.25


class PendingItem(NamedTuple):
    """An item that waits for a slot and is due to be listed within ``due_in_s``.

    ``expected_tokens`` are still to be generated; the engine processes ``context_tokens`` before
    that. ``priority`` is the rank of its workspace, 0 being the highest. ``memory_wait_s`` is
    the time since the item was first left without a free slot only because engines lacked memory,
    0.0 if it never was.
    """

    step_id: str
    item_id: str
    group: str
    due_in_s: float
    carried: bool
    expected_tokens: int
    context_tokens: int
    min_version: int
    model: str
    priority: int = DEFAULT_PRIORITY
    memory_wait_s: float = 0.0


class EngineView(NamedTuple):
    """An engine as the runner sees it.

    ``slowness`` is the ratio of its lasting event interval to that of the median engine: below 1.0
    for a faster one, and exactly 1.0 for one of about the same speed. ``warm`` tells whether an
    idle connection to the engine is open. ``versions`` contains the models that are not being
    loaded.
    """

    instance: str
    versions: Mapping[str, int]
    slots: int
    memory_tokens: int
    running: int
    planned_tokens: int
    slowness: float
    accepts: bool
    groups: Set[str]
    warm: bool = False


class _RankedEngine:
    """An engine in the course of a plan."""

    def __init__(self, view: EngineView, number: int) -> None:
        self.view = view
        self.number = number
        self.running = view.running
        self.planned_tokens = view.planned_tokens
        self.new_groups: set[str] = set()
        self.pace_class = round(view.slowness * 2.0)
        reserved = int(view.slots * RESERVED_SHARE) if view.slowness < 1.0 else 0
        self.unreserved_slots = view.slots - reserved
        self.key = self._key()

    def add_run(self, group: str, tokens: int) -> None:
        self.running += 1
        self.planned_tokens += tokens
        self.new_groups.add(group)
        self.key = self._key()

    def has_prompt(self, group: str) -> bool:
        return group in self.new_groups or group in self.view.groups

    def fits(self, item: PendingItem, tokens: int) -> bool:
        """Whether an engine with a free slot may run the item and has the memory for it."""
        if not self.has_version(item):
            return False
        if self.running == 0 or item.memory_wait_s >= MAX_MEMORY_WAIT_S:
            return True
        return tokens <= self.view.memory_tokens - self.planned_tokens

    def has_version(self, item: PendingItem) -> bool:
        """Whether the engine has the model of an item at a version that its step allows."""
        return self.view.versions.get(item.model, -1) >= item.min_version

    def _key(self) -> tuple[int, int, bool, int]:
        # Speed first, in coarse steps. Then few concurrent runs, since each slows the others a
        # little. Then an idle connection, since with more engines than runs every run would open
        # a new one.
        running = self.running // RUN_COUNT_STEP
        return (self.pace_class, running, not self.view.warm, self.number)


class EngineRanking:
    """The engines with a free slot, best first.

    ``slowest`` is the slowness of the slowest of them, at least 1.0.
    """

    def __init__(self, engines: Sequence[EngineView]) -> None:
        """Rank the engines that accept items."""
        ranked = (_RankedEngine(view, number) for number, view in enumerate(engines))
        self._open = [e for e in ranked if e.view.accepts and e.running < e.view.slots]
        self._open.sort(key=_rank)
        self._unfit: set[tuple[str, int]] = set()
        self.slowest = max([1.0, *(engine.view.slowness for engine in self._open)])

    @property
    def is_full(self) -> bool:
        """Whether no engine has a free slot."""
        return not self._open

    def take_slot(
        self, item: PendingItem, tokens: int, *, keeps_reserve: bool, only: str = ""
    ) -> str | None:
        """Take a slot and ``tokens`` of memory for an item; return its engine, None if none fits.

        With ``keeps_reserve`` the reserved slots of fast engines are taken only if no other engine
        fits. If ``only`` is set, no other engine than that is taken.
        """
        if (item.model, item.min_version) in self._unfit:
            return None
        if only:
            found = (e for e in self._open if e.view.instance == only and e.fits(item, tokens))
            best = next(found, None)
        else:
            best = self._first_fitting(item, tokens, keeps_reserve=keeps_reserve)
            if best is None and keeps_reserve:
                best = self._first_fitting(item, tokens, keeps_reserve=False)
        if best is None:
            self._record_unfit(item)
            return None
        self._open.remove(best)
        best.add_run(item.group, tokens)
        if best.running < best.view.slots:
            insort(self._open, best, key=_rank)
        return best.view.instance

    def lacks_only_memory(self, item: PendingItem, only: str = "") -> bool:
        """Whether an engine with a free slot would take an item if it needed less memory.

        The item was not given a slot; ``only`` is the engine that it may run on, "" for any.
        """
        if (item.model, item.min_version) in self._unfit:
            return False
        return not only or any(
            engine.view.instance == only and engine.has_version(item) for engine in self._open
        )

    def _first_fitting(
        self, item: PendingItem, tokens: int, *, keeps_reserve: bool
    ) -> _RankedEngine | None:
        """Return the best engine; among equals one that already processed the shared prompt."""
        best: _RankedEngine | None = None
        for engine in self._open:
            if best is not None and engine.key[:3] != best.key[:3]:
                break
            if keeps_reserve and engine.running >= engine.unreserved_slots:
                continue
            if not engine.fits(item, tokens):
                continue
            if engine.has_prompt(item.group):
                return engine
            best = best or engine
        return best

    def _record_unfit(self, item: PendingItem) -> None:
        """Record that no engine with a free slot has the item's model at its version."""
        versions = (engine.view.versions.get(item.model, -1) for engine in self._open)
        if max(versions, default=-1) < item.min_version:
            self._unfit.add((item.model, item.min_version))


def _rank(engine: _RankedEngine) -> tuple[int, int, bool, int]:
    return engine.key
