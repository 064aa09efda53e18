"""Bench of planning: which item starts next and on which engine, in simulated time.

The planner of a service's runner places the steps of trainers on engines. The workloads are taken
from simulated days of the whole system; the baselines are the two simplest planners. No nodes,
sockets or clocks are involved, so the figures depend on the seed alone. Workloads on engines of
different speed are replayed by :mod:`._uneven_engines`.
"""

import random
from collections.abc import Iterator, Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..durable import (
    EngineView,
    GroupNeed,
    PendingItem,
    Placement,
    UnfinishedItem,
    groups_to_start_last,
    order_items,
    place_items,
    planned_tokens,
)
from ._harness import BenchResult, BenchRow, run_repeats
from ._uneven_engines import Planner, UnevenReplay
from ._uneven_load import UNEVEN_WORKLOADS, UnevenWorkload

DEFAULT_SEED: Final = 7
REPEATS: Final = 6
UNEVEN_REPEATS: Final = 3
# One current site: engines, slots and memory of each, and its trainer's steps.
ENGINE_COUNT: Final = 5
SLOTS_PER_ENGINE: Final = 12
MEMORY_TOKENS_PER_ENGINE: Final = 44_918
GROUPS_PER_STEP: Final = 47
GROUP_SIZE: Final = 4
REQUIRED_GROUP_SHARE: Final = 0.9
STEP_INTERVAL_S: Final = 4.0
STEP_DEADLINE_S: Final = 7.5
STEP_TIMEOUT_S: Final = 12.0
TRAINING_S: Final = 0.5
PROMPT_TOKENS: Final = 271
TOKENS_PER_EVENT: Final = 64
SECONDS_PER_EVENT: Final = 0.04
# Lengths in events are log-normal; a share of them is ``TAIL_FACTOR`` times as long.
MEAN_EVENTS: Final = 23.8
LENGTH_SIGMA: Final = 0.84
TAIL_SHARE: Final = 0.08
TAIL_FACTOR: Final = 5.0
MAX_EVENTS: Final = 171
HINT_SIGMA: Final = 0.5
TICK_S: Final = 0.05
DURATION_S: Final = 40.0


class EngineFault(NamedTuple):
    """A fault of the first ``engines`` engines that starts at ``at_s`` and lasts ``duration_s``.

    They take ``slowdown`` times as long for an event. A value of 0 means that they are down and
    that their runs are lost.
    """

    at_s: float
    duration_s: float
    engines: int
    slowdown: float


class Workload(NamedTuple):
    """A workload: steps of ``scale`` times the usual size, and faults of engines."""

    name: str
    scale: float = 1.0
    trainers: int = 1
    faults: Sequence[EngineFault] = ()


WORKLOADS: Final[Sequence[Workload]] = (
    Workload("calm", 0.6),
    Workload("peak", 1.1),
    Workload("burst", 0.8, trainers=2),
    Workload("a fifth crashes", 1.0, faults=[EngineFault(8.0, 5.0, 1, 0.0)]),
    Workload("a fifth is slow", 1.0, faults=[EngineFault(6.0, 8.0, 1, 3.5)]),
    Workload("everything restarts", 1.0, faults=[EngineFault(14.0, 1.5, ENGINE_COUNT, 0.0)]),
)

SECONDS_PER_TOKEN: Final = SECONDS_PER_EVENT / TOKENS_PER_EVENT


def plan_by_slack(
    pending: Sequence[PendingItem],
    engines: Sequence[EngineView],
    optional: Set[tuple[str, str]],
    token_s: float,
) -> Sequence[Placement]:
    """Plan as a service's runner does: the items with the least slack first."""
    return place_items(order_items(pending, optional, token_s), engines, token_s)


def plan_in_arrival_order(
    pending: Sequence[PendingItem],
    engines: Sequence[EngineView],
    optional: Set[tuple[str, str]],
    token_s: float,
) -> Sequence[Placement]:
    """Start items in order of arrival, each on the engine with fewest runs; ignore memory."""
    del optional, token_s
    views = {engine.instance: engine for engine in engines if engine.accepts}
    placements = []
    for item in pending:
        free = [view for view in views.values() if view.running < view.slots]
        if not free:
            break
        best = min(free, key=lambda view: view.running)
        views[best.instance] = best._replace(running=best.running + 1)
        placements.append(Placement(item, best.instance, 0))
    return placements


def plan_shortest_first(
    pending: Sequence[PendingItem],
    engines: Sequence[EngineView],
    optional: Set[tuple[str, str]],
    token_s: float,
) -> Sequence[Placement]:
    """Start the items with the fewest expected tokens first."""
    by_length = sorted(pending, key=lambda item: item.expected_tokens)
    return plan_in_arrival_order(by_length, engines, optional, token_s)


VARIANTS: Final[Mapping[str, Planner]] = {
    "by spare time": plan_by_slack,
    "first come": plan_in_arrival_order,
    "shortest first": plan_shortest_first,
}


@dataclass
class _Item:
    step: "_Step"
    item_id: str
    group: str
    events: int
    hint_tokens: int
    events_done: int = 0
    progress_s: float = 0.0
    engine: int = -1


@dataclass
class _Step:
    step_id: str
    trainer: int
    requested_at_s: float
    items: list[_Item]
    ended_at_s: float = -1.0
    is_complete: bool = False
    remaining: dict[str, int] = field(default_factory=dict)

    @property
    def required_groups(self) -> int:
        return int(len(self.remaining) * REQUIRED_GROUP_SHARE)


class PlanningReplay:
    """Simulates one workload with one planner."""

    def __init__(self, workload: Workload, plan: Planner, seed: int) -> None:
        """Draw the same lengths and hints from ``seed`` for every planner."""
        self._workload = workload
        self._plan = plan
        self._rng = random.Random(seed)
        self.now_s = 0.0
        self.steps: list[_Step] = []
        self.most_running = 0

    def run(self) -> Mapping[str, float]:
        """Run the simulation and return its figures."""
        while self.now_s < DURATION_S:
            self._request_steps()
            self._start_items()
            self._advance()
            self.now_s += TICK_S
        ended = [step for step in self.steps if step.ended_at_s >= 0.0]
        took_s = [step.ended_at_s - step.requested_at_s for step in ended]
        generated = sum(item.events_done for step in self.steps for item in step.items)
        wasted = sum(
            i.events_done for step in ended for i in step.items if i.events_done < i.events
        )
        in_time = sum(
            step.is_complete and took <= STEP_DEADLINE_S
            for step, took in zip(ended, took_s, strict=True)
        )
        return {
            "steps": float(len(ended)),
            "whole_in_time": in_time / len(ended),
            "step_s": sum(took_s) / len(took_s),
            "wasted_share": wasted / generated,
        }

    def _request_steps(self) -> None:
        """Request each trainer's next step, up to one step ahead of the step in progress."""
        for trainer in range(self._workload.trainers):
            own_steps = [step for step in self.steps if step.trainer == trainer]
            open_steps = [step for step in own_steps if step.ended_at_s < 0.0]
            previous = own_steps[-2] if len(own_steps) >= 2 else None
            trained = previous is None or 0.0 <= previous.ended_at_s <= self.now_s - TRAINING_S
            if len(open_steps) < 2 and trained and self.now_s >= STEP_INTERVAL_S * len(own_steps):
                self.steps.append(self._draw_step(trainer, len(own_steps)))

    def _draw_step(self, trainer: int, number: int) -> _Step:
        step = _Step(f"t{trainer}-{number}", trainer, self.now_s, [])
        for group in range(max(1, round(GROUPS_PER_STEP * self._workload.scale))):
            group_id = f"{step.step_id}-g{group}"
            step.remaining[group_id] = GROUP_SIZE
            for number_in_group in range(GROUP_SIZE):
                events = draw_events(self._rng)
                hint_tokens = draw_hint_tokens(self._rng, events)
                step.items.append(
                    _Item(step, f"{group_id}-{number_in_group}", group_id, events, hint_tokens)
                )
        return step

    def _start_items(self) -> None:
        open_steps = [step for step in self.steps if step.ended_at_s < 0.0]
        waiting = {
            item.item_id: item
            for step in open_steps
            for item in step.items
            if item.engine < 0 and item.events_done < item.events
        }
        if not waiting:
            return
        pending = [self._pending_item(item) for item in waiting.values()]
        engines = self._engine_views()
        needs = _group_needs(open_steps)
        unfinished = _unfinished_items(open_steps)
        optional = groups_to_start_last(pending, unfinished, needs, engines, SECONDS_PER_TOKEN)
        placements = self._plan(pending, engines, optional, SECONDS_PER_TOKEN)
        for placement in placements:
            waiting[placement.item.item_id].engine = int(placement.instance)

    def _pending_item(self, item: _Item) -> PendingItem:
        tokens_done = item.events_done * TOKENS_PER_EVENT
        due_in_s = item.step.requested_at_s + STEP_DEADLINE_S - self.now_s
        return PendingItem(
            item.step.step_id,
            item.item_id,
            item.group,
            due_in_s,
            False,
            max(TOKENS_PER_EVENT, item.hint_tokens - tokens_done),
            PROMPT_TOKENS + tokens_done,
            1,
            "m",
        )

    def _engine_views(self) -> Sequence[EngineView]:
        views = []
        for engine in range(ENGINE_COUNT):
            runs = self._runs_of(engine)
            slowdown = self._slowdown(engine)
            planned = sum(planned_tokens(self._pending_item(run), is_long=False) for run in runs)
            views.append(
                EngineView(
                    str(engine),
                    {"m": 1},
                    SLOTS_PER_ENGINE,
                    MEMORY_TOKENS_PER_ENGINE,
                    len(runs),
                    planned,
                    max(1.0, slowdown),
                    slowdown > 0.0,
                    frozenset(),
                )
            )
        return views

    def _runs_of(self, engine: int) -> Sequence[_Item]:
        return [
            item
            for step in self.steps
            if step.ended_at_s < 0.0
            for item in step.items
            if item.engine == engine
        ]

    def _slowdown(self, engine: int) -> float:
        for fault in self._workload.faults:
            if engine < fault.engines and 0.0 <= self.now_s - fault.at_s < fault.duration_s:
                return fault.slowdown
        return 1.0

    def _advance(self) -> None:
        """Generate the events of a tick; return the runs of an engine that is down to the queue."""
        running = 0
        for engine in range(ENGINE_COUNT):
            slowdown = self._slowdown(engine)
            runs = self._runs_of(engine)
            running = max(running, len(runs))
            for item in runs:
                if slowdown == 0.0:
                    item.engine = -1
                    continue
                item.progress_s += TICK_S / slowdown
                new = int(item.progress_s / SECONDS_PER_EVENT)
                item.progress_s -= new * SECONDS_PER_EVENT
                item.events_done = min(item.events, item.events_done + new)
                if item.events_done == item.events:
                    item.engine = -1
                    item.step.remaining[item.group] -= 1
        self.most_running = max(self.most_running, running)
        for step in self.steps:
            self._end_if_due(step)

    def _end_if_due(self, step: _Step) -> None:
        """End a step once enough of its groups are complete or its timeout has passed."""
        if step.ended_at_s >= 0.0:
            return
        complete_groups = sum(remaining == 0 for remaining in step.remaining.values())
        step.is_complete = complete_groups >= step.required_groups
        if step.is_complete or self.now_s - step.requested_at_s >= STEP_TIMEOUT_S:
            step.ended_at_s = self.now_s
            for item in step.items:
                item.engine = -1


def draw_hint_tokens(rng: random.Random, events: int) -> int:
    """Draw a hint of a text's length in tokens: log-normal, its median at the true length."""
    return max(
        TOKENS_PER_EVENT, int(events * rng.lognormvariate(0.0, HINT_SIGMA) * TOKENS_PER_EVENT)
    )


def draw_events(rng: random.Random) -> int:
    """Draw a text's length in events."""
    mean = MEAN_EVENTS / (1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0))
    events = mean * rng.lognormvariate(-LENGTH_SIGMA * LENGTH_SIGMA / 2.0, LENGTH_SIGMA)
    if rng.random() < TAIL_SHARE:
        events *= TAIL_FACTOR
    return max(1, min(MAX_EVENTS, round(events)))


async def run(seed: int) -> BenchResult:
    """Simulate every workload with every planner."""
    rows: list[BenchRow] = []
    for name, plan in VARIANTS.items():
        runs = []
        for workload in WORKLOADS:

            async def run_once(
                run_seed: int, workload: Workload = workload, plan: Planner = plan
            ) -> Mapping[str, float]:
                return PlanningReplay(workload, plan, run_seed).run()

            runs.append((workload, await run_repeats(name, run_once, seed, REPEATS)))
        figures = {
            f"{workload.name}: in time": row.figures["whole_in_time"] for workload, row in runs
        }
        figures |= {f"{workload.name}: step_s": row.figures["step_s"] for workload, row in runs}
        rows.append(BenchRow(name, REPEATS, figures))
    note = (
        f"steps of {GROUPS_PER_STEP}x{GROUP_SIZE} items on {ENGINE_COUNT} engines with "
        f"{SLOTS_PER_ENGINE} slots; in time: share of steps with {REQUIRED_GROUP_SHARE:.0%} of "
        f"their groups complete within {STEP_DEADLINE_S} s"
    )
    parts = [await _run_uneven(workload, seed) for workload in UNEVEN_WORKLOADS]
    return BenchResult("planning", seed, rows, note, parts)


async def _run_uneven(workload: UnevenWorkload, seed: int) -> BenchResult:
    """Simulate a workload on engines of different speed with every planner."""
    rows = []
    for name, plan in VARIANTS.items():

        async def run_once(run_seed: int, plan: Planner = plan) -> Mapping[str, float]:
            return UnevenReplay(workload, plan, run_seed).run()

        rows.append(await run_repeats(name, run_once, seed, UNEVEN_REPEATS))
    note = "late: share of the needed groups that are late; moves and connections in a minute"
    return BenchResult(f"planning, engines of different speed: {workload.name}", seed, rows, note)


def _group_needs(steps: Sequence[_Step]) -> Mapping[str, GroupNeed]:
    return {step.step_id: GroupNeed(len(step.remaining), step.required_groups) for step in steps}


def _unfinished_items(steps: Sequence[_Step]) -> Iterator[UnfinishedItem]:
    return (
        UnfinishedItem(
            step.step_id,
            item.group,
            item.hint_tokens - item.events_done * TOKENS_PER_EVENT,
            carried=False,
        )
        for step in steps
        for item in step.items
        if item.events_done < item.events
    )
