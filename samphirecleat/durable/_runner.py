"""Plans a service's items over its engines, again and again, and has the plan carried out."""

import asyncio
import math
from collections.abc import Mapping, Sequence
from typing import Final

from ..observe import Observer
from ._drafts import Draft, DraftShelf
from ._finisher import Finisher
from ._item_decisions import (
    ItemName,
    ItemStanding,
    NextStep,
    RunView,
    expected_rest_events,
    next_step,
    runs_to_move,
)
from ._item_loader import ItemLoader
from ._item_run import ItemRun
from ._open_item import OpenItem
from ._planner import PendingItem, order_items, place_items, shortages
from ._run_pool import RunPool
from ._service_work import ServiceWork

# Without news the plan is made anew this often: targets and versions change on their own.
PLAN_EVERY_S: Final = 0.05
# Between two plans: texts end by the dozen, and one plan places all that came meanwhile. Of the
# time, planning takes a quarter at most, since the events of all runs need the same processor.
PLAN_GAP_S: Final = 0.005
PLAN_REST: Final = 3.0
# An engine that takes no new work serves on for about this long; a spot target no longer.
LEAVES_IN_S: Final = 2.0
# Runs are looked through this often for ones that should move: about the time of two events.
MOVE_EVERY_S: Final = 0.1
# A text's expected rest is never taken for less than one event of today's engines.
LEAST_EXPECTED_TOKENS: Final = 64


class StepRunner:
    """The work of one service, at the node that runs it."""

    def __init__(
        self,
        work: ServiceWork,
        drafts: DraftShelf,
        runs: RunPool,
        finisher: Finisher,
        observer: Observer,
    ) -> None:
        """Plan ``work``; ``drafts`` outlives the runner."""
        self._work = work
        self._drafts = drafts
        self._runs = runs
        self._finisher = finisher
        self._items = ItemLoader(work, observer)
        self._observer = observer
        self._moves_at_s = 0.0

    async def run(self) -> None:
        """Plan for as long as the node runs the service; cancels its runs at the end."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._work.changed.clear()
                began_s = loop.time()
                self.plan()
                took_s = loop.time() - began_s
                self._observer.record_s("plan", took_s)
                await asyncio.sleep(max(PLAN_GAP_S, PLAN_REST * took_s))
                await self._wait_for_news()
        finally:
            self._runs.close()
            self._finisher.close()
            self._items.close()

    def open_drafts(self) -> Sequence[Draft]:
        """Return the drafts of all runs and of texts that wait for their score."""
        names = [*self._work.runs, *self._work.scoring]
        drafts = [self._drafts.known(item_id) for _step_id, item_id in names]
        return [draft for draft in drafts if draft is not None]

    def plan(self) -> None:
        """Decide for every item once, and start what has a place."""
        now_s = asyncio.get_running_loop().time()
        steps = self._work.open_steps()
        wanted = {step.spec.step_id for step, _route in steps}
        self._runs.keep_only(wanted)
        self._finisher.keep_only(wanted)
        pending: list[PendingItem] = []
        by_name: dict[ItemName, OpenItem] = {}
        for step, route in steps:
            if not step.items:
                self._items.want(step)
                continue
            for item_id in list(step.unlisted):
                name = (step.spec.step_id, item_id)
                if self._work.is_under_way(name):
                    continue
                open_item = OpenItem(step, step.items[item_id], route)
                if self._wants_place(open_item, now_s):
                    by_name[name] = open_item
                    pending.append(self._pending(open_item, now_s))
        if pending:
            self._place(pending, by_name, now_s)
        else:
            self._work.short = {}
        if not self._work.short:
            self._move_runs(now_s)

    def _wants_place(self, open_item: OpenItem, now_s: float) -> bool:
        """Do what an item needs next; True if that is a place at an engine."""
        step, item, route = open_item
        draft = self._drafts.get(item.item_id)
        fits = draft.fits(step.spec.min_version, single_version=route.single_version)
        standing = ItemStanding(
            now_s - step.folded_at_s,
            route.retention_s,
            self._runs.rests(open_item.name, now_s),
            fits,
            draft.whole,
        )
        match next_step(standing):
            case NextStep.GIVE_UP:
                self._finisher.give_up(open_item)
                return False
            case NextStep.REST:
                return False
            case NextStep.SCORE:
                self._finisher.score(open_item, draft)
                return False
            case NextStep.MAKE_ANEW:
                draft.clear()
                return True
            case NextStep.MAKE:
                return True

    def _pending(self, open_item: OpenItem, now_s: float) -> PendingItem:
        step, item, route = open_item
        made = self._drafts.get(item.item_id).last_event_id * self._work.view.tokens_per_event
        return PendingItem(
            step.spec.step_id,
            item.item_id,
            item.group,
            step.folded_at_s + route.result_deadline_s - now_s,
            item.item_id in step.carried,
            max(LEAST_EXPECTED_TOKENS, item.expected_tokens - made),
            item.prompt_tokens + made,
            step.spec.min_version,
            step.spec.model,
            self._work.priority_of(step),
        )

    def _place(
        self,
        pending: Sequence[PendingItem],
        by_name: Mapping[ItemName, OpenItem],
        now_s: float,
    ) -> None:
        """Start what finds a place, and note for the loads of weights what found none."""
        shares = {
            open_item.step.spec.step_id: _wanted_share(open_item) for open_item in by_name.values()
        }
        token_s = self._work.token_s()
        ordered = order_items(pending, shares, token_s)
        placements = place_items(ordered, self._work.engine_views(now_s), token_s)
        self._work.short = shortages(ordered, placements, token_s)
        for placement in placements:
            name = (placement.item.step_id, placement.item.item_id)
            self._runs.start(by_name[name], placement)

    def _move_runs(self, now_s: float) -> None:
        """Move runs to better engines; while items wait for places, those come first."""
        if now_s < self._moves_at_s:
            return
        self._moves_at_s = now_s + MOVE_EVERY_S
        engines = self._work.engine_views(now_s)
        slowness = {engine.instance: engine.slowness for engine in engines}
        event_s = self._work.paces.typical_event_s()
        runs = [self._run_view(run, slowness, event_s, now_s) for run in self._work.runs.values()]
        for name in runs_to_move(runs, engines):
            self._runs.move(name)

    def _run_view(
        self, run: ItemRun, slowness: Mapping[str, float], event_s: float, now_s: float
    ) -> RunView:
        step, item, route = run.open_item
        tokens_per_event = self._work.view.tokens_per_event
        rest_events = expected_rest_events(
            run.draft.last_event_id,
            item.estimated_tokens // tokens_per_event,
            item.max_tokens // tokens_per_event,
        )
        instance = run.target.instance
        return RunView(
            run.name,
            slowness.get(instance, 1.0),
            run.events,
            run.move,
            rest_events * event_s,
            step.folded_at_s + route.result_deadline_s - now_s,
            math.inf if instance in slowness else LEAVES_IN_S,
            step.spec.model,
            step.spec.min_version,
        )

    async def _wait_for_news(self) -> None:
        """Wait until a run ended, a version came or the step log changed, a moment at most."""
        waits = [
            asyncio.ensure_future(self._work.changed.wait()),
            asyncio.ensure_future(self._work.step_log.wait_for_change(PLAN_EVERY_S)),
        ]
        try:
            await asyncio.wait(waits, timeout=PLAN_EVERY_S, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()


def _wanted_share(open_item: OpenItem) -> float:
    """Return the share of its groups that a step's trainer waits for."""
    step = open_item.step
    return min(1.0, step.spec.target_groups / max(1, step.group_count))
