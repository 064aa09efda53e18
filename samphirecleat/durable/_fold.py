"""The only truth about steps: the fold of the step log in offset order.

The first acceptance of a step counts, the first result of an item counts and takes the
next position, and a claim that replaces the one in force names a service's runner. Two
writers at once, a record that takes effect late, or one that is sent twice can so neither
double an item nor move a position, and every node that folded the same records knows the
same.
"""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ._records import (
    ItemListed,
    ItemSpec,
    Record,
    ResultsListed,
    RunnerClaimed,
    StepAccepted,
    StepEnded,
)

NO_CLAIM: Final = -1


class Claim(NamedTuple):
    """Who runs a service's work; ``offset`` is the fencing number.

    ``previous_node_id`` is the node that held it before, an empty text for the first claim.
    """

    node_id: str
    incarnation: str
    offset: int
    previous_node_id: str = ""


@dataclass
class StepState:
    """One step as folded so far.

    ``carried`` holds the items that an earlier step had too. ``unlisted`` shrinks as results
    come, so that who plans a step's rest does not look at all of it many times a second; it
    keeps the order of the items. Where they stand apart ``items`` is empty until they are read.
    """

    spec: StepAccepted
    accepted_offset: int
    folded_at_s: float
    item_ids: Set[str]
    carried: Set[str]
    unlisted: dict[str, None]
    items: Mapping[str, ItemSpec] = field(default_factory=dict)
    group_count: int = 0
    results: list[ItemListed] = field(default_factory=list)
    ended: bool = False
    ended_at_s: float = 0.0

    @property
    def open(self) -> bool:
        """Whether the step still wants results."""
        return not self.ended and bool(self.unlisted)

    def set_items(self, items: Mapping[str, ItemSpec]) -> None:
        """Keep what the items are made from."""
        self.items = items
        self.group_count = len({item.group for item in items.values()})


class StepFold:
    """All steps and claims, from the records in offset order."""

    def __init__(self) -> None:
        """Start from an empty log."""
        self.steps: dict[str, StepState] = {}
        self.claims: dict[str, Claim] = {}

    def apply(self, record: Record, offset: int, now_s: float) -> bool:
        """Take the next record; False when it changes nothing."""
        match record:
            case StepAccepted():
                return self._accept(record, offset, now_s)
            case ResultsListed():
                return self._list(record) > 0
            case StepEnded():
                return self._end(record, now_s)
            case RunnerClaimed():
                before = self.claims.get(record.service)
                if record.replaces != (before.offset if before is not None else NO_CLAIM):
                    return False
                previous = before.node_id if before is not None else ""
                claim = Claim(record.node_id, record.incarnation, offset, previous)
                self.claims[record.service] = claim
                return True

    def forget_before(self, now_s: float, keep_ended_s: float, keep_open_s: float) -> Sequence[str]:
        """Drop steps that ended, or were folded, that long ago, and return their ids."""
        old = [
            step_id
            for step_id, step in self.steps.items()
            if (step.ended and now_s - step.ended_at_s > keep_ended_s)
            or now_s - step.folded_at_s > keep_open_s
        ]
        for step_id in old:
            del self.steps[step_id]
        return old

    def _accept(self, record: StepAccepted, offset: int, now_s: float) -> bool:
        if record.step_id in self.steps:
            return False
        item_ids = frozenset(record.item_ids)
        carried: set[str] = set()
        for step in self.steps.values():
            carried |= item_ids & step.item_ids
        unlisted = dict.fromkeys(record.item_ids)
        step = StepState(record, offset, now_s, item_ids, carried, unlisted)
        step.set_items({item.item_id: item for item in record.items})
        self.steps[record.step_id] = step
        return True

    def _list(self, record: ResultsListed) -> int:
        """Take results; return how many of them count."""
        step = self.steps.get(record.step_id)
        if step is None or step.ended:
            return 0
        new = 0
        for result in record.results:
            if result.item_id in step.unlisted:
                del step.unlisted[result.item_id]
                step.results.append(result)
                new += 1
        return new

    def _end(self, record: StepEnded, now_s: float) -> bool:
        step = self.steps.get(record.step_id)
        if step is None or step.ended:
            return False
        step.ended = True
        step.ended_at_s = now_s
        step.items = {}
        return True
