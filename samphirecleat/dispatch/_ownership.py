"""Decides which node owns each target of a plain service.

Load: a service has a few dozen slots and is called through dozens of nodes. A node that sees a
hundredth of the calls cannot know whether a slot is free. A service therefore has few owners, each
of which dispatches all calls to its own targets. The result depends on the membership and the
registrations only, so that nodes with the same view agree without messages. Two nodes that both own
a target are harmless: each limits its own calls, and the target refuses what exceeds its queue.
"""

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final, NamedTuple

from .._strong_hosts import strong_host_min_cores
from ..blackboard import Member
from ..peers import rank_members, rendezvous_weight
from ..serving import ServiceSpec, Target

# Fleets with at most this many ready nodes have no owners: each of their nodes sees enough of the
# calls to know its targets, and a hop would only add time.
MAX_NODES_WITHOUT_OWNERS: Final = 16
# Slots per owner. Fewer would divide the queue of a service among more nodes that cannot see each
# other's free slots; more would take too much processor time of one node.
SLOTS_PER_OWNER: Final = 32


class Owner(NamedTuple):
    """A node that owns targets of a service; ``slots`` is the sum over its targets."""

    node_id: str
    incarnation: str
    zone: str
    address: str
    slots: int


class _Assignment(NamedTuple):
    """The owners of one service, the targets that this node owns, and what both result from."""

    inputs: tuple[object, ...]
    owners: Sequence[Owner]
    own_targets: frozenset[str]


class OwnershipView:
    """The owners of all plain services, as one node computes them.

    Results change only in :meth:`update`.
    """

    def __init__(
        self, node_id: str, max_nodes_without_owners: int = MAX_NODES_WITHOUT_OWNERS
    ) -> None:
        """Start without owners; ``node_id`` is this node.

        Services get owners while more than ``max_nodes_without_owners`` nodes are ready.
        """
        self._node_id = node_id
        self._max_nodes_without_owners = max_nodes_without_owners
        self._inputs: tuple[object, ...] = ()
        self._targets: Mapping[str, Target] = {}
        self._assignments: Mapping[str, _Assignment] = {}

    def update(
        self,
        members: Iterable[Member],
        targets: Mapping[str, Target],
        services: Mapping[str, ServiceSpec],
    ) -> bool:
        """Compute the owners from the live members, the targets and the configured services.

        Members that are not ready or leaving own nothing, and draining targets are not assigned.
        Return whether the targets that this node owns changed. ``targets`` must be another mapping
        whenever a target changed; comparing each of them would take most of the time.
        """
        ready = {m.incarnation: m for m in members if m.ready and not m.leaving}
        # The rest of a row that matters here is constant for an incarnation.
        cores = {incarnation: m.cores for incarnation, m in ready.items()}
        if (cores, services) == self._inputs and targets is self._targets:
            return False
        self._inputs, self._targets = (cores, services), targets
        by_service: dict[str, list[Target]] = {}
        if len(ready) > self._max_nodes_without_owners:
            by_service = {name: [] for name, spec in services.items() if spec.engine is None}
        for target in targets.values():
            if target.service in by_service and not target.draining:
                by_service[target.service].append(target)
        strong_cores = strong_host_min_cores(cores.values())
        strong = [m for m in ready.values() if m.cores >= strong_cores]
        before = self._own_targets()
        self._assignments = {
            name: self._assign(name, strong, row) for name, row in by_service.items()
        }
        return self._own_targets() != before

    def owners(self, service: str) -> Sequence[Owner]:
        """Return the owners of a service, empty if it has none."""
        assignment = self._assignments.get(service)
        return assignment.owners if assignment is not None else ()

    def owned_targets(self, service: str) -> frozenset[str]:
        """Return the instances of a service that this node owns."""
        assignment = self._assignments.get(service)
        return assignment.own_targets if assignment is not None else frozenset()

    def owned(self, service: str) -> Collection[str] | None:
        """Return the instances that this node owns, or None if the service has no owners.

        A service without targets has no owners either, but its calls are dispatched: the result is
        empty then.
        """
        assignment = self._assignments.get(service)
        return assignment.own_targets if assignment is not None else None

    def owned_by_service(self) -> Mapping[str, Collection[str]]:
        """Return the instances that this node owns, by service, without services that have none."""
        return {name: a.own_targets for name, a in self._assignments.items() if a.own_targets}

    def _assign(
        self, service: str, candidates: Sequence[Member], targets: Sequence[Target]
    ) -> _Assignment:
        """Choose the owners of one service and distribute its targets.

        Most changes of the membership affect no owner; the targets are then not distributed again.
        """
        slots = {target.instance: max(1, target.slots) for target in targets}
        count = min(len(targets), math.ceil(sum(slots.values()) / SLOTS_PER_OWNER))
        members = rank_members(candidates, f"owners/{service}")[:count]
        inputs = ([member.incarnation for member in members], slots)
        known = self._assignments.get(service)
        if known is not None and known.inputs == inputs:
            return known
        instances_of = _distribute([member.node_id for member in members], list(slots))
        owners = [
            Owner(
                member.node_id,
                member.incarnation,
                member.zone,
                member.peer_address,
                sum(slots[instance] for instance in instances_of[member.node_id]),
            )
            for member in members
        ]
        return _Assignment(inputs, owners, frozenset(instances_of.get(self._node_id, ())))

    def _own_targets(self) -> frozenset[str]:
        return frozenset().union(*(a.own_targets for a in self._assignments.values()))


def _distribute(node_ids: Sequence[str], instances: Sequence[str]) -> Mapping[str, Sequence[str]]:
    """Give each target to an owner by rendezvous weight, bounded by an equal share per owner.

    The targets choose one after the other, in an order that is the same on every node and does not
    depend on the owners, so that the removal of one owner or target changes few of the others.
    """
    instances_of: dict[str, list[str]] = {node_id: [] for node_id in node_ids}
    if not node_ids:
        return instances_of
    bound = math.ceil(len(instances) / len(node_ids))
    with_room = list(node_ids)
    for instance in sorted(instances, key=lambda name: (rendezvous_weight("", name), name)):
        weights = [rendezvous_weight(node_id, instance) for node_id in with_room]
        chosen = with_room[weights.index(max(weights))]
        instances_of[chosen].append(instance)
        if len(instances_of[chosen]) == bound:
            with_room.remove(chosen)
    # A service has at least as many targets as owners, but the bound can leave the last owner
    # without one. It then takes a target of the owner that has most.
    for node_id in node_ids:
        if not instances_of[node_id]:
            largest = max(node_ids, key=lambda other: len(instances_of[other]))
            instances_of[node_id].append(instances_of[largest].pop())
    return instances_of
