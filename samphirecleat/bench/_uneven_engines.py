"""Replay of steps on engines of different speed, in simulated time.

Load pattern: four trainers request steps of 64 to 80 items every 4 s on engines of speeds 0.6, 1.0
and 1.6. Lengths have a long tail and hints are poor. Engines slow down for fractions of a second,
and some for seconds. The estimates and decisions are those of a service's runner; the load of its
node, its log and its scorer are left out.
"""

import heapq
import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence, Set
from dataclasses import dataclass, field

from ..durable import (
    EngineStatsTable,
    EngineView,
    GroupNeed,
    MoveReason,
    PendingItem,
    Placement,
    RunView,
    UnfinishedItem,
    expected_remaining_events,
    groups_to_start_last,
    optional_groups,
    runs_to_move,
)
from ._uneven_load import (
    DURATION_S,
    ENGINE_COUNT,
    EVENT_INTERVAL_S,
    EVENT_SIGMA,
    GROUP_SIZE,
    GROUPS_PER_STEP,
    HINT_SIGMA,
    LEAVING_S,
    LISTING_S,
    LOAD_INTERVAL_S,
    LOAD_S,
    MAX_EVENTS,
    MEAN_EVENTS,
    MEMORY_TOKENS_PER_ENGINE,
    MOVE_BACKOFF_S,
    MOVE_CHECK_INTERVAL_S,
    NEW_CONNECTION_S,
    PLAN_INTERVAL_S,
    PROMPT_S,
    PROMPT_TOKENS,
    REQUIRED_GROUP_SHARE,
    SLOTS_PER_ENGINE,
    STEP_INTERVAL_S,
    STEP_TIMEOUT_S,
    TOKENS_PER_EVENT,
    UnevenWorkload,
    draw_events,
    short_slowdowns,
)

Planner = Callable[
    [Sequence[PendingItem], Sequence[EngineView], Set[tuple[str, str]], float],
    Sequence[Placement],
]


@dataclass
class _Text:
    step: "_OpenStep"
    name: tuple[str, str]
    group: str
    events: int
    hint_events: int
    made: int = 0
    done: bool = False
    run: "_Run | None" = None
    moved: bool = False

    @property
    def remaining_events(self) -> int:
        return expected_remaining_events(self.made, self.hint_events, MAX_EVENTS)


@dataclass
class _Run:
    text: _Text
    engine: int
    planned_tokens: int
    last_event_s: float
    events: int = 0
    moving: bool = False
    ended: bool = False


@dataclass
class _OpenStep:
    step_id: str
    trainer: int
    requested_at_s: float
    texts: list[_Text] = field(default_factory=list)
    left: Counter[str] = field(default_factory=Counter)
    group_done_s: dict[str, float] = field(default_factory=dict)
    ended_at_s: float = math.inf

    @property
    def required_groups(self) -> int:
        return math.floor(len(self.left) * REQUIRED_GROUP_SHARE)


class UnevenReplay:
    """Simulates one workload with one planner."""

    def __init__(self, workload: UnevenWorkload, plan: Planner, seed: int) -> None:
        """Draw the same lengths, hints and slowdowns from ``seed`` for every planner."""
        self._workload = workload
        self._plan = plan
        self._lengths = random.Random(seed)
        self._noise = random.Random(seed + 1)
        self._faults = list(workload.faults) + short_slowdowns(random.Random(seed + 2))
        offset_s = 0.0 if workload.together else STEP_INTERVAL_S / len(MEAN_EVENTS)
        self._next_step_s = [offset_s * trainer for trainer in range(len(MEAN_EVENTS))]
        self._stats = EngineStatsTable()
        self._queue: list[tuple[float, int, _Run]] = []
        self._pushed = 0
        self._idle = Counter[int]()
        self._runs: dict[int, list[_Run]] = defaultdict(list)
        self._now_s = 0.0
        self._next_move_check_s = 0.0
        self.steps: list[_OpenStep] = []
        self.moves = Counter[str]()
        self.connections = 0
        self.most_running = 0

    def run(self) -> Mapping[str, float]:
        """Run the simulation and return its figures."""
        while self._now_s < DURATION_S + STEP_TIMEOUT_S:
            self._request_steps()
            self._end_steps()
            self._plan_once()
            self._now_s += PLAN_INTERVAL_S
            while self._queue and self._queue[0][0] <= self._now_s:
                at_s, _number, run = heapq.heappop(self._queue)
                self._event(run, at_s)
        return self._figures()

    def _figures(self) -> Mapping[str, float]:
        took_s = sorted(step.ended_at_s - step.requested_at_s for step in self.steps)
        in_time: dict[int, list[bool]] = defaultdict(list)
        late_groups = required = late_texts = 0
        for step in self.steps:
            due_s = step.requested_at_s + self._workload.deadline_s
            done = sum(done_s <= due_s for done_s in step.group_done_s.values())
            late_groups += max(0, step.required_groups - done)
            required += step.required_groups
            in_time[step.trainer].append(step.ended_at_s <= due_s)
            if step.ended_at_s > due_s:
                late_texts += sum(step.left[group] for group in step.left)
        shares = [sum(flags) / len(flags) for flags in in_time.values()]
        return {
            "in_time": sum(map(sum, in_time.values())) / len(self.steps),
            "worst_kind": min(shares),
            "late_groups": late_groups / required,
            "late_texts": float(late_texts),
            "step_s": sum(took_s) / len(took_s),
            "p95_s": took_s[int(0.95 * len(took_s))],
            "moves": float(sum(self.moves.values())),
            "connections": float(self.connections),
        }

    def _request_steps(self) -> None:
        if self._now_s >= DURATION_S:
            return
        for trainer, next_s in enumerate(self._next_step_s):
            open_steps = sum(
                step.trainer == trainer and step.ended_at_s == math.inf for step in self.steps[-16:]
            )
            if self._now_s >= next_s and open_steps < 2:
                self.steps.append(self._draw_step(trainer))
                self._next_step_s[trainer] += STEP_INTERVAL_S

    def _draw_step(self, trainer: int) -> _OpenStep:
        rng = self._lengths
        step = _OpenStep(f"s{len(self.steps)}", trainer, self._now_s)
        for group in range(round(rng.randint(*GROUPS_PER_STEP) * self._workload.scale)):
            group_id = f"{step.step_id}-{group}"
            step.left[group_id] = GROUP_SIZE
            for number in range(GROUP_SIZE):
                events = draw_events(rng, MEAN_EVENTS[trainer])
                hint = max(1, min(MAX_EVENTS, round(events * rng.lognormvariate(0.0, HINT_SIGMA))))
                name = (step.step_id, f"{group_id}-{number}")
                step.texts.append(_Text(step, name, group_id, events, hint))
        return step

    def _open_steps(self) -> list[_OpenStep]:
        return [step for step in self.steps[-24:] if step.ended_at_s == math.inf]

    def _end_steps(self) -> None:
        for step in self._open_steps():
            complete = sum(done_s <= self._now_s for done_s in step.group_done_s.values())
            timed_out = self._now_s - step.requested_at_s >= STEP_TIMEOUT_S
            if complete >= step.required_groups or timed_out:
                step.ended_at_s = self._now_s
                for text in step.texts:
                    if text.run is not None:
                        self._end_run(text.run)

    def _plan_once(self) -> None:
        steps = self._open_steps()
        waiting = {
            text.name: text
            for step in steps
            for text in step.texts
            if not text.done and text.run is None
        }
        placed = 0
        if waiting:
            pending = [self._pending_item(text) for text in waiting.values()]
            token_s = self._stats.median_event_interval_s() / TOKENS_PER_EVENT
            engines = self._engine_views()
            needs = _group_needs(steps)
            unfinished = _unfinished_items(steps)
            optional = groups_to_start_last(pending, unfinished, needs, engines, token_s)
            placements = self._plan(pending, engines, optional, token_s)
            placed = len(placements)
            for placement in placements:
                text = waiting[(placement.item.step_id, placement.item.item_id)]
                self._start(text, int(placement.instance), placement.planned_tokens)
        if placed == len(waiting) and self._now_s >= self._next_move_check_s:
            self._next_move_check_s = self._now_s + MOVE_CHECK_INTERVAL_S
            needs, unfinished = _group_needs(steps), _unfinished_items(steps)
            self._move_runs(optional_groups(unfinished, needs, long_queue=False))

    def _pending_item(self, text: _Text) -> PendingItem:
        return PendingItem(
            text.step.step_id,
            text.name[1],
            text.group,
            text.step.requested_at_s + self._workload.deadline_s - self._now_s,
            False,
            max(1, text.remaining_events) * TOKENS_PER_EVENT,
            PROMPT_TOKENS + text.made * TOKENS_PER_EVENT,
            1,
            "m",
        )

    def _engine_views(self) -> Sequence[EngineView]:
        median_s = self._stats.median_event_interval_s()
        views = []
        for engine in range(ENGINE_COUNT):
            runs = self._runs[engine]
            name = str(engine)
            if self._factor(engine) == 0.0:
                continue
            views.append(
                EngineView(
                    name,
                    {} if self._load_left_s(engine, self._now_s) > 0.0 else {"m": 1},
                    SLOTS_PER_ENGINE,
                    MEMORY_TOKENS_PER_ENGINE,
                    len(runs),
                    sum(run.planned_tokens for run in runs),
                    self._stats.slowness(name, median_s),
                    self._stats.of(name).backoff_until_s <= self._now_s,
                    frozenset(),
                    self._idle[engine] > 0,
                )
            )
        return views

    def _start(self, text: _Text, engine: int, planned: int) -> None:
        delay_s = PROMPT_S * (1.0 + text.made * TOKENS_PER_EVENT / 1000.0)
        if self._idle[engine] > 0:
            self._idle[engine] -= 1
        else:
            self.connections += 1
            delay_s += NEW_CONNECTION_S
        run = _Run(text, engine, planned, self._now_s)
        text.run = run
        self._runs[engine].append(run)
        self.most_running = max(self.most_running, len(self._runs[engine]))
        self._push(run, self._now_s + delay_s)

    def _push(self, run: _Run, from_s: float) -> None:
        speed = self._workload.speeds[run.engine % len(self._workload.speeds)]
        factor = self._factor(run.engine) or 1.0
        interval_s = EVENT_INTERVAL_S / speed * factor
        interval_s *= self._noise.lognormvariate(0.0, EVENT_SIGMA)
        self._pushed += 1
        at_s = from_s + interval_s
        at_s += self._load_left_s(run.engine, at_s)
        heapq.heappush(self._queue, (at_s, self._pushed, run))

    def _event(self, run: _Run, at_s: float) -> None:
        if run.ended:
            return
        text = run.text
        if self._is_gone(run.engine, at_s):
            self._end_run(run)
            return
        text.made += 1
        run.events += 1
        if run.events > 1:
            self._stats.of(str(run.engine)).record_event_interval(at_s - run.last_event_s, at_s)
        run.last_event_s = at_s
        if text.made >= text.events:
            self._complete(run, at_s)
        elif run.moving:
            self._end_run(run)
            self._stats.of(str(run.engine)).backoff_until_s = at_s + MOVE_BACKOFF_S
        else:
            self._push(run, at_s)

    def _complete(self, run: _Run, at_s: float) -> None:
        text, step = run.text, run.text.step
        self._end_run(run)
        self._idle[run.engine] += 1
        text.done = True
        step.left[text.group] -= 1
        if step.left[text.group] == 0:
            step.group_done_s[text.group] = at_s + LISTING_S

    def _end_run(self, run: _Run) -> None:
        run.ended = True
        run.text.run = None
        self._runs[run.engine].remove(run)

    def _move_runs(self, optional: Set[tuple[str, str]]) -> None:
        engines = self._engine_views()
        accepting = {engine.instance for engine in engines}
        by_name = {run.text.name: run for runs in self._runs.values() for run in runs}
        views = [self._run_view(run, accepting, optional) for run in by_name.values()]
        for move in runs_to_move(views, engines):
            run = by_name[move.run.name]
            run.moving = True
            run.text.moved |= move.reason is not MoveReason.LEAVING
            self.moves[move.reason.value] += 1

    def _run_view(self, run: _Run, accepting: Set[str], optional: Set[tuple[str, str]]) -> RunView:
        text, instance = run.text, str(run.engine)
        event_s = self._stats.median_event_interval_s()
        return RunView(
            text.name,
            self._stats.slowness(instance, event_s),
            run.events,
            run.moving,
            text.remaining_events * event_s,
            text.step.requested_at_s + self._workload.deadline_s - self._now_s,
            math.inf if instance in accepting else LEAVING_S,
            "m",
            1,
            text.moved,
            (text.step.step_id, text.group) not in optional,
        )

    def _factor(self, engine: int) -> float:
        """Return the slowdown of an engine now, 0.0 if it leaves or has left."""
        factor = 1.0
        for fault in self._faults:
            if not 0.0 <= self._now_s - fault.at_s < fault.duration_s:
                continue
            if (engine - fault.first) % ENGINE_COUNT < fault.engines:
                factor *= fault.slowdown
        return factor

    def _load_left_s(self, engine: int, at_s: float) -> float:
        """Return how long an engine still loads weights, 0.0 if it does not."""
        since_s = (at_s - LOAD_INTERVAL_S * engine / ENGINE_COUNT) % LOAD_INTERVAL_S
        return max(0.0, LOAD_S - since_s)

    def _is_gone(self, engine: int, at_s: float) -> bool:
        return any(
            fault.slowdown == 0.0
            and LEAVING_S <= at_s - fault.at_s < fault.duration_s
            and (engine - fault.first) % ENGINE_COUNT < fault.engines
            for fault in self._workload.faults
        )


def _group_needs(steps: Sequence[_OpenStep]) -> Mapping[str, GroupNeed]:
    return {step.step_id: GroupNeed(len(step.left), step.required_groups) for step in steps}


def _unfinished_items(steps: Sequence[_OpenStep]) -> Iterator[UnfinishedItem]:
    return (
        UnfinishedItem(
            step.step_id, text.group, text.remaining_events * TOKENS_PER_EVENT, carried=False
        )
        for step in steps
        for text in step.texts
        if not text.done
    )
