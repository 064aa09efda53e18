"""The authoritative state of all steps: the fold of the step log in offset order.

The first acceptance of a step and the first result of an item are valid, and a result takes the
next position. A claim is valid if it replaces the one in force; it determines the runner of a
service. Concurrent writers, delayed appends and repeated appends can therefore neither duplicate
an item nor move a position, and all nodes that folded the same records have the same state.
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
    """The node that runs the work of a service; ``offset`` is the fencing number.

    ``previous_node_id`` is the node that held the service before, "" for the first claim.
    """

    node_id: str
    incarnation: str
    offset: int
    previous_node_id: str = ""


@dataclass
class StepState:
    """The state of one step as folded so far.

    ``carried`` holds the items that an earlier step also contained. ``unlisted`` keeps the items
    without a result in their order; it shrinks as results arrive, so that the planner does not
    scan the whole step many times per second. If the items are stored separately, ``items`` is
    empty until they have been read.
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
        """Whether the step still waits for results."""
        return not self.ended and bool(self.unlisted)

    def set_items(self, items: Mapping[str, ItemSpec]) -> None:
        """Set the item specifications, by item ID."""
        self.items = items
        self.group_count = len({item.group for item in items.values()})


class StepFold:
    """All steps and claims, folded from records in offset order."""

    def __init__(self) -> None:
        """Start from an empty log."""
        self.steps: dict[str, StepState] = {}
        self.claims: dict[str, Claim] = {}

    def apply(self, record: Record, offset: int, now_s: float) -> bool:
        """Apply the next record; return False if it has no effect."""
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
        """Forget steps that ended or were folded longer ago than given; return their IDs."""
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
        """Apply results; return how many of them are new."""
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
