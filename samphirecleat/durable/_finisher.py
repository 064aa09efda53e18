"""Scores complete texts and lists results, including items that are given up."""

import asyncio
from collections.abc import Collection

from ..observe import Observer
from ._drafts import Draft
from ._open_item import OpenItem
from ._records import FinishedItem
from ._scorer import Scorer
from ._service_work import ServiceWork


class Finisher:
    """Submits results; owns ``scoring`` and ``submitted`` of the service's work."""

    def __init__(self, work: ServiceWork, scorer: Scorer, observer: Observer) -> None:
        """Score with ``scorer`` and list in the step log of ``work``."""
        self._work = work
        self._scorer = scorer
        self._logger = observer.log("runner")

    def score(self, open_item: OpenItem, draft: Draft) -> None:
        """Start scoring a complete text; it is listed afterwards.

        The draft belongs to the item, not to this step: another open step that allows other
        versions may clear it while the text is being scored, so the text is taken now.
        """
        step_id, item_id = open_item.name
        result = FinishedItem(step_id, item_id, draft.text(), draft.version_set(), "")
        self._work.scoring[open_item.name] = asyncio.ensure_future(self._score(open_item, result))

    def give_up(self, open_item: OpenItem) -> None:
        """List an item as given up, without a text."""
        step_id, item_id = open_item.name
        self._submit(FinishedItem(step_id, item_id, None, (), ""))

    def keep_only(self, wanted_steps: Collection[str]) -> None:
        """Cancel scoring for all other steps and forget the items submitted for them."""
        for (step_id, _item_id), task in list(self._work.scoring.items()):
            if step_id not in wanted_steps:
                task.cancel()
        self._work.submitted = {name for name in self._work.submitted if name[0] in wanted_steps}

    def close(self) -> None:
        """Cancel all scoring; the drafts stay complete."""
        for task in list(self._work.scoring.values()):
            task.cancel()

    async def _score(self, open_item: OpenItem, result: FinishedItem) -> None:
        item = open_item.item
        try:
            score = await self._scorer.score(item, open_item.route)
            if item.reward is not None and not score:
                self.give_up(open_item)
                return
            self._submit(result._replace(score=score))
        finally:
            self._work.scoring.pop(open_item.name, None)
            self._work.changed.set()

    def _submit(self, result: FinishedItem) -> None:
        self._work.submitted.add((result.step_id, result.item_id))
        self._logger.info(
            "item=%s step=%s completed=%s versions=%s",
            result.item_id,
            result.step_id,
            result.text is not None,
            list(result.versions),
        )
        self._work.step_log.list_result(result)
