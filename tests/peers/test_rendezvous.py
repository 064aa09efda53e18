"""Who comes first for a thing."""

from collections import Counter

from samphirecleat.peers import RendezvousOwners

THINGS = [f"10.0.0.{index}:8000" for index in range(200)]


def test_an_update_by_parts_ends_where_a_fresh_start_does() -> None:
    """Nodes come and go one by one, and two nodes must not disagree on a watcher."""
    owners = RendezvousOwners()
    nodes = {f"n{index}" for index in range(10)}
    owners.update(nodes, THINGS[:150])
    owners.update(nodes | {"n10", "n11"}, THINGS)
    final = (nodes | {"n10", "n11"}) - {"n3", "n10"}
    assert owners.update(final, THINGS[50:])
    assert not owners.update(final, THINGS[50:])
    fresh = RendezvousOwners()
    fresh.update(final, THINGS[50:])
    assert [owners.owner(t) for t in THINGS] == [fresh.owner(t) for t in THINGS]
    assert owners.owner(THINGS[0]) == ""


def test_only_the_things_of_a_node_that_left_move() -> None:
    owners = RendezvousOwners()
    nodes = {f"n{index}" for index in range(10)}
    owners.update(nodes, THINGS)
    before = {thing: owners.owner(thing) for thing in THINGS}
    owners.update(nodes - {"n3"}, THINGS)
    moved = {thing for thing in THINGS if owners.owner(thing) != before[thing]}
    assert moved == {thing for thing in THINGS if before[thing] == "n3"}
    counts = Counter(before.values())
    assert len(counts) == 10
    assert max(counts.values()) < 3 * len(THINGS) / 10
