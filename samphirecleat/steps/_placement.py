"""Which targets have a free slot, so that samples wait with their step."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..blackboard import TargetView


class SlotAvailability(NamedTuple):
    """Where runs may be started now.

    ``full_targets`` are addresses of targets that have no free slot as far as this node
    knows; ``free_slots`` are those of all the others.
    """

    full_targets: frozenset[str]
    free_slots: int


def find_free_slots(
    targets: Sequence[TargetView], in_flight: Mapping[str, int]
) -> SlotAvailability:
    """Return what is free on the usable targets of a service.

    A run sent to a full target waits in a queue of that target, where it can be
    neither reordered nor given to a target that becomes free sooner.
    ``in_flight`` counts this node's own calls, which the reports lag behind.
    """
    full = set()
    free_slots = 0
    for target in targets:
        used = max(target.running + target.waiting, in_flight.get(target.address, 0))
        free = max(0, target.slots - used)
        if not free:
            full.add(target.address)
        elif target.usable:
            free_slots += free
    return SlotAvailability(frozenset(full), free_slots)
