"""Planning: which item starts next and on which engine, replayed in simulated time.

The decision code of a service's runner places the steps of trainers on engines under load
patterns taken from played days; the baselines are the two simplest ways to place. No node, no
socket and no clock takes part, so a seed gives the same figures each time.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ..durable import EngineView, PendingItem, Placement, order_items, place_items, planned_tokens
from ._harness import BenchResult, BenchRow, run_repeats

DEFAULT_SEED: Final = 7
REPEATS: Final = 6
# One site of today: engines, places and memory of each, and its trainer's steps.
ENGINES: Final = 5
PLACES: Final = 12
MEMORY_TOKENS: Final = 44_918
GROUPS: Final = 47
GROUP_SIZE: Final = 4
WANTED_SHARE: Final = 0.9
EVERY_S: Final = 4.0
DUE_S: Final = 7.5
GIVE_UP_S: Final = 12.0
TRAIN_S: Final = 0.5
PROMPT_TOKENS: Final = 271
TOKENS_PER_EVENT: Final = 64
EVENT_S: Final = 0.04
# Lengths in events: mostly short, some five times as long.
MEAN_EVENTS: Final = 23.8
SPREAD: Final = 0.84
TAIL_SHARE: Final = 0.08
TAIL_TIMES: Final = 5.0
MOST_EVENTS: Final = 171
HINT_SPREAD: Final = 0.5
TICK_S: Final = 0.05
END_S: Final = 40.0


class Trouble(NamedTuple):
    """From ``at_s`` on, for ``for_s``, the first ``engines`` take ``slowness`` times as long.

    A slowness of 0 means that they are gone, and their runs with them.
    """

    at_s: float
    for_s: float
    engines: int
    slowness: float


class LoadPattern(NamedTuple):
    """A load to replay: steps of ``scale`` times the usual size, and what goes wrong."""

    name: str
    scale: float = 1.0
    trainers: int = 1
    troubles: Sequence[Trouble] = ()


PATTERNS: Final[Sequence[LoadPattern]] = (
    LoadPattern("calm", 0.6),
    LoadPattern("peak", 1.1),
    LoadPattern("burst", 0.8, trainers=2),
    LoadPattern("a fifth crashes", 1.0, troubles=[Trouble(8.0, 5.0, 1, 0.0)]),
    LoadPattern("a fifth is slow", 1.0, troubles=[Trouble(6.0, 8.0, 1, 3.5)]),
    LoadPattern("everything restarts", 1.0, troubles=[Trouble(14.0, 1.5, ENGINES, 0.0)]),
)

Plan = Callable[
    [Sequence[PendingItem], Sequence[EngineView], Mapping[str, float]], Sequence[Placement]
]
TOKEN_S: Final = EVENT_S / TOKENS_PER_EVENT


def plan_by_spare_time(
    pending: Sequence[PendingItem], engines: Sequence[EngineView], shares: Mapping[str, float]
) -> Sequence[Placement]:
    """Plan as a service's runner does."""
    return place_items(order_items(pending, shares, TOKEN_S), engines, TOKEN_S)


def plan_first_come(
    pending: Sequence[PendingItem], engines: Sequence[EngineView], shares: Mapping[str, float]
) -> Sequence[Placement]:
    """Start items as they came, each on the engine with fewest runs; memory is not planned."""
    del shares
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
    pending: Sequence[PendingItem], engines: Sequence[EngineView], shares: Mapping[str, float]
) -> Sequence[Placement]:
    """Start what is expected to end first, so that many items end early."""
    return plan_first_come(sorted(pending, key=lambda i: i.expected_tokens), engines, shares)


VARIANTS: Final[Mapping[str, Plan]] = {
    "by spare time": plan_by_spare_time,
    "first come": plan_first_come,
    "shortest first": plan_shortest_first,
}


@dataclass
class _Item:
    step: "_Step"
    item_id: str
    group: str
    events: int
    hint_tokens: int
    made: int = 0
    progress_s: float = 0.0
    engine: int = -1


@dataclass
class _Step:
    step_id: str
    trainer: int
    asked_at_s: float
    items: list[_Item]
    ended_at_s: float = -1.0
    whole: bool = False
    left: dict[str, int] = field(default_factory=dict)

    @property
    def wanted_groups(self) -> int:
        return int(len(self.left) * WANTED_SHARE)


class Replay:
    """One load pattern under one way to plan."""

    def __init__(self, pattern: LoadPattern, plan: Plan, seed: int) -> None:
        """Draw lengths and hints from ``seed``, the same for every way to plan."""
        self._pattern = pattern
        self._plan = plan
        self._rng = random.Random(seed)
        self.now_s = 0.0
        self.steps: list[_Step] = []
        self.most_running = 0

    def run(self) -> Mapping[str, float]:
        """Play the pattern to its end and return its figures."""
        while self.now_s < END_S:
            self._ask()
            self._start()
            self._advance()
            self.now_s += TICK_S
        ended = [step for step in self.steps if step.ended_at_s >= 0.0]
        took_s = [step.ended_at_s - step.asked_at_s for step in ended]
        made = sum(item.made for step in self.steps for item in step.items)
        wasted = sum(i.made for step in ended for i in step.items if i.made < i.events)
        in_time = sum(
            step.whole and took <= DUE_S for step, took in zip(ended, took_s, strict=True)
        )
        return {
            "steps": float(len(ended)),
            "whole_in_time": in_time / len(ended),
            "step_s": sum(took_s) / len(took_s),
            "wasted_share": wasted / made,
        }

    def _ask(self) -> None:
        """Have each trainer ask for its next step: in turn, and one step ahead."""
        for trainer in range(self._pattern.trainers):
            mine = [step for step in self.steps if step.trainer == trainer]
            open_steps = [step for step in mine if step.ended_at_s < 0.0]
            before = mine[-2] if len(mine) >= 2 else None
            trained = before is None or 0.0 <= before.ended_at_s <= self.now_s - TRAIN_S
            if len(open_steps) < 2 and trained and self.now_s >= EVERY_S * len(mine):
                self.steps.append(self._draw_step(trainer, len(mine)))

    def _draw_step(self, trainer: int, number: int) -> _Step:
        step = _Step(f"t{trainer}-{number}", trainer, self.now_s, [])
        for group in range(max(1, round(GROUPS * self._pattern.scale))):
            name = f"{step.step_id}-g{group}"
            step.left[name] = GROUP_SIZE
            for number_in_group in range(GROUP_SIZE):
                events = draw_events(self._rng)
                hint_tokens = draw_hint_tokens(self._rng, events)
                step.items.append(
                    _Item(step, f"{name}-{number_in_group}", name, events, hint_tokens)
                )
        return step

    def _start(self) -> None:
        open_steps = [step for step in self.steps if step.ended_at_s < 0.0]
        waiting = {
            item.item_id: item
            for step in open_steps
            for item in step.items
            if item.engine < 0 and item.made < item.events
        }
        if not waiting:
            return
        pending = [self._pending(item) for item in waiting.values()]
        shares = {step.step_id: WANTED_SHARE for step in open_steps}
        for placement in self._plan(pending, self._engine_views(), shares):
            waiting[placement.item.item_id].engine = int(placement.instance)

    def _pending(self, item: _Item) -> PendingItem:
        made_tokens = item.made * TOKENS_PER_EVENT
        due_in_s = item.step.asked_at_s + DUE_S - self.now_s
        return PendingItem(
            item.step.step_id,
            item.item_id,
            item.group,
            due_in_s,
            False,
            max(TOKENS_PER_EVENT, item.hint_tokens - made_tokens),
            PROMPT_TOKENS + made_tokens,
            1,
            "m",
        )

    def _engine_views(self) -> Sequence[EngineView]:
        views = []
        for engine in range(ENGINES):
            runs = self._runs_of(engine)
            slowness = self._slowness(engine)
            planned = sum(planned_tokens(self._pending(run), is_long=False) for run in runs)
            views.append(
                EngineView(
                    str(engine),
                    {"m": 1},
                    PLACES,
                    MEMORY_TOKENS,
                    len(runs),
                    planned,
                    max(1.0, slowness),
                    slowness > 0.0,
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

    def _slowness(self, engine: int) -> float:
        for trouble in self._pattern.troubles:
            if engine < trouble.engines and 0.0 <= self.now_s - trouble.at_s < trouble.for_s:
                return trouble.slowness
        return 1.0

    def _advance(self) -> None:
        """Make a tick's events; runs of an engine that is gone go on elsewhere later."""
        running = 0
        for engine in range(ENGINES):
            slowness = self._slowness(engine)
            runs = self._runs_of(engine)
            running = max(running, len(runs))
            for item in runs:
                if slowness == 0.0:
                    item.engine = -1
                    continue
                item.progress_s += TICK_S / slowness
                new = int(item.progress_s / EVENT_S)
                item.progress_s -= new * EVENT_S
                item.made = min(item.events, item.made + new)
                if item.made == item.events:
                    item.engine = -1
                    item.step.left[item.group] -= 1
        self.most_running = max(self.most_running, running)
        for step in self.steps:
            self._end(step)

    def _end(self, step: _Step) -> None:
        """End a step once its trainer has what it waits for, or has waited too long."""
        if step.ended_at_s >= 0.0:
            return
        whole_groups = sum(left == 0 for left in step.left.values())
        step.whole = whole_groups >= step.wanted_groups
        if step.whole or self.now_s - step.asked_at_s >= GIVE_UP_S:
            step.ended_at_s = self.now_s
            for item in step.items:
                item.engine = -1


def draw_hint_tokens(rng: random.Random, events: int) -> int:
    """Draw what is told beforehand of a text's length: right at the median, often far off."""
    return max(
        TOKENS_PER_EVENT, int(events * rng.lognormvariate(0.0, HINT_SPREAD) * TOKENS_PER_EVENT)
    )


def draw_events(rng: random.Random) -> int:
    """Draw a text's length in events."""
    mean = MEAN_EVENTS / (1.0 + TAIL_SHARE * (TAIL_TIMES - 1.0))
    events = mean * rng.lognormvariate(-SPREAD * SPREAD / 2.0, SPREAD)
    if rng.random() < TAIL_SHARE:
        events *= TAIL_TIMES
    return max(1, min(MOST_EVENTS, round(events)))


async def run(seed: int) -> BenchResult:
    """Replay every pattern under every way to plan."""
    rows: list[BenchRow] = []
    for name, plan in VARIANTS.items():
        runs = []
        for pattern in PATTERNS:

            async def run_once(
                at: int, pattern: LoadPattern = pattern, plan: Plan = plan
            ) -> Mapping[str, float]:
                return Replay(pattern, plan, at).run()

            runs.append((pattern, await run_repeats(name, run_once, seed, REPEATS)))
        figures = {
            f"{pattern.name}: in time": row.figures["whole_in_time"] for pattern, row in runs
        }
        figures |= {f"{pattern.name}: step_s": row.figures["step_s"] for pattern, row in runs}
        rows.append(BenchRow(name, REPEATS, figures))
    note = (
        f"steps of {GROUPS}x{GROUP_SIZE} items on {ENGINES} engines with {PLACES} places; in time:"
        f" share of steps whose {WANTED_SHARE:.0%} of groups are whole within {DUE_S} s"
    )
    return BenchResult("planning", seed, rows, note)
