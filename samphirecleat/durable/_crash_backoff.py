"""Backoff for items that are suspected of crashing engines.

The prompt of an item may crash every engine that starts it. Such an item may not be given up, and
an interrupted run is normally retried at once on another engine. Without a backoff, one item would
crash all engines of the service and end every other run on them.
"""

from collections.abc import Collection

from ..crashes import OWED_BACKOFF_S, CrashGuard, request_digest
from ..serving import target_start
from ._item_decisions import ItemName
from ._item_run import ItemRun
from ._open_item import OpenItem
from ._ports import GenerationError


class CrashBackoff:
    """Tracks the items of one runner whose runs were cut off by their engine."""

    def __init__(self, guard: CrashGuard | None) -> None:
        """Report evidence on items to ``guard``; without it, no item backs off."""
        self._guard = guard
        self._cut_runs: dict[ItemName, tuple[bytes, float]] = {}

    async def record_cut(
        self, run: ItemRun, begun_s: float, error: GenerationError, now_s: float
    ) -> None:
        """Record a run that was cut off, possibly because its engine crashed."""
        if self._guard is None or not error.connection_closed:
            return
        digest = item_digest(run.open_item)
        self._cut_runs[run.name] = (digest, now_s)
        item_id, start = run.open_item.item.item_id, target_start(run.target)
        await self._guard.record_cut(item_id, digest, start, begun_s, error.detail)

    def record_completion(self, run: ItemRun) -> None:
        """Record that an engine completed the item's text, which clears the suspicion."""
        if self._guard is not None and self._cut_runs.pop(run.name, None) is not None:
            self._guard.record_answer(run.open_item.item.item_id, item_digest(run.open_item))

    def is_backing_off(self, open_item: OpenItem, now_s: float) -> bool:
        """Return whether an item is blocked and its backoff has not passed."""
        if self._guard is None or not self._guard.has_suspects:
            return False
        known = self._cut_runs.get(open_item.name)
        if known is None:
            return False
        digest, cut_s = known
        return now_s - cut_s < OWED_BACKOFF_S and self._guard.is_blocked(digest)

    def keep_only(self, wanted_steps: Collection[str]) -> None:
        """Drop the records of items of other steps."""
        self._cut_runs = {
            name: known for name, known in self._cut_runs.items() if name[0] in wanted_steps
        }


def item_digest(open_item: OpenItem) -> bytes:
    """Return the digest that identifies an item to the crash guard; it covers the item ID too."""
    spec, item = open_item.step.spec, open_item.item
    owner = f"{spec.workspace}/{item.item_id}"
    return request_digest("POST", spec.host, item.raw_path, owner, item.body)
