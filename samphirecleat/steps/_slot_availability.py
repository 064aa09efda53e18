"""Free slots of targets; samples without a free slot stay queued in their step."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..blackboard import TargetView


class SlotAvailability(NamedTuple):
    """Capacity for new runs, as known to this node.

    ``full_targets`` are the addresses of targets without a free slot;
    ``free_slots`` is the number of free slots on all usable targets.
    """

    full_targets: frozenset[str]
    free_slots: int


def find_free_slots(
    targets: Sequence[TargetView], in_flight: Mapping[str, int]
) -> SlotAvailability:
    """Return the capacity for new runs on the targets of a service.

    A run sent to a full target waits in that target's queue, where it can neither
    be reordered nor moved to a target that becomes free sooner. ``in_flight``
    counts this node's own calls by target address: load reports lag behind them.
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
