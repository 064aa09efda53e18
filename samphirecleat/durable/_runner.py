"""Scheduling loop of one service: assigns the items of its open steps to its engines."""

import asyncio
import math
from collections.abc import Collection, Iterator, Mapping, Sequence, Set
from typing import Final

from ..observe import Observer
from ..serving import Route
from ._drafts import Draft, DraftStore
from ._engine_ranking import PendingItem
from ._finisher import Finisher
from ._fold import StepState
from ._item_decisions import (
    ItemAction,
    ItemName,
    ItemStatus,
    next_action,
)
from ._item_loader import ItemLoader
from ._item_run import ItemRun
from ._needed_groups import (
    GroupName,
    GroupNeed,
    UnfinishedItem,
    optional_groups,
)
from ._open_item import OpenItem
from ._planner import PlacementPlan, groups_to_start_last, order_items, plan_placements, shortages
from ._run_moves import RunView, runs_to_move
from ._run_pool import RunPool
from ._service_work import ServiceWork
from ._text_lengths import MIN_EXPECTED_TOKENS

# Longest time between two plans without a notification: targets and their versions change without
# one.
MAX_PLAN_INTERVAL_S: Final = 0.05
# Shortest pause between two plans: texts complete in batches of a dozen, and one plan can handle
# the whole batch.
MIN_PLAN_INTERVAL_S: Final = 0.005
# The pause is at least this many times the planning time, so that planning takes no more than a
# quarter of the processor, which also handles the events of all runs.
PLAN_IDLE_RATIO: Final = 3.0
# An engine that stopped accepting work serves its runs for about this long; spot targets have no
# more time than that.
LEAVING_ENGINE_REMAINING_S: Final = 2.0
# Interval of the check for runs to move, about the time of two events.
MOVE_CHECK_INTERVAL_S: Final = 0.1
# Interval of the updates of expected lengths by the texts that are being generated.
LENGTH_UPDATE_INTERVAL_S: Final = 0.2


class StepRunner:
    """Schedules the items of one service on the node that holds the service's duty."""

    def __init__(
        self,
        work: ServiceWork,
        drafts: DraftStore,
        runs: RunPool,
        finisher: Finisher,
        observer: Observer,
    ) -> None:
        """Schedule ``work``; ``drafts`` is shared and outlives the runner."""
        self._work = work
        self._drafts = drafts
        self._runs = runs
        self._finisher = finisher
        self._item_loader = ItemLoader(work, observer)
        self._observer = observer
        self._next_move_check_s = 0.0
        self._next_length_update_s = 0.0
        self._lacking_memory_since_s: dict[ItemName, float] = {}

    async def run(self) -> None:
        """Plan until cancelled; cancels all runs, scores and reads on exit."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                self._work.changed.clear()
                began_s = loop.time()
                self.plan()
                took_s = loop.time() - began_s
                self._observer.record_s("plan", took_s)
                await asyncio.sleep(max(MIN_PLAN_INTERVAL_S, PLAN_IDLE_RATIO * took_s))
                await self._wait_for_change()
        finally:
            self._runs.close()
            self._finisher.close()
            self._item_loader.close()

    def open_drafts(self) -> Sequence[Draft]:
        """Return the drafts of all current runs and of texts that are being scored."""
        names = [*self._work.runs, *self._work.scoring]
        drafts = [self._drafts.find(item_id) for _step_id, item_id in names]
        return [draft for draft in drafts if draft is not None]

    def plan(self) -> None:
        """Decide once for every item, and start the items that get a slot."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._next_length_update_s:
            self._next_length_update_s = now_s + LENGTH_UPDATE_INTERVAL_S
            self._work.update_lengths()
        steps = self._work.open_steps()
        wanted = {step.spec.step_id for step, _route in steps}
        self._runs.keep_only(wanted)
        self._finisher.keep_only(wanted)
        pending: list[PendingItem] = []
        by_name: dict[ItemName, OpenItem] = {}
        for step, route in steps:
            if not step.items:
                self._item_loader.request(step)
                continue
            for item_id in list(step.unlisted):
                name = (step.spec.step_id, item_id)
                if self._work.is_in_progress(name):
                    continue
                open_item = OpenItem(step, step.items[item_id], route)
                if self._needs_slot(open_item, now_s):
                    by_name[name] = open_item
                    pending.append(self._pending_item(open_item, now_s))
        if pending:
            self._place_items(pending, by_name, steps, now_s)
        else:
            self._work.shortages = {}
            self._lacking_memory_since_s.clear()
        if not self._work.shortages and now_s >= self._next_move_check_s:
            self._next_move_check_s = now_s + MOVE_CHECK_INTERVAL_S
            needs = _group_needs(steps)
            unfinished = self._unfinished_items(steps, needs)
            self._move_runs(optional_groups(unfinished, needs, long_queue=False), now_s)

    def _needs_slot(self, open_item: OpenItem, now_s: float) -> bool:
        """Perform an item's next action; return whether the item needs an engine slot."""
        step, item, route = open_item
        draft = self._drafts.get(item.item_id)
        fits = draft.fits(step.spec.min_version, single_version=route.single_version)
        status = ItemStatus(
            now_s - step.folded_at_s,
            route.retention_s,
            self._runs.is_backing_off(open_item, now_s),
            fits,
            draft.complete,
        )
        match next_action(status):
            case ItemAction.GIVE_UP:
                self._finisher.give_up(open_item)
                return False
            case ItemAction.BACK_OFF:
                return False
            case ItemAction.SCORE:
                self._finisher.score(open_item, draft)
                return False
            case ItemAction.REGENERATE:
                draft.clear()
                return True
            case ItemAction.GENERATE:
                return True

    def _pending_item(self, open_item: OpenItem, now_s: float) -> PendingItem:
        step, item, route = open_item
        tokens_per_event = self._work.view.tokens_per_event
        events = self._drafts.get(item.item_id).last_event_id
        generated = events * tokens_per_event
        expected = self._work.expected_tokens(open_item) - generated
        remaining = self._work.remaining_events(open_item, events) * tokens_per_event
        lacking_since_s = self._lacking_memory_since_s.get(open_item.name, now_s)
        return PendingItem(
            step.spec.step_id,
            item.item_id,
            item.group,
            step.folded_at_s + route.result_deadline_s - now_s,
            item.item_id in step.carried,
            max(MIN_EXPECTED_TOKENS, expected, remaining),
            item.prompt_tokens + generated,
            step.spec.min_version,
            step.spec.model,
            self._work.priority_of(step),
            now_s - lacking_since_s,
        )

    def _place_items(
        self,
        pending: Sequence[PendingItem],
        by_name: Mapping[ItemName, OpenItem],
        steps: Sequence[tuple[StepState, Route]],
        now_s: float,
    ) -> None:
        """Start the items that get a slot; record those without one as shortages."""
        token_s = self._work.token_s()
        engines = self._work.engine_views(now_s)
        needs = _group_needs(steps)
        unfinished = self._unfinished_items(steps, needs)
        startable = self._runs.trials.startable(pending, by_name, engines)
        optional = groups_to_start_last(pending, unfinished, needs, engines, token_s)
        ordered = order_items(startable.items, optional, token_s)
        plan = plan_placements(ordered, engines, token_s, startable.engine_by_item)
        self._work.shortages = shortages(ordered, plan.placements, token_s)
        self._record_memory_waits(by_name, plan, now_s)
        for placement in plan.placements:
            name = (placement.item.step_id, placement.item.item_id)
            self._runs.start(by_name[name], placement)

    def _record_memory_waits(
        self, waiting: Collection[ItemName], plan: PlacementPlan, now_s: float
    ) -> None:
        """Record since when items wait for engine memory; forget those that wait no more."""
        since_s = self._lacking_memory_since_s
        started = {(p.item.step_id, p.item.item_id) for p in plan.placements}
        self._lacking_memory_since_s = {
            name: since_s.get(name, now_s)
            for name in (since_s.keys() | plan.lacking_memory) - started
            if name in waiting
        }

    def _unfinished_items(
        self, steps: Sequence[tuple[StepState, Route]], needs: Mapping[str, GroupNeed]
    ) -> Iterator[UnfinishedItem]:
        """Yield the unlisted items of the steps in ``needs``."""
        tokens_per_event = self._work.view.tokens_per_event
        return (
            UnfinishedItem(
                step.spec.step_id,
                step.items[item_id].group,
                self._remaining_events(OpenItem(step, step.items[item_id], route))
                * tokens_per_event,
                item_id in step.carried,
            )
            for step, route in steps
            if step.spec.step_id in needs
            for item_id in step.unlisted
        )

    def _remaining_events(self, open_item: OpenItem) -> int:
        """Return how many more events an item's text is expected to have."""
        draft = self._drafts.find(open_item.item.item_id)
        if draft is not None and draft.complete:
            return 0
        generated = draft.last_event_id if draft is not None else 0
        return self._work.remaining_events(open_item, generated)

    def _move_runs(self, optional: Set[GroupName], now_s: float) -> None:
        """Move runs to other engines; only called while no item waits for a slot."""
        engines = self._work.engine_views(now_s)
        event_s = self._work.engine_stats.median_event_interval_s()
        accepting = {engine.instance for engine in engines}
        runs = [
            self._run_view(run, accepting, optional, event_s, now_s)
            for run in self._work.runs.values()
        ]
        for move in runs_to_move(runs, engines):
            self._runs.move(move)

    def _run_view(
        self,
        run: ItemRun,
        accepting: Set[str],
        optional: Set[GroupName],
        event_s: float,
        now_s: float,
    ) -> RunView:
        step, item, route = run.open_item
        instance = run.target.instance
        return RunView(
            run.name,
            self._work.engine_stats.slowness(instance, event_s),
            run.events,
            run.move_requested,
            self._remaining_events(run.open_item) * event_s,
            step.folded_at_s + route.result_deadline_s - now_s,
            math.inf if instance in accepting else LEAVING_ENGINE_REMAINING_S,
            step.spec.model,
            step.spec.min_version,
            run.moved,
            (step.spec.step_id, item.group) not in optional,
        )

    async def _wait_for_change(self) -> None:
        """Wait for a run to end, a new version or a step log change, or the plan interval."""
        waits = [
            asyncio.ensure_future(self._work.changed.wait()),
            asyncio.ensure_future(self._work.step_log.wait_for_change(MAX_PLAN_INTERVAL_S)),
        ]
        try:
            await asyncio.wait(
                waits, timeout=MAX_PLAN_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for wait in waits:
                wait.cancel()


def _group_needs(steps: Sequence[tuple[StepState, Route]]) -> Mapping[str, GroupNeed]:
    """Return how many groups trainers wait for, by step, where that isn't all of them."""
    return {
        step.spec.step_id: GroupNeed(step.group_count, step.spec.target_groups)
        for step, _route in steps
        if step.group_count > step.spec.target_groups
    }
