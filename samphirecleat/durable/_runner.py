"""Runs the items of a service's steps on its engines, scores them and has them listed."""

import asyncio
from collections.abc import Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Final

from ..errors import RequestError
from ..observe import Observer
from ..serving import Call, Forwarder, Route, RouteTable, Target, TargetTable
from ._drafts import Draft, DraftShelf
from ._fold import StepState
from ._planner import (
    LONG_S,
    EngineView,
    PendingItem,
    order_items,
    place_items,
    planned_tokens,
)
from ._ports import GenerationCall, GenerationChannel, GenerationEnd, GenerationError
from ._records import ItemListed, ItemSpec
from ._step_log import StepLog

# Without news the plan is made anew this often: targets and versions change on their own.
PLAN_EVERY_S: Final = 0.05
# A run is given up after so long without an event. Engines make one in about 40 ms; one
# that takes new weights pauses for a second.
STALL_S: Final = 1.5
FIRST_EVENT_S: Final = 2.0
# A run that is this much slower than the typical engine moves to one with a free place:
# going on elsewhere costs a few milliseconds of reading.
MOVE_SLOWNESS: Final = 2.0
MOVE_AFTER_EVENTS: Final = 3
# Weight of the newest pause between events in an engine's running mean.
PACE_GAIN: Final = 0.25
# After this many events, at most, the text's expected rest is not below it.
LEAST_EXPECTED_TOKENS: Final = 64
# With less time than this to spare an item without a place presses for one: a load takes
# about a second, and its score a few tenths.
PRESSED_SPARE_S: Final = 2.5
# An engine that failed gets nothing for this long.
ENGINE_REST_S: Final = 0.5
REFUSAL_REST_S: Final = 0.1
# The same item waits this long after a failed run.
ITEM_REST_S: Final = 0.05
# A reward call: its own deadline, and the pause between tries.
REWARD_BUDGET_S: Final = 2.5
REWARD_RETRY_S: Final = 0.1
# Of a service's places, what rewards may take; the rest is for callers.
REWARD_SHARE: Final = 0.7
# The engines' priority of an item's run; callers' calls have the middle one by default.
ITEM_PRIORITY: Final = 5
# Failures that end an item are counted on both its own route and its reward's.
REWARD_FAILURE_STATUS: Final = 500


@dataclass
class _Run:
    """One item on one engine."""

    step_id: str
    item: ItemSpec
    target: Target
    planned_tokens: int
    draft: Draft
    is_long: bool
    task: asyncio.Task[None] | None = None
    events: int = 0
    move: bool = False


@dataclass
class _Pace:
    """What the runner has seen of one engine."""

    event_s: float = 0.0
    rests_until_s: float = 0.0
    groups: set[str] = field(default_factory=set)
    version: int = 0


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
        forwarder: Forwarder,
        observer: Observer,
    ) -> None:
        """Run ``service``; ``drafts`` outlives the runner."""
        self.service = service
        self._step_log = step_log
        self._drafts = drafts
        self._routes = routes
        self._targets = targets
        self._engines = engines
        self._forwarder = forwarder
        self._observer = observer
        self._words = observer.log("runner")
        self._runs: dict[tuple[str, str], _Run] = {}
        self._scoring: dict[tuple[str, str], asyncio.Task[None]] = {}
        self._handed_in: set[tuple[str, str]] = set()
        self._item_rests_s: dict[tuple[str, str], float] = {}
        self._paces: dict[str, _Pace] = {}
        self._reward_places: dict[str, asyncio.Semaphore] = {}
        self._wake = asyncio.Event()
        self.loading: set[str] = set()
        self.pressed = False
        self._allowed_lag = 0

    async def run(self) -> None:
        """Plan for as long as the node runs the service; cancels its runs at the end."""
        try:
            while True:
                self._wake.clear()
                self._plan()
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

    @property
    def busy_by_engine(self) -> Mapping[str, int]:
        """How many runs each engine has."""
        counts: dict[str, int] = {}
        for run in self._runs.values():
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
            groups = {item.group for item in step.spec.items}
            shares[step.spec.step_id] = min(
                1.0, step.spec.target_groups / max(1, len(groups)) if groups else 1.0
            )
            for item in step.spec.items:
                name = (step.spec.step_id, item.item_id)
                if item.item_id in step.listed or name in self._handed_in:
                    continue
                if name in self._runs or name in self._scoring:
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
            self.pressed = _is_pressed(ordered, len(placements), token_s)
            for placement in placements:
                name = (placement.item.step_id, placement.item.item_id)
                item, step, route = specs[name]
                self._start_run(step, item, route, placement.instance, placement.item)
        else:
            self.pressed = False
            self._move_slow_runs(now_s)

    def _pending(
        self, step: StepState, item: ItemSpec, due_in_s: float, draft: Draft
    ) -> PendingItem:
        made = draft.last_event_id * self._tokens_per_event()
        expected = max(LEAST_EXPECTED_TOKENS, _expected_tokens(item) - made)
        return PendingItem(
            step.spec.step_id,
            item.item_id,
            item.group,
            due_in_s,
            self._is_carried(step, item),
            expected,
            item.prompt_tokens + made,
            step.spec.min_version,
        )

    def needed_version(self, named: int) -> int:
        """Return the lowest version that the open steps and the next one accept."""
        steps = [step.spec for step, _route in self._my_steps()]
        if steps:
            newest = max(steps, key=lambda spec: spec.number)
            # Step k is asked for at version k, or at 1 for the first ones.
            self._allowed_lag = max(0, max(1, newest.number) - newest.min_version)
        return max([named - self._allowed_lag, *(spec.min_version for spec in steps)])

    def _tokens_per_event(self) -> int:
        spec = self._routes.config.services.get(self.service)
        return spec.engine.tokens_per_event if spec is not None and spec.engine else 1

    def _is_carried(self, step: StepState, item: ItemSpec) -> bool:
        """Whether the item's group was in an earlier step already."""
        for other in self._step_log.fold.steps.values():
            if other is step:
                return False
            if item.item_id in other.items:
                return True
        return False

    def _give_up_old(self, step: StepState, item: ItemSpec, route: Route, now_s: float) -> bool:
        """List an item as dead that may be given up by its age; True if it was."""
        if route.retention_s <= 0.0 or now_s - step.folded_at_s < route.retention_s:
            return False
        self._list(step, item, ItemListed(step.spec.step_id, item.item_id, False, "", (), ""))
        return True

    def _engine_views(self, now_s: float) -> Sequence[EngineView]:
        spec = self._routes.config.services.get(self.service)
        engine = spec.engine if spec is not None else None
        targets = self._targets.serving(self.service)
        paces = {t.instance: self._paces.setdefault(t.instance, _Pace()) for t in targets}
        typical_s = self._typical_event_s()
        views = []
        for target in targets:
            pace = paces[target.instance]
            mine = [r for r in self._runs.values() if r.target.instance == target.instance]
            views.append(
                EngineView(
                    target.instance,
                    target.zone,
                    self.version_of(target),
                    engine.slots if engine is not None else max(1, target.slots),
                    engine.memory_tokens if engine is not None else 1 << 40,
                    len(mine),
                    sum(run.planned_tokens for run in mine),
                    max(1.0, pace.event_s / typical_s) if pace.event_s else 1.0,
                    pace.rests_until_s <= now_s and target.instance not in self.loading,
                    frozenset(pace.groups),
                    sum(run.is_long for run in mine),
                )
            )
        return views

    def version_of(self, target: Target) -> int:
        """Return the highest version that the engine registered or streamed."""
        pace = self._paces.get(target.instance)
        registered = max(target.versions.values(), default=1)
        return max(registered, pace.version if pace is not None else 0)

    def _typical_event_s(self) -> float:
        known = sorted(pace.event_s for pace in self._paces.values() if pace.event_s > 0.0)
        return known[(len(known) - 1) // 2] if known else 0.04

    def _token_s(self) -> float:
        return self._typical_event_s() / self._tokens_per_event()

    def _cancel_unwanted(self, wanted: set[str]) -> None:
        for (step_id, item_id), run in list(self._runs.items()):
            step = self._step_log.fold.steps.get(step_id)
            if step_id not in wanted or (step is not None and item_id in step.listed):
                if run.task is not None:
                    run.task.cancel()
        for (step_id, _item_id), task in list(self._scoring.items()):
            if step_id not in wanted:
                task.cancel()
        self._handed_in = {name for name in self._handed_in if name[0] in wanted}

    def _start_run(
        self, step: StepState, item: ItemSpec, route: Route, instance: str, plan: PendingItem
    ) -> None:
        target = self._targets.targets[instance]
        draft = self._drafts.get(item.item_id)
        name = (step.spec.step_id, item.item_id)
        is_long = plan.expected_tokens * self._token_s() > LONG_S
        planned = planned_tokens(plan, is_long=is_long)
        run = _Run(name[0], item, target, planned, draft, is_long)
        pace = self._paces.setdefault(instance, _Pace())
        pace.groups.add(item.group)
        self._runs[name] = run
        self._words.info(
            "item=%s step=%s target=%s from_event=%d expected_tokens=%d version=%d",
            item.item_id,
            name[0],
            instance,
            draft.last_event_id,
            plan.expected_tokens,
            self.version_of(target),
        )
        run.task = asyncio.ensure_future(self._run_item(run, step, route))

    async def _run_item(self, run: _Run, step: StepState, route: Route) -> None:
        name = (run.step_id, run.item.item_id)
        loop = asyncio.get_running_loop()
        pace = self._paces.setdefault(run.target.instance, _Pace())
        self._targets.started(run.target)
        began_s = loop.time()
        try:
            await self._stream(run, step, route, pace)
        except GenerationError as error:
            self._note_fault(run, step, route, error)
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
            self._runs.pop(name, None)
            self._wake.set()
        if run.draft.whole and name not in self._scoring:
            self._observer.record_s("item_run", loop.time() - began_s)
            self._words.info(
                "item=%s whole events=%d target=%s",
                run.item.item_id,
                run.draft.last_event_id,
                run.target.instance,
            )
            self._start_scoring(step, run.item, route, run.draft)

    async def _stream(self, run: _Run, step: StepState, route: Route, pace: _Pace) -> None:
        """Take the events of one run into the draft.

        :raises GenerationError: when the run ends before the text is whole.
        :raises TimeoutError: when the engine falls silent.
        """
        loop = asyncio.get_running_loop()
        draft = run.draft
        left_s = route.retention_s - (loop.time() - step.folded_at_s)
        call = GenerationCall(
            run.item.item_id,
            step.spec.host,
            run.item.raw_path,
            run.item.headers,
            run.item.body,
            draft.last_event_id,
            max(1.0, left_s) if route.retention_s > 0.0 else 60.0,
            ITEM_PRIORITY,
        )
        stream = self._engines.generate(call, run.target)
        last_s = loop.time()
        wait_s = FIRST_EVENT_S
        try:
            while True:
                async with asyncio.timeout(wait_s):
                    piece = await anext(stream, None)
                if piece is None:
                    break
                now_s = loop.time()
                if piece.version < step.spec.min_version:
                    raise GenerationError(f"made by version {piece.version}", GenerationEnd.BROKEN)
                if not draft.add(piece.event_id, piece.data, piece.version):
                    raise GenerationError(
                        f"event {piece.event_id} after {draft.last_event_id}",
                        GenerationEnd.BROKEN,
                    )
                if not draft.fits(step.spec.min_version, single_version=route.single_version):
                    draft.clear()
                    raise GenerationError("a second version", GenerationEnd.BROKEN)
                pace.version = max(pace.version, piece.version)
                run.events += 1
                if run.events > 1:
                    self._note_pace(pace, now_s - last_s)
                last_s = now_s
                wait_s = STALL_S
                if run.move:
                    raise GenerationError("a faster engine is free", GenerationEnd.REFUSED)
            if not draft.pieces:
                raise GenerationError("ended without an event", GenerationEnd.BROKEN)
            draft.whole = True
        finally:
            with suppress(GenerationError, asyncio.CancelledError):
                await stream.aclose()  # type: ignore[attr-defined]

    def _note_pace(self, pace: _Pace, pause_s: float) -> None:
        if pace.event_s == 0.0:
            pace.event_s = pause_s
        pace.event_s += PACE_GAIN * (pause_s - pace.event_s)

    def _note_fault(self, run: _Run, step: StepState, route: Route, error: GenerationError) -> None:
        now_s = asyncio.get_running_loop().time()
        name = (run.step_id, run.item.item_id)
        pace = self._paces.setdefault(run.target.instance, _Pace())
        self._words.warning(
            "item=%s target=%s ended=%s at_event=%d detail=%s",
            run.item.item_id,
            run.target.instance,
            error.reason.value,
            run.draft.last_event_id,
            error.detail,
        )
        self._item_rests_s[name] = now_s + ITEM_REST_S
        match error.reason:
            case GenerationEnd.IMPOSSIBLE:
                self._list(
                    step, run.item, ItemListed(run.step_id, run.item.item_id, False, "", (), "")
                )
            case GenerationEnd.FAILED:
                run.draft.failures += 1
                if run.draft.failures >= route.max_attempts:
                    self._list(
                        step,
                        run.item,
                        ItemListed(run.step_id, run.item.item_id, False, "", (), ""),
                    )
            case GenerationEnd.REFUSED:
                pace.rests_until_s = now_s + REFUSAL_REST_S
            case GenerationEnd.BROKEN | GenerationEnd.WRONG_INSTANCE:
                pace.rests_until_s = now_s + ENGINE_REST_S

    def _move_slow_runs(self, now_s: float) -> None:
        """Ask runs on slow engines to go on at a faster one that has room."""
        typical_s = self._typical_event_s()
        free = sum(
            engine.places - engine.running
            for engine in self._engine_views(now_s)
            if engine.accepts and engine.slowness < MOVE_SLOWNESS / 1.4
        )
        for run in self._runs.values():
            pace = self._paces.get(run.target.instance)
            if free <= 0 or pace is None:
                return
            if run.move or run.events < MOVE_AFTER_EVENTS:
                continue
            if pace.event_s > MOVE_SLOWNESS * typical_s:
                run.move = True
                free -= 1

    def _start_scoring(self, step: StepState, item: ItemSpec, route: Route, draft: Draft) -> None:
        name = (step.spec.step_id, item.item_id)
        self._scoring[name] = asyncio.ensure_future(self._score(step, item, route, draft))

    async def _score(self, step: StepState, item: ItemSpec, route: Route, draft: Draft) -> None:
        name = (step.spec.step_id, item.item_id)
        try:
            score = ""
            if item.reward is not None:
                score = await self._reward(step, item, route)
            completed = item.reward is None or bool(score)
            result = ItemListed(
                step.spec.step_id,
                item.item_id,
                completed,
                draft.text() if completed else "",
                draft.version_set() if completed else (),
                score,
            )
            self._list(step, item, result)
        finally:
            self._scoring.pop(name, None)
            self._wake.set()

    async def _reward(self, step: StepState, item: ItemSpec, route: Route) -> str:
        """Return the signature of the reward call, or an empty text if it fails for good."""
        loop = asyncio.get_running_loop()
        failures = 0
        assert item.reward is not None
        reward = item.reward
        while True:
            reward_route = self._routes.find(reward.host, reward.raw_path)
            if reward_route is None:
                await asyncio.sleep(REWARD_RETRY_S)
                continue
            if failures >= max(route.max_attempts, reward_route.max_attempts):
                self._words.warning("item=%s reward failed %d times", item.item_id, failures)
                return ""
            places = self._places(reward_route)
            async with places:
                began_s = loop.time()
                call = Call(
                    reward.request_id,
                    "POST",
                    reward.raw_path,
                    reward.host,
                    (),
                    reward.body,
                    began_s,
                    began_s + REWARD_BUDGET_S,
                )
                try:
                    answer = await self._forwarder.forward(
                        call, reward_route._replace(max_attempts=2)
                    )
                except RequestError as error:
                    self._words.warning(
                        "item=%s reward=%s got no answer: %s",
                        item.item_id,
                        reward.request_id,
                        error.detail,
                    )
                    await asyncio.sleep(REWARD_RETRY_S)
                    continue
            if 200 <= answer.status < 300 and answer.signature:
                self._observer.record_s("reward_call", loop.time() - began_s)
                return answer.signature
            if answer.status == REWARD_FAILURE_STATUS:
                failures += 1
            else:
                await asyncio.sleep(REWARD_RETRY_S)

    def _places(self, route: Route) -> asyncio.Semaphore:
        """Return the bound on this runner's calls to a reward's service."""
        service = route.services[0].service
        places = self._reward_places.get(service)
        if places is None:
            slots = sum(target.slots for target in self._targets.serving(service))
            if slots == 0:
                return asyncio.Semaphore(1)
            places = asyncio.Semaphore(max(1, int(slots * REWARD_SHARE)))
            self._reward_places[service] = places
        return places

    def _list(self, step: StepState, item: ItemSpec, result: ItemListed) -> None:
        name = (step.spec.step_id, item.item_id)
        self._handed_in.add(name)
        self._words.info(
            "item=%s step=%s completed=%s versions=%s",
            item.item_id,
            name[0],
            result.completed,
            list(result.versions),
        )
        self._step_log.list_result(result)


def _is_pressed(ordered: Sequence[PendingItem], placed: int, token_s: float) -> bool:
    """Whether an item that found no place has little time left to spare."""
    return any(
        item.due_in_s - item.expected_tokens * token_s < PRESSED_SPARE_S
        for item in ordered[placed:]
    )


def _expected_tokens(item: ItemSpec) -> int:
    """Return the trainer's estimate of an item's length, bounded by its maximum."""
    if item.hinted_tokens <= 0:
        return item.most_tokens
    return min(item.most_tokens, item.hinted_tokens)
