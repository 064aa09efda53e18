"""Placement planning of a service's runner: pure functions that choose which item starts where.

Load pattern: a step of some hundred items arrives at once. Lengths vary by a factor of ten and
are known only from a rough hint. Engines generate tokens almost as fast with all slots taken as
with one, so a step takes as long as its longest text, and the next step arrives while those texts
are still being generated. Therefore items start in order of least slack, except for groups that
the trainer does not need; items of a group prefer engines that already processed their shared
prompt; slow engines are used last.
"""

from collections.abc import Mapping, Sequence, Set
from typing import Final, NamedTuple

from ..serving import DEFAULT_PRIORITY
from ._needed_groups import GroupName

# Share of a text's expected growth that is reserved in engine memory. All texts grow at the same
# speed, so short ones complete before long ones need their full memory. An engine that runs out of
# memory preempts its newest run, which costs a few milliseconds of reprocessing.
GROWTH_SHARE: Final = 0.5
# Run counts are compared in steps of this size; engines within one step count as equally busy.
RUN_COUNT_STEP: Final = 2
# Texts expected to take longer than this count as long.
LONG_TEXT_S: Final = 2.0
# An item without a slot is urgent when its slack is below this: loading weights takes about a
# second, and scoring a few tenths of a second.
URGENT_SLACK_S: Final = 2.5
# Long texts are the last to complete, so most of their growth is reserved.
LONG_GROWTH_SHARE: Final = 0.8
# A queue is long if its items take more than this share of the time until the last one is due.
LONG_QUEUE_SHARE: Final = 1 / 3
# Each priority rank of a workspace counts as this much less slack. Its items start before equally
# urgent ones of lower rank, and no workspace can starve another.
SLACK_PER_RANK_S: Final = 0.5


class PendingItem(NamedTuple):
    """An item that waits for a slot and is due to be listed within ``due_in_s``.

    ``expected_tokens`` are still to be generated; the engine processes ``context_tokens`` before
    that. ``priority`` is the rank of its workspace, 0 being the highest.
    """

    step_id: str
    item_id: str
    group: str
    due_in_s: float
    carried: bool
    expected_tokens: int
    context_tokens: int
    min_version: int
    model: str
    priority: int = DEFAULT_PRIORITY


class EngineView(NamedTuple):
    """An engine as the runner sees it.

    ``slowness`` is the ratio of its lasting event interval to that of the median engine: below 1.0
    for a faster one, and exactly 1.0 for one of about the same speed. ``warm`` tells whether an
    idle connection to the engine is open. ``versions`` contains the models that are not being
    loaded.
    """

    instance: str
    versions: Mapping[str, int]
    slots: int
    memory_tokens: int
    running: int
    planned_tokens: int
    slowness: float
    accepts: bool
    groups: Set[str]
    warm: bool = False


class Placement(NamedTuple):
    """An item, its engine, and the engine memory reserved for it in tokens."""

    item: PendingItem
    instance: str
    planned_tokens: int


def order_items(
    items: Sequence[PendingItem], optional: Set[GroupName], token_s: float
) -> Sequence[PendingItem]:
    """Return the items in start order, least slack first.

    ``token_s`` is the generation time of a token on the median engine. Items of ``optional`` groups
    start last.
    """

    def rank(item: PendingItem) -> tuple[bool, float]:
        slack_s = item.due_in_s - item.expected_tokens * token_s
        ranked_s = slack_s + (item.priority - DEFAULT_PRIORITY) * SLACK_PER_RANK_S
        return ((item.step_id, item.group) in optional, ranked_s)

    return sorted(items, key=rank)


def is_long_queue(
    items: Sequence[PendingItem], engines: Sequence[EngineView], token_s: float
) -> bool:
    """Return whether the queue is so long that some steps will be late unless groups wait."""
    slots = sum(engine.slots for engine in engines)
    waiting_s = sum(item.expected_tokens for item in items) * token_s / max(1, slots)
    return waiting_s > LONG_QUEUE_SHARE * max((item.due_in_s for item in items), default=0.0)


def place_items(
    ordered: Sequence[PendingItem], engines: Sequence[EngineView], token_s: float
) -> Sequence[Placement]:
    """Return the placements to start now, in order; items without a slot keep waiting."""
    long_tokens = int(LONG_TEXT_S / token_s)
    placements: list[Placement] = []
    views = {engine.instance: engine for engine in engines if engine.accepts}
    if not any(engine.running < engine.slots for engine in views.values()):
        return []
    for item in ordered:
        is_long = item.expected_tokens > long_tokens
        best = _best_engine(item, list(views.values()), is_long=is_long)
        if best is None:
            if not any(engine.running < engine.slots for engine in views.values()):
                break
            continue
        tokens = planned_tokens(item, is_long=is_long)
        placements.append(Placement(item, best.instance, tokens))
        views[best.instance] = best._replace(
            running=best.running + 1,
            planned_tokens=best.planned_tokens + tokens,
            groups=best.groups | {item.group},
        )
    return placements


def _best_engine(
    item: PendingItem, engines: Sequence[EngineView], *, is_long: bool
) -> EngineView | None:
    fitting = [engine for engine in engines if _fits(item, engine, is_long=is_long)]
    if not fitting:
        return None

    def cost(engine: EngineView) -> tuple[int, int, bool, bool]:
        # Speed first, in coarse steps. Then few concurrent runs, since each slows the others a
        # little. Then an idle connection, since with more engines than runs every run would open
        # a new one. Then an already processed prompt, which saves a millisecond.
        return (
            round(engine.slowness * 2.0),
            engine.running // RUN_COUNT_STEP,
            not engine.warm,
            item.group not in engine.groups,
        )

    return min(fitting, key=cost)


def _fits(item: PendingItem, engine: EngineView, *, is_long: bool) -> bool:
    version = engine.versions.get(item.model, -1)
    if version < item.min_version or engine.running >= engine.slots:
        return False
    free_tokens = engine.memory_tokens - engine.planned_tokens
    return planned_tokens(item, is_long=is_long) <= free_tokens or engine.running == 0


def planned_tokens(item: PendingItem, *, is_long: bool) -> int:
    """Return how much engine memory to reserve for an item, in tokens."""
    share = LONG_GROWTH_SHARE if is_long else GROWTH_SHARE
    return item.context_tokens + int(item.expected_tokens * share)


class Shortage(NamedTuple):
    """Items of a model found no slot; ``slack_s`` is the smallest slack among them."""

    slack_s: float

    @property
    def urgent(self) -> bool:
        """Whether an item will miss its deadline unless it starts soon."""
        return self.slack_s < URGENT_SLACK_S


def shortages(
    ordered: Sequence[PendingItem], placements: Sequence[Placement], token_s: float
) -> Mapping[str, Shortage]:
    """Return, by model, the shortage of items that were not placed."""
    placed = {(p.item.step_id, p.item.item_id) for p in placements}
    short: dict[str, Shortage] = {}
    for item in ordered:
        if (item.step_id, item.item_id) in placed:
            continue
        slack_s = item.due_in_s - item.expected_tokens * token_s
        if item.model not in short or slack_s < short[item.model].slack_s:
            short[item.model] = Shortage(slack_s)
    return short
