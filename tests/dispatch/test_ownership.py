"""Who owns which target: balance, agreement of all nodes, and few moves on a change."""

from collections.abc import Iterable, Mapping

import pytest

from samphirecleat.blackboard import Member
from samphirecleat.dispatch import OwnershipView
from samphirecleat.serving import Target

from .fleets import SERVICES, member, members, targets


def owner_by_target(nodes: Iterable[Member], of: Mapping[str, Target]) -> Mapping[str, str]:
    """Return the node that owns each target, as the nodes themselves compute it."""
    nodes = list(nodes)
    owner: dict[str, str] = {}
    for node in nodes:
        view = OwnershipView(node.node_id)
        view.update(nodes, of, SERVICES)
        for instance in view.owned("plain") or ():
            assert instance not in owner, "two owners of a target"
            owner[instance] = node.node_id
    return owner


@pytest.mark.parametrize(
    ("target_count", "slots", "owner_count"), [(3, 6, 1), (17, 6, 4), (2, 200, 2), (600, 8, 150)]
)
def test_each_target_has_one_owner_and_owners_have_equal_shares(
    target_count: int, slots: int, owner_count: int
) -> None:
    """Guards against a target that no node dispatches to, and one owner that has most of them."""
    nodes, of = members(200), targets(target_count, slots=slots)
    view = OwnershipView("n0")
    view.update(nodes, of, SERVICES)
    owners = view.owners("plain")
    assert len(owners) == owner_count
    assert sum(owner.slots for owner in owners) == target_count * slots
    most = max(owner.slots for owner in owners)
    assert most <= -(-target_count // owner_count) * slots
    assert min(owner.slots for owner in owners) > 0
    if target_count < 100:
        assert len(owner_by_target(nodes, of)) == target_count


def test_a_change_moves_few_targets() -> None:
    """Guards against a reassignment of all targets: each move leaves calls in two queues.

    One of four owners has a quarter of the targets, and no more of the others may move in the mean
    when an owner is replaced. The end of a node that owns nothing moves none.
    """
    moved_count = lost_count = 0
    for fleet in range(10):
        nodes = [member(100 * fleet + number) for number in range(20)]
        of = targets(17)
        before = owner_by_target(nodes, of)
        staying = [node for node in nodes if node.node_id in before.values()]
        uninvolved = next(node for node in nodes if node not in staying)
        assert owner_by_target([n for n in nodes if n != uninvolved], of) == before
        for lost in staying:
            after = owner_by_target([n for n in nodes if n != lost], of)
            others = [name for name in before if before[name] != lost.node_id]
            moved_count += sum(before[name] != after[name] for name in others)
            lost_count += 1
    assert moved_count / lost_count <= len(of) / 4


def test_small_fleets_have_no_owners() -> None:
    """Guards against a hop in fleets whose nodes see enough calls themselves.

    Only ready nodes count: nodes that start or leave take no calls.
    """
    view = OwnershipView("n0")
    view.update([*members(16), member(16, ready=False), member(17, leaving=True)], {}, SERVICES)
    assert view.owned("plain") is None
    view.update(members(17), targets(3), SERVICES)
    assert view.owned("plain") is not None
    assert view.owned("engine") is None
    assert view.owned("unknown") is None
    view.update(members(16), targets(3), SERVICES)
    assert view.owned("plain") is None
    assert not view.owners("plain")


def test_leaving_and_weak_nodes_own_nothing() -> None:
    """Guards against owners that are about to exit, are not ready, or have too little processor."""
    nodes = [
        *members(5, leaving=True),
        *(member(n, ready=False) for n in range(5, 10)),
        *(member(n, cores=0.5) for n in range(10, 30)),
        *(member(n, cores=1.0) for n in range(30, 36)),
    ]
    owners = set(owner_by_target(nodes, targets(17)).values())
    assert owners <= {f"n{number}" for number in range(30, 36)}
    assert len(owners) == 4


def test_draining_targets_are_not_assigned() -> None:
    """Guards against new calls in the queue of a target that accepts none."""
    of = targets(3)
    of["plain-0"] = of["plain-0"]._replace(draining=True)
    assert set(owner_by_target(members(20), of)) == {"plain-1", "plain-2"}


def test_unchanged_inputs_are_not_recomputed() -> None:
    """Guards against a log queue and processor time for each heartbeat: rows differ in each."""
    nodes, of = members(20), targets(3)
    view = OwnershipView(owner_by_target(nodes, of)["plain-0"])
    assert view.update(nodes, of, SERVICES)
    owners = view.owners("plain")
    assert not view.update([n._replace(sequence=9, in_flight=4) for n in nodes], of, SERVICES)
    assert view.owners("plain") is owners
