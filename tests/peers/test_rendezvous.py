"""Owners of keys by rendezvous hashing."""

from collections import Counter

from samphirecleat.peers import RendezvousOwners

KEYS = [f"10.0.0.{index}:8000" for index in range(200)]


def test_incremental_updates_give_the_same_owners_as_a_new_instance() -> None:
    """If nodes with different histories disagreed on an owner, a target would have two or none."""
    owners = RendezvousOwners()
    nodes = {f"n{index}" for index in range(10)}
    owners.update(nodes, KEYS[:150])
    owners.update(nodes | {"n10", "n11"}, KEYS)
    final = (nodes | {"n10", "n11"}) - {"n3", "n10"}
    assert owners.update(final, KEYS[50:])
    assert not owners.update(final, KEYS[50:])
    fresh = RendezvousOwners()
    fresh.update(final, KEYS[50:])
    assert [owners.owner(key) for key in KEYS] == [fresh.owner(key) for key in KEYS]
    assert owners.owner(KEYS[0]) == ""


def test_only_keys_of_a_departed_node_change_owner() -> None:
    owners = RendezvousOwners()
    nodes = {f"n{index}" for index in range(10)}
    owners.update(nodes, KEYS)
    before = {key: owners.owner(key) for key in KEYS}
    owners.update(nodes - {"n3"}, KEYS)
    moved = {key for key in KEYS if owners.owner(key) != before[key]}
    assert moved == {key for key in KEYS if before[key] == "n3"}
    counts = Counter(before.values())
    assert len(counts) == 10
    assert max(counts.values()) < 3 * len(KEYS) / 10
