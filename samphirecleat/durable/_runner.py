"""Runs the items of a service's steps on its engines, scores them and has them listed."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Final

from ..observe import Observer
from ..serving import Route, RouteTable, Target, TargetTable
from ._drafts import Draft, DraftShelf
from ._fold import StepState
from ._item_run import ItemRun, stream_item
from ._paces import PaceTable
from ._planner import (
    LONG_S,
    EngineView,
    PendingItem,
    Placement,
    Shortage,
    order_items,
    place_items,
    planned_tokens,
    shortages,
)
from ._ports import GenerationChannel, GenerationEnd, GenerationError
from ._records import FinishedItem, ItemSpec
from ._scorer import Scorer
from ._service_view import ServiceView
from ._step_log import StepLog
from ._weight_demand import allowed_lag, engines_wanted, model_demand
from ._weight_orders import ModelDemand

# Without news the plan is made anew this often: targets and versions change on their own.
PLAN_EVERY_S: Final = 0.05
# Between two plans: texts end by the dozen, and one plan places all that came meanwhile. Of the
# time, planning takes a quarter at most, since the events of all runs need the same processor.
PLAN_GAP_S: Final = 0.005
PLAN_REST: Final = 3.0
# A run that is this much slower than the typical engine moves to one with a free place:
# going on elsewhere costs a few milliseconds of reading.
MOVE_SLOWNESS: Final = 2.0
MOVE_TO_SLOWNESS: Final = 1.4
MOVE_AFTER_EVENTS: Final = 3
# A text's expected rest is never taken for less than one event of today's engines.
LEAST_EXPECTED_TOKENS: Final = 64
# An engine that failed gets nothing for this long; one that refused, until a run may have ended.
ENGINE_REST_S: Final = 0.5
REFUSAL_REST_S: Final = 0.1
# The same item waits this long after a failed run.
ITEM_REST_S: Final = 0.05


class StepRunner:
    """The work of one service, at the node that runs it."""

    def __init__(
        self,
        service: str,
        step_log: StepLog,
        drafts: DraftShelf,
        routes: RouteTable,
        targets: TargetTable,
        engines: GenerationChannel,
        scorer: Scorer,
        observer: Observer,
    ) -> None:
        """Run ``service``; ``drafts`` outlives the runner."""
        self.service = service
        self._step_log = step_log
        self._drafts = drafts
        self._routes = routes
        self._targets = targets
        self._engines = engines
        self._scorer = scorer
        self._observer = observer
        self._words = observer.log("runner")
        self._view = ServiceView(service, routes, targets)
        self._runs: dict[tuple[str, str], ItemRun] = {}
        self._scoring: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._handed_in: set[tuple[str, str]] = set()
        self._item_rests_s: dict[tuple[str, str], float] = {}
        self._failures: dict[tuple[str, str], int] = {}
        self._paces = PaceTable()
        self._wake = asyncio.Event()
        self.loading: set[tuple[str, str]] = set()
        self._short: Mapping[str, Shortage] = {}
        self._allowed_lags: dict[str, int] = {}

    async def run(self) -> None:
        """Plan for as long as the node runs the service; cancels its runs at the end."""
        try:
            while True:
                self._wake.clear()
                began_s = asyncio.get_running_loop().time()
                self._plan()
                took_s = asyncio.get_running_loop().time() - began_s
                self._observer.record_s("plan", took_s)
                await asyncio.sleep(max(PLAN_GAP_S, PLAN_REST * took_s))
                waits = [
                    asyncio.ensure_future(self._wake.wait()),
                    asyncio.ensure_future(self._step_log.wait_change(PLAN_EVERY_S)),
                ]
                try:
                    await asyncio.wait(
                        waits, timeout=PLAN_EVERY_S, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    for wait in waits:
                        wait.cancel()
        finally:
            for run in list(self._runs.values()):
                if run.task is not None:
                    run.task.cancel()
            for task in list(self._scoring.values()):
                task.cancel()

    def busy_by_engine(self, model: str) -> Mapping[str, int]:
        """Return how many runs of a model each engine has."""
        counts: dict[str, int] = {}
        for run in self._runs.values():
            if run.step.spec.model != model:
                continue
            counts[run.target.instance] = counts.get(run.target.instance, 0) + 1
        return counts

    def open_drafts(self) -> Sequence[Draft]:
        """Return the drafts of all runs and of texts that wait for their score."""
        names = [*self._runs, *self._scoring]
        drafts = [self._drafts.known(item_id) for _step_id, item_id in names]
        return [draft for draft in drafts if draft is not None]

    def _my_steps(self) -> Sequence[tuple[StepState, Route]]:
        """Return the open steps of this service with their routes, oldest first."""
        steps = []
        for step in self._step_log.fold.steps.values():
            if not step.open:
                continue
            route = self._routes.find(step.spec.host, step.spec.raw_path)
            if route is not None and any(p.service == self.service for p in route.services):
                steps.append((step, route))
        return steps

    def _plan(self) -> None:
        now_s = asyncio.get_running_loop().time()
        steps = self._my_steps()
        self._cancel_unwanted({step.spec.step_id for step, _route in steps})
        pending: list[PendingItem] = []
        specs: dict[tuple[str, str], tuple[ItemSpec, StepState, Route]] = {}
        shares: dict[str, float] = {}
        for step, route in steps:
            due_in_s = step.folded_at_s + route.result_deadline_s - now_s
            shares[step.spec.step_id] = min(1.0, step.spec.target_groups / max(1, step.group_count))
            for item in step.unlisted.values():
                name = (step.spec.step_id, item.item_id)
                if name in self._handed_in or name in self._runs or name in self._scoring:
                    continue
                if self._give_up_old(step, item, route, now_s):
                    continue
                if self._item_rests_s.get(name, 0.0) > now_s:
                    continue
                draft = self._drafts.get(item.item_id)
                if not draft.fits(step.spec.min_version, single_version=route.single_version):
                    draft.clear()
                if draft.whole:
                    self._start_scoring(step, item, route, draft)
                    continue
                specs[name] = (item, step, route)
                pending.append(self._pending(step, item, due_in_s, draft))
        if pending:
            engines = self._engine_views(now_s)
            token_s = self._token_s()
            ordered = order_items(pending, shares, token_s)
            placements = place_items(ordered, engines, token_s)
            self._short = shortages(ordered, placements, token_s)
            for placement in placements:
                name = (placement.item.step_id, placement.item.item_id)
                item, step, route = specs[name]
                self._start_run(step, item, route, placement)
        else:
            self._short = {}
            self._move_slow_runs(now_s)

    def _pending(
        self, step: StepState, item: ItemSpec, due_in_s: float, draft: Draft
    ) -> PendingItem:
        made = draft.last_event_id * self._view.tokens_per_event
        expected = max(LEAST_EXPECTED_TOKENS, item.expected_tokens - made)
        return PendingItem(
            step.spec.step_id,
            item.item_id,
            item.group,
            due_in_s,
            item.item_id in step.carried,
            expected,
            item.prompt_tokens + made,
            step.spec.min_version,
            step.spec.model,
        )

    def demand(self, model: str, named_version: int) -> ModelDemand:
        """Return what the open steps of a model, and the next one, ask of the engines."""
        open_steps = [step for step, _route in self._my_steps() if step.spec.model == model]
        lag = allowed_lag(open_steps, self._allowed_lags.get(model, 0))
        self._allowed_lags[model] = lag
        known = [step for step in self._step_log.fold.steps.values() if step.spec.model == model]
        return model_demand(
            model,
            named_version,
            lag,
            [step.spec.min_version for step in open_steps],
            engines_wanted(known, self._view.most_places),
            keeps_runs=not self._view.wants_single_version,
            shortage=self._short.get(model),
        )

    def is_slow(self, instance: str) -> bool:
        """Whether an engine is too slow to count on it for the next step."""
        return self._paces.slowness(instance) >= MOVE_TO_SLOWNESS

    def _give_up_old(self, step: StepState, item: ItemSpec, route: Route, now_s: float) -> bool:
        """List an item as dead that may be given up by its age; True if it was."""
        if route.retention_s <= 0.0 or now_s - step.folded_at_s < route.retention_s:
            return False
        self._list_dead(step, item)
        return True

    def _engine_views(self, now_s: float) -> Sequence[EngineView]:
        views = []
        for target in self._targets.serving(self.service):
            pace = self._paces.of(target.instance)
            mine = [run for run in self._runs.values() if run.target.instance == target.instance]
            versions = {
                model: self.version_of(target, model)
                for model in self._view.models(target)
                if (target.instance, model) not in self.loading
            }
            views.append(
                EngineView(
                    target.instance,
                    versions,
                    self._view.places(target),
                    self._view.memory_tokens,
                    len(mine),
                    sum(run.planned_tokens for run in mine),
                    self._paces.slowness(target.instance),
                    pace.rests_until_s <= now_s,
                    frozenset(pace.groups),
                )
            )
        return views

    def version_of(self, target: Target, model: str) -> int:
        """Return the highest version of a model that the engine registered or streamed."""
        streamed = self._paces.of(target.instance).versions.get(model, 0)
        return max(target.versions.get(model, 1), streamed)

    def note_version(self, instance: str, model: str, version: int) -> None:
        """Take the version of a model that an engine itself reported."""
        self._paces.of(instance).note_version(model, version)
        self._wake.set()

    def _token_s(self) -> float:
        return self._paces.typical_event_s() / self._view.tokens_per_event

    def _cancel_unwanted(self, wanted: set[str]) -> None:
        for (step_id, item_id), run in list(self._runs.items()):
            step = self._step_log.fold.steps.get(step_id)
            unwanted = step_id not in wanted or (step is not None and item_id not in step.unlisted)
            if unwanted and run.task is not None:
                run.task.cancel()
        for (step_id, _item_id), task in list(self._scoring.items()):
            if step_id not in wanted:
                task.cancel()
        self._handed_in = {name for name in self._handed_in if name[0] in wanted}
        for seen in (self._failures, self._item_rests_s):
            for name in [name for name in seen if name[0] not in wanted]:
                del seen[name]

    def _start_run(self, step: StepState, item: ItemSpec, route: Route, place: Placement) -> None:
        target = self._targets.targets[place.instance]
        plan = place.item
        is_long = plan.expected_tokens * self._token_s() > LONG_S
        run = ItemRun(
            step,
            item,
            route,
            target,
            self._drafts.get(item.item_id),
            planned_tokens(plan, is_long=is_long),
        )
        self._paces.of(target.instance).groups.add(item.group)
        self._runs[run.name] = run
        self._words.info(
            "item=%s step=%s target=%s from_event=%d expected_tokens=%d version=%d",
            item.item_id,
            step.spec.step_id,
            target.instance,
            run.draft.last_event_id,
            plan.expected_tokens,
            self.version_of(target, step.spec.model),
        )
        run.task = asyncio.ensure_future(self._run_item(run))

    async def _run_item(self, run: ItemRun) -> None:
        loop = asyncio.get_running_loop()
        pace = self._paces.of(run.target.instance)
        self._targets.started(run.target)
        began_s = loop.time()
        try:
            await stream_item(run, self._engines, pace)
        except GenerationError as error:
            self._note_fault(run, error)
        except TimeoutError:
            pace.rests_until_s = loop.time() + ENGINE_REST_S
            self._words.warning(
                "item=%s target=%s silent after event %d; moved",
                run.item.item_id,
                run.target.instance,
                run.draft.last_event_id,
            )
        except asyncio.CancelledError:
            self._words.info("item=%s run cancelled", run.item.item_id)
            raise
        finally:
            self._targets.ended(run.target)
            self._runs.pop(run.name, None)
            self._wake.set()
        if run.draft.whole and run.name not in self._scoring:
            self._observer.record_s("item_run", loop.time() - began_s)
            self._words.info(
                "item=%s whole events=%d target=%s",
                run.item.item_id,
                run.draft.last_event_id,
                run.target.instance,
            )
            self._start_scoring(run.step, run.item, run.route, run.draft)

    def _note_fault(self, run: ItemRun, error: GenerationError) -> None:
        now_s = asyncio.get_running_loop().time()
        pace = self._paces.of(run.target.instance)
        self._words.warning(
            "item=%s target=%s ended=%s at_event=%d detail=%s",
            run.item.item_id,
            run.target.instance,
            error.reason.value,
            run.draft.last_event_id,
            error.detail,
        )
        self._item_rests_s[run.name] = now_s + ITEM_REST_S
        match error.reason:
            case GenerationEnd.IMPOSSIBLE:
                self._list_dead(run.step, run.item)
            case GenerationEnd.FAILED:
                failures = self._failures[run.name] = self._failures.get(run.name, 0) + 1
                if failures >= run.route.max_attempts:
                    self._list_dead(run.step, run.item)
            case GenerationEnd.REFUSED:
                pace.rests_until_s = now_s + REFUSAL_REST_S
            case GenerationEnd.BROKEN | GenerationEnd.WRONG_INSTANCE:
                pace.rests_until_s = now_s + ENGINE_REST_S

    def _move_slow_runs(self, now_s: float) -> None:
        """Ask runs on slow engines to go on at a faster one that has room."""
        free = sum(
            engine.places - engine.running
            for engine in self._engine_views(now_s)
            if engine.accepts and engine.slowness < MOVE_TO_SLOWNESS
        )
        for run in self._runs.values():
            if free <= 0:
                return
            if run.move or run.events < MOVE_AFTER_EVENTS:
                continue
            if self._paces.slowness(run.target.instance) > MOVE_SLOWNESS:
                run.move = True
                free -= 1

    def _start_scoring(self, step: StepState, item: ItemSpec, route: Route, draft: Draft) -> None:
        name = (step.spec.step_id, item.item_id)
        self._scoring[name] = asyncio.ensure_future(self._score(step, item, route, draft))

    async def _score(self, step: StepState, item: ItemSpec, route: Route, draft: Draft) -> None:
        step_id = step.spec.step_id
        try:
            score = await self._scorer.score(item, route)
            if item.reward is not None and not score:
                self._list_dead(step, item)
                return
            versions = draft.version_set()
            self._list(FinishedItem(step_id, item.item_id, draft.text(), versions, score))
        finally:
            self._scoring.pop((step_id, item.item_id), None)
            self._wake.set()

    def _list_dead(self, step: StepState, item: ItemSpec) -> None:
        self._list(FinishedItem(step.spec.step_id, item.item_id, None, (), ""))

    def _list(self, result: FinishedItem) -> None:
        self._handed_in.add((result.step_id, result.item_id))
        self._words.info(
            "item=%s step=%s completed=%s versions=%s",
            result.item_id,
            result.step_id,
            result.text is not None,
            list(result.versions),
        )
        self._step_log.list_result(result)
