"""Which item starts next, and on which engine: pure decisions of a service's runner.

Load pattern answered: a step of some hundred items comes at once; lengths vary by a factor
of ten and are known by a rough hint; engines produce tokens almost as fast with all places
taken as with one, so a step takes as long as its longest text; the next step comes while
the longest texts of this one are still being made. Hence what has the least time to spare
starts first, except the groups that the trainer can do without; items of a group go where
their shared prompt was read; an engine that turned slow gets what is left.
"""

from collections.abc import Mapping, Sequence, Set
from typing import Final, NamedTuple

from ..serving import MIDDLE_PRIORITY

# Of what a text is expected to need, this share is planned for: texts grow at the same pace,
# so the short ones have left before the long ones need their room. An engine that runs out
# of memory after all holds up its newest run, which costs a few milliseconds of reading.
GROWTH_SHARE: Final = 0.5
# Engines whose runs differ by less than this count as equally busy.
NEIGHBOUR_STEP: Final = 2
# Texts that take longer than this are planned for as long ones.
LONG_S: Final = 2.0
# With less time than this to spare an item without a place presses for one: a load takes
# about a second, and its score a few tenths.
PRESSED_SPARE_S: Final = 2.5
# Long texts stay to the end, so most of their growth is planned for.
LONG_GROWTH_SHARE: Final = 0.8


# Each rank of a workspace counts like so much less time to spare: its items start first beside
# equally urgent ones, and no workspace waits for another for good.
PRIORITY_S: Final = 0.5


class PendingItem(NamedTuple):
    """An item that wants a place, to be listed within ``due_in_s``.

    ``expected_tokens`` is what is still to be made, ``context_tokens`` what its engine
    reads before that. ``priority`` is that of its workspace, 0 first.
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
    priority: int = MIDDLE_PRIORITY


class EngineView(NamedTuple):
    """An engine as the runner sees it; ``slowness`` is 1.0 at the typical pace.

    ``warm`` says that a connection to it waits for a run.

    ``versions`` holds each of its models that is not being loaded now.
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
    """An item, the engine it goes to, and how much of its memory the item is planned to take."""

    item: PendingItem
    instance: str
    planned_tokens: int


def order_items(
    items: Sequence[PendingItem], wanted_share: Mapping[str, float], token_s: float
) -> Sequence[PendingItem]:
    """Return the items in the order in which they start, least time to spare first.

    A text takes ``token_s`` a token. ``wanted_share`` is the share of its groups that a
    step's trainer waits for: the longest of the others start last. Groups that were
    carried over are among those it waits for.
    """
    longest: dict[tuple[str, str], int] = {}
    carried: set[tuple[str, str]] = set()
    for item in items:
        name = (item.step_id, item.group)
        longest[name] = max(longest.get(name, 0), item.expected_tokens)
        if item.carried:
            carried.add(name)
    spare = _spare_groups(longest, carried, wanted_share)

    def rank(item: PendingItem) -> tuple[bool, float]:
        slack_s = item.due_in_s - item.expected_tokens * token_s
        ranked_s = slack_s + (item.priority - MIDDLE_PRIORITY) * PRIORITY_S
        return ((item.step_id, item.group) in spare, ranked_s)

    return sorted(items, key=rank)


def _spare_groups(
    longest: Mapping[tuple[str, str], int],
    carried: set[tuple[str, str]],
    wanted_share: Mapping[str, float],
) -> set[tuple[str, str]]:
    spare: set[tuple[str, str]] = set()
    for step_id, share in wanted_share.items():
        groups = sorted(
            (name for name in longest if name[0] == step_id and name not in carried),
            key=lambda name: longest[name],
            reverse=True,
        )
        spare.update(groups[: int(len(groups) * (1.0 - share))])
    return spare


def place_items(
    ordered: Sequence[PendingItem], engines: Sequence[EngineView], token_s: float
) -> Sequence[Placement]:
    """Return what starts now, in order; an item without a place waits."""
    long_tokens = int(LONG_S / token_s)
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
        # Pace first, in coarse steps. Then few neighbours, since each slows the others down a
        # little; then a kept connection, since with more engines than runs each run would open
        # a new one; then a prompt that was read there, which saves a millisecond.
        return (
            round(engine.slowness * 2.0),
            engine.running // NEIGHBOUR_STEP,
            not engine.warm,
            item.group not in engine.groups,
        )

    return min(fitting, key=cost)


def _fits(item: PendingItem, engine: EngineView, *, is_long: bool) -> bool:
    version = engine.versions.get(item.model, -1)
    if version < item.min_version or engine.running >= engine.slots:
        return False
    room = engine.memory_tokens - engine.planned_tokens
    return planned_tokens(item, is_long=is_long) <= room or engine.running == 0


def planned_tokens(item: PendingItem, *, is_long: bool) -> int:
    """Return how much of an engine's memory an item is planned to take."""
    share = LONG_GROWTH_SHARE if is_long else GROWTH_SHARE
    return item.context_tokens + int(item.expected_tokens * share)


class Shortage(NamedTuple):
    """That items of a model found no place; ``spare_s`` is what the most urgent has left."""

    slack_s: float

    @property
    def urgent(self) -> bool:
        """Whether the item will be late unless it starts soon."""
        return self.slack_s < PRESSED_SPARE_S


def shortages(
    ordered: Sequence[PendingItem], placements: Sequence[Placement], token_s: float
) -> Mapping[str, Shortage]:
    """Return the models of which an item found no place."""
    placed = {(place.item.step_id, place.item.item_id) for place in placements}
    short: dict[str, Shortage] = {}
    for item in ordered:
        if (item.step_id, item.item_id) in placed:
            continue
        slack_s = item.due_in_s - item.expected_tokens * token_s
        if item.model not in short or slack_s < short[item.model].slack_s:
            short[item.model] = Shortage(slack_s)
    return short
