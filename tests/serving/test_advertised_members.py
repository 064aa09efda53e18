"""Selection of the nodes that are advertised to callers."""

from collections import Counter

import pytest

from samphirecleat.blackboard import Member
from samphirecleat.serving import advertised_members

ZONES = ("a", "b", "c")


def member(number: int, cores: float = 1.0) -> Member:
    name = f"n{number}"
    zone = ZONES[number % len(ZONES)]
    return Member(
        name, f"i{number}", 0, zone, f"{name}:1", f"{name}:2", 1, False, True, 1, 0, 0, cores=cores
    )


@pytest.mark.parametrize(
    ("nodes", "least", "most"), [(0, 0, 0), (9, 9, 9), (16, 16, 16), (75, 19, 21), (390, 98, 100)]
)
def test_number_of_advertised_nodes(nodes: int, least: int, most: int) -> None:
    advertised = advertised_members([member(n) for n in range(nodes)])
    assert least <= len(advertised) <= most
    assert len(set(advertised)) == len(advertised)


def test_zones_are_balanced_and_strong_hosts_come_first() -> None:
    """After the loss of a zone, callers must still find nodes in each of the others."""
    members = [member(n, cores=2.1 if n < 18 else 0.5) for n in range(75)]
    advertised = advertised_members(members)
    assert max(Counter(m.zone for m in advertised).values()) <= 7
    assert {m.node_id for m in members[:18]} <= {m.node_id for m in advertised}
    remaining = [m for m in members if m.zone != "a"]
    assert {m.zone for m in advertised_members(remaining)} == {"b", "c"}
    assert len(advertised_members(remaining)) >= 16


def test_lost_node_changes_one_entry() -> None:
    """Callers that cache the list must not all switch to other nodes at once."""
    members = [member(n) for n in range(75)]
    advertised = advertised_members(members)
    lost = advertised[3]
    after = advertised_members([m for m in members if m is not lost])
    assert len({m.node_id for m in advertised} - {m.node_id for m in after}) <= 2
    assert advertised_members(list(reversed(members))) != []
    assert {m.node_id for m in advertised_members(list(reversed(members)))} == {
        m.node_id for m in advertised
    }
