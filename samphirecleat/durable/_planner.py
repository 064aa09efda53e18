"""Placement planning of a service's runner: pure functions that choose which item starts where.

Load pattern: a step of some hundred items arrives at once. Lengths vary by a factor of ten and
are known only from a rough hint. Engines generate tokens almost as fast with all slots taken as
with one, so a step takes as long as its longest text, and the next step arrives while those texts
are still being generated. Therefore items start in order of least slack, except for groups that
the trainer does not need; items of a group prefer engines that already processed their shared
prompt; slow engines are used last. Engines may differ in speed by a factor of two or more: items
with little slack take the fastest, and short texts leave some of their slots to the long texts that
come next.
"""

from collections.abc import Iterable, Mapping, Sequence, Set
from typing import Final, NamedTuple

from ..serving import DEFAULT_PRIORITY
from ._engine_ranking import EngineRanking, EngineView, PendingItem
from ._item_decisions import ItemName
from ._needed_groups import (
    GroupName,
    GroupNeed,
    UnfinishedItem,
    longest_groups,
    optional_groups,
)

# Share of a text's expected growth that is reserved in engine memory. All texts grow at the same
# speed, so short ones complete before long ones need their full memory. An engine that runs out of
# memory preempts its newest run, which costs a few milliseconds of reprocessing.
GROWTH_SHARE: Final = 0.5
# Texts expected to take longer than this count as long.
LONG_TEXT_S: Final = 2.0
# An item without a slot is urgent when its slack is below this: loading weights takes about a
# second, and scoring a few tenths of a second.
URGENT_SLACK_S: Final = 2.5
# Long texts are the last to complete, so most of their growth is reserved.
LONG_GROWTH_SHARE: Final = 0.8
# A text that takes at most this share of the time until it is due is done well before that, even
# if it is twice as long as its hint.
EARLY_SHARE: Final = 0.25
# A queue is long if its items take more than this share of the time until the last one is due.
LONG_QUEUE_SHARE: Final = 1 / 3
# Each priority rank of a workspace counts as this much less slack. Its items start before equally
# urgent ones of lower rank, and no workspace can starve another.
SLACK_PER_RANK_S: Final = 0.5


_ANY_ENGINE: Final[Mapping[ItemName, str]] = {}


class RunMemory(NamedTuple):
    """The text of a run, in tokens: ``remaining_tokens`` are expected to follow.

    The run began with ``resumed_at_tokens`` of it.
    """

    prompt_tokens: int
    resumed_at_tokens: int
    generated_tokens: int
    remaining_tokens: int


class Placement(NamedTuple):
    """An item, its engine, and the engine memory reserved for it in tokens."""

    item: PendingItem
    instance: str
    planned_tokens: int


class PlacementPlan(NamedTuple):
    """What starts now, and which items got no free slot only because engines lack memory."""

    placements: Sequence[Placement]
    lacking_memory: Set[ItemName]


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


def groups_to_start_last(
    pending: Sequence[PendingItem],
    unfinished: Iterable[UnfinishedItem],
    needs: Mapping[str, GroupNeed],
    engines: Sequence[EngineView],
    token_s: float,
) -> Set[GroupName]:
    """Return the groups whose items start after all others.

    ``unfinished`` are the pending items and those that run or are being scored. On engines of the
    same speed the choice rests on the pending ones only.
    """
    if all(engine.slowness == 1.0 for engine in engines):
        return longest_groups(pending, needs)
    long_queue = is_long_queue(pending, engines, token_s)
    return optional_groups(unfinished, needs, long_queue=long_queue)


def is_long_queue(
    items: Sequence[PendingItem], engines: Sequence[EngineView], token_s: float
) -> bool:
    """Return whether the queue is so long that some steps will be late unless groups wait."""
    slots = sum(engine.slots for engine in engines)
    waiting_s = sum(item.expected_tokens for item in items) * token_s / max(1, slots)
    return waiting_s > LONG_QUEUE_SHARE * max((item.due_in_s for item in items), default=0.0)


def place_items(
    ordered: Sequence[PendingItem],
    engines: Sequence[EngineView],
    token_s: float,
    engine_by_item: Mapping[ItemName, str] = _ANY_ENGINE,
) -> Sequence[Placement]:
    """Return the placements to start now, in order; see :func:`plan_placements`."""
    return plan_placements(ordered, engines, token_s, engine_by_item).placements


def plan_placements(
    ordered: Sequence[PendingItem],
    engines: Sequence[EngineView],
    token_s: float,
    engine_by_item: Mapping[ItemName, str] = _ANY_ENGINE,
) -> PlacementPlan:
    """Return the placements to start now, in order; items without a slot keep waiting.

    Items in ``engine_by_item`` are placed on that engine only.

    A text that is done well before it is due, even on the slowest engine, leaves the reserved slots
    of fast engines free if another engine has one.
    """
    long_tokens = int(LONG_TEXT_S / token_s)
    placements: list[Placement] = []
    lacking_memory: set[ItemName] = set()
    ranking = EngineRanking(engines)
    for item in ordered:
        if ranking.is_full:
            break
        tokens = planned_tokens(item, is_long=item.expected_tokens > long_tokens)
        keeps_reserve = _is_done_early(item, ranking.slowest, token_s)
        name = (item.step_id, item.item_id)
        only = engine_by_item.get(name, "")
        instance = ranking.take_slot(item, tokens, keeps_reserve=keeps_reserve, only=only)
        if instance is not None:
            placements.append(Placement(item, instance, tokens))
        elif ranking.lacks_only_memory(item, only):
            lacking_memory.add(name)
    return PlacementPlan(placements, lacking_memory)


def _is_done_early(item: PendingItem, slowness: float, token_s: float) -> bool:
    """Return whether a text is done well before it is due on an engine of this slowness."""
    return item.expected_tokens * token_s * slowness < EARLY_SHARE * item.due_in_s


def planned_tokens(item: PendingItem, *, is_long: bool) -> int:
    """Return how much engine memory to reserve for an item, in tokens."""
    return item.context_tokens + _reserved_growth(item.expected_tokens, is_long=is_long)


def reserved_tokens(run: RunMemory, token_s: float) -> int:
    """Return how much engine memory to reserve for a run, by what is known of its text by now.

    The reservation shrinks and grows with the expected length, but not below what the run uses.
    """
    total_tokens = run.generated_tokens + run.remaining_tokens
    growth_tokens = total_tokens - run.resumed_at_tokens
    is_long = growth_tokens * token_s > LONG_TEXT_S
    reserved = run.resumed_at_tokens + _reserved_growth(growth_tokens, is_long=is_long)
    return run.prompt_tokens + max(run.generated_tokens, reserved)


def _reserved_growth(tokens: int, *, is_long: bool) -> int:
    return int(tokens * (LONG_GROWTH_SHARE if is_long else GROWTH_SHARE))


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
