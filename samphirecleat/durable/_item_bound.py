"""Keeps an item that ends the engines that run it from ending one after the other.

Load pattern answered: an item's prompt crashes each engine that begins to run it. It may not be
given up for that, and a run that breaks off is otherwise made anew at the next engine at once; a
step would take all engines down, with every other run on them.
"""

from collections.abc import Collection
from typing import Final

from ..crashes import CrashGuard, request_digest
from ..serving import target_start
from ._item_decisions import ItemName
from ._item_run import ItemRun
from ._ports import GenerationError

# An item that ends its engines is run once in this time. It is still owed to its step, so it may
# not wait for long.
BARRED_REST_S: Final = 3.5


class ItemBound:
    """What one runner knows of items under which engines ended."""

    def __init__(self, guard: CrashGuard | None) -> None:
        """Share evidence with ``guard``; without one, no item rests for it."""
        self._guard = guard
        self._cut: dict[ItemName, tuple[bytes, float]] = {}

    async def cut(self, run: ItemRun, begun_s: float, error: GenerationError, now_s: float) -> None:
        """Take a run that broke off, which may have ended with its engine."""
        if self._guard is None or not error.cut:
            return
        mark = _mark_of(run)
        self._cut[run.name] = (mark, now_s)
        item_id, start = run.open_item.item.item_id, target_start(run.target)
        await self._guard.record_cut(item_id, mark, start, begun_s, error.detail)

    def whole(self, run: ItemRun) -> None:
        """Note that an engine made an item's whole text."""
        if self._guard is not None and self._cut.pop(run.name, None) is not None:
            self._guard.record_answer(run.open_item.item.item_id, _mark_of(run))

    def rests(self, name: ItemName, now_s: float) -> bool:
        """Whether an item waits since engines ended under it."""
        known = self._cut.get(name)
        if self._guard is None or known is None:
            return False
        mark, cut_s = known
        return now_s - cut_s < BARRED_REST_S and self._guard.bars(mark)

    def keep_only(self, wanted_steps: Collection[str]) -> None:
        """Forget the items of other steps."""
        self._cut = {name: known for name, known in self._cut.items() if name[0] in wanted_steps}


def _mark_of(run: ItemRun) -> bytes:
    """Return what stands for an item; unlike a caller's call, it keeps its id."""
    spec, item = run.open_item.step.spec, run.open_item.item
    whose = f"{spec.workspace}/{item.item_id}"
    return request_digest("POST", spec.host, item.raw_path, whose, item.body)
