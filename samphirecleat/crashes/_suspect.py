"""One call under which targets ended: the ended runs, and what follows from them."""

import math
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

# A call that ends its targets may end so many; what follows are retries.
MIN_ENDS_TO_REFUSE: Final = 3
# So many, of which so many after the first burst, refuse a call whatever else went on. Two of the
# three retries that the bound allows are used then; the third may be under way at another node.
MOST_ENDS: Final = 5
MOST_LATER_ENDS: Final = 2
# Times that two nodes saw are this far apart at most: what a datagram takes between them.
CLOCK_SLACK_S: Final = 0.03
# What other nodes saw has arrived this long after it happened. Runs that began so long after the
# last end are another burst: what ended the targets before is over.
SETTLE_S: Final = 1.0


class RunEnd(NamedTuple):
    """A run that ended because its target did; times are of this node's clock.

    ``target`` names one start of a target. ``node`` saw the end.
    """

    target: str
    begun_s: float
    ended_s: float
    node: str


class CrashVerdict(Enum):
    """What may be done with a call.

    A SUSPECT is sent to one target at a time. One that is HELD is not sent while what other nodes
    saw may still arrive. One that is REFUSED is not sent any more.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    HELD = "held"
    REFUSED = "refused"


@dataclass
class Suspect:
    """A call under which targets ended since it was last answered.

    ``answered_s`` is its newest known answer. ``fresh`` is set once an end became known that is
    not from before this process.
    """

    ends: dict[str, RunEnd] = field(default_factory=dict)
    answered_s: float = -math.inf
    fresh: bool = False
    refused: bool = False
    seen_at_s: float = -math.inf

    def last_end_s(self) -> float:
        """Return when the newest known end was, -inf without any."""
        return max((end.ended_s for end in self.ends.values()), default=-math.inf)


def may_end_its_targets(suspect: Suspect) -> bool:
    """Whether the ends of a call have the shape of one that ends its targets.

    Targets that end together for another reason take a popular call down at several of them at
    once, but only a call that ends its targets ends the next one too, in turn.
    """
    return suspect.fresh and len(suspect.ends) >= MIN_ENDS_TO_REFUSE and _rounds(suspect.ends) > 1


def ends_its_targets(
    suspect: Suspect,
    others: Iterable[Suspect],
    is_calm: Callable[[Suspect, Sequence[RunEnd]], bool],
) -> bool:
    """Whether a call that may end its targets, and nothing else, did so.

    One that was answered shortly before has to do so once more when all is calm again: a popular
    call is always under way, also at targets that end in turn for another reason. ``is_calm`` says
    whether no target ended without this call near the times of some ends. ``others`` ran beside
    it; one that ran at each of these ends may as well be the cause.
    """
    if not may_end_its_targets(suspect):
        return False
    bursts = _bursts(suspect.ends)
    later_ends = len(suspect.ends) - len(bursts[0])
    if later_ends >= MOST_LATER_ENDS and len(suspect.ends) >= MOST_ENDS:
        return True
    if len(bursts) == 1 and suspect.answered_s > -math.inf:
        return False
    telling = bursts[-1]
    names = {end.target for end in telling}
    tied = any(other is not suspect and names <= other.ends.keys() for other in others)
    return not tied and is_calm(suspect, telling)


def _in_order(ends: dict[str, RunEnd]) -> Sequence[RunEnd]:
    return sorted(ends.values(), key=lambda end: end.ended_s)


def _rounds(ends: dict[str, RunEnd]) -> int:
    """Return how many ends followed each other: runs side by side count once."""
    count = 0
    last: RunEnd | None = None
    for end in _in_order(ends):
        if last is None or end.begun_s >= last.ended_s + _slack_s({end.node, last.node}):
            count += 1
            last = end
    return count


def _slack_s(nodes: Collection[str]) -> float:
    return CLOCK_SLACK_S if len(nodes) > 1 else 0.0


def _bursts(ends: dict[str, RunEnd]) -> Sequence[Sequence[RunEnd]]:
    """Return the ends in groups, each begun when all was calm after the one before."""
    groups: list[list[RunEnd]] = []
    for end in _in_order(ends):
        if groups and end.begun_s < groups[-1][-1].ended_s + SETTLE_S:
            groups[-1].append(end)
        else:
            groups.append([end])
    return groups
