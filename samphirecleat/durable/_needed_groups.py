"""Pure decision which groups of a step its trainer does not need.

Load pattern: a trainer goes on once a share of its step's groups is complete, so the last groups of
that share decide when the step ends. Hints are too poor to tell at a step's start which groups will
be last, and after a loss of engines the items of many groups wait again. Therefore no group is
optional before half of the needed ones are complete, and the choice is made anew from what is left.
Only if the queue is so long that steps would be late are groups optional from the start.

On engines of the same speed the longest texts decide when a step ends, wherever they run. There the
groups with the longest hints are optional from the start.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Set
from typing import NamedTuple

from ._engine_ranking import PendingItem

GroupName = tuple[str, str]
"""The ID of a step and the name of one of its groups."""


class UnfinishedItem(NamedTuple):
    """An item that is not listed yet; ``remaining_tokens`` are expected to be generated."""

    step_id: str
    group: str
    remaining_tokens: int
    carried: bool


class GroupNeed(NamedTuple):
    """How many groups a step has, and how many complete ones its trainer waits for."""

    groups: int
    needed: int


def optional_groups(
    items: Iterable[UnfinishedItem], needs: Mapping[str, GroupNeed], *, long_queue: bool
) -> Set[GroupName]:
    """Return the groups that no trainer waits for; ``needs`` is by step.

    These are the groups that are expected to be complete last. Groups carried over from an earlier
    step are always needed, and so are all groups of steps that are not in ``needs``.
    """
    longest: defaultdict[str, dict[str, int]] = defaultdict(dict)
    carried: set[GroupName] = set()
    for item in items:
        by_group = longest[item.step_id]
        by_group[item.group] = max(by_group.get(item.group, 0), item.remaining_tokens)
        if item.carried:
            carried.add((item.step_id, item.group))
    optional: set[GroupName] = set()
    for step_id, by_group in longest.items():
        need = needs.get(step_id)
        if need is None:
            continue
        if not long_queue and 2 * (need.groups - len(by_group)) < need.needed:
            continue
        groups = [group for group in by_group if (step_id, group) not in carried]
        groups.sort(key=by_group.__getitem__, reverse=True)
        optional.update((step_id, group) for group in groups[: need.groups - need.needed])
    return optional


def longest_groups(items: Iterable[PendingItem], needs: Mapping[str, GroupNeed]) -> Set[GroupName]:
    """Return the waiting groups with the longest texts beyond the share that trainers wait for.

    ``needs`` is by step; in a step that it doesn't hold, all groups are needed, and groups carried
    over from an earlier step are needed everywhere.
    """
    longest: defaultdict[str, dict[str, int]] = defaultdict(dict)
    carried: set[GroupName] = set()
    for item in items:
        by_group = longest[item.step_id]
        by_group[item.group] = max(by_group.get(item.group, 0), item.expected_tokens)
        if item.carried:
            carried.add((item.step_id, item.group))
    optional: set[GroupName] = set()
    for step_id, by_group in longest.items():
        need = needs.get(step_id)
        if need is None:
            continue
        groups = [group for group in by_group if (step_id, group) not in carried]
        groups.sort(key=by_group.__getitem__, reverse=True)
        spare = int(len(groups) * (1.0 - need.needed / max(1, need.groups)))
        optional.update((step_id, group) for group in groups[:spare])
    return optional
