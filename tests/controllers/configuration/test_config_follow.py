"""Tests of which nodes read the log, and of which peers a node asks."""

import pytest

from samphirecleat.blackboard import Member
from samphirecleat.config import ConfigState
from samphirecleat.controllers.configuration._config_follow import (
    FollowPeers,
    ReadLog,
    choose_config_source,
    peers_to_ask,
)


def make_member(
    number: int, zone: str = "bilbao-a", revision: int = 3, reads_log: bool = True
) -> Member:
    return Member(
        node_id=f"n{number}",
        incarnation="i",
        started_at_ms=0,
        zone=zone,
        http_address="",
        peer_address="",
        sequence=1,
        leaving=False,
        ready=True,
        config_revision=revision,
        key_epoch=0,
        in_flight=0,
        reads_log=reads_log,
    )


def readers(members: list[Member]) -> list[str]:
    chosen = [m for m in members if choose_config_source(m.node_id, m.zone, members) == ReadLog()]
    return [m.node_id for m in chosen]


@pytest.mark.parametrize("count", [1, 5])
def test_every_node_of_a_small_zone_reads(count: int) -> None:
    members = [make_member(number) for number in range(count)]
    assert len(readers(members)) == count


def test_two_nodes_per_zone_read_in_a_fleet_of_390() -> None:
    members = [make_member(number, zone=f"z{number % 5}") for number in range(390)]
    assert len(readers(members)) == 10


def test_all_nodes_read_when_the_readers_are_cut_off() -> None:
    """The two readers of a zone are alive but can't reach the log."""
    members = [make_member(number) for number in range(20)]
    chosen = readers(members)
    cut_off = [m._replace(reads_log=m.node_id not in chosen) for m in members]
    assert len(readers(cut_off)) == 20


def test_a_dead_reader_is_replaced_by_the_next_rank() -> None:
    members = [make_member(number) for number in range(20)]
    first, second = readers(members)
    left = readers([m for m in members if m.node_id != first])
    assert len(left) == 2
    assert second in left


def test_a_node_missing_from_its_own_view_reads() -> None:
    assert choose_config_source("n0", "bilbao-a", []) == ReadLog()
    others = [make_member(number, reads_log=False) for number in range(1, 9)]
    assert choose_config_source("n0", "bilbao-a", others) == ReadLog()
    reading = [m._replace(reads_log=True) for m in others]
    assert choose_config_source("n0", "bilbao-a", reading) == FollowPeers()


PEERS_TO_ASK_CASES = {
    "one peer is ahead": (ConfigState(revision=3, folded_to=5), [2, 3, 4], ["n2"]),
    "no peer is ahead": (ConfigState(revision=4, folded_to=5), [2, 3, 4], []),
    "records were missed": (ConfigState(revision=3, unread_below=9), [2, 3, 4], ["n1", "n2"]),
    "no configuration": (ConfigState(), [-1, -1, 0], ["n2"]),
}


@pytest.mark.parametrize("name", PEERS_TO_ASK_CASES)
def test_peers_to_ask(name: str) -> None:
    """A node can't reach the log, or has missed records, while its peers are up to date."""
    state, revisions, expected = PEERS_TO_ASK_CASES[name]
    members = [make_member(number, revision=revision) for number, revision in enumerate(revisions)]
    members.append(make_member(9, revision=99))
    assert [m.node_id for m in peers_to_ask(state, "n9", members)] == expected
