"""Which nodes callers are offered."""

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
def test_how_many_are_offered(nodes: int, least: int, most: int) -> None:
    offered = advertised_members([member(n) for n in range(nodes)])
    assert least <= len(offered) <= most
    assert len(set(offered)) == len(offered)


def test_zones_are_offered_alike_and_strong_hosts_first() -> None:
    """A zone is lost, and the callers of the others must find as many nodes as before."""
    members = [member(n, cores=2.1 if n < 18 else 0.5) for n in range(75)]
    offered = advertised_members(members)
    assert max(Counter(m.zone for m in offered).values()) <= 7
    assert {m.node_id for m in members[:18]} <= {m.node_id for m in offered}
    left = [m for m in members if m.zone != "a"]
    assert {m.zone for m in advertised_members(left)} == {"b", "c"}
    assert len(advertised_members(left)) >= 16


def test_a_lost_node_changes_one_entry() -> None:
    """Callers that keep an answer for a while must not all turn to other nodes."""
    members = [member(n) for n in range(75)]
    offered = advertised_members(members)
    lost = offered[3]
    after = advertised_members([m for m in members if m is not lost])
    assert len({m.node_id for m in offered} - {m.node_id for m in after}) <= 2
    assert advertised_members(list(reversed(members))) != []
    assert {m.node_id for m in advertised_members(list(reversed(members)))} == {
        m.node_id for m in offered
    }
