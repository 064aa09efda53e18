"""Tests of the gossip decisions over a simulated network with faults."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from samphirecleat.controllers.membership._gossip import DISCARD_AFTER_PAUSE_S
from samphirecleat.controllers.membership._member_table import Liveness, MemberTable, RowChange
from samphirecleat.peers import (
    Death,
    HeartbeatCodec,
    HeartbeatError,
    MemberRow,
    Message,
    MessageKind,
)

from .gossip_network import HEARTBEAT_S, SUSPECT_AFTER_S, Network, make_member

SETTLE_S = 25.0
SIMULATED = {"runs": 0, "datagrams": 0}


def build_network(count: int, seed: int = 1) -> Network:
    network = Network(random.Random(seed))
    for index in range(count):
        network.start(f"n{index}", f"n{index}-a")
    network.run(10.0)
    assert network.views_agree()
    return network


def seconds_until(network: Network, condition, at_most_s: float) -> float:
    began_s = network.now_s
    while not condition():
        assert network.now_s - began_s < at_most_s, "condition not reached in time"
        network.run(0.1)
    return network.now_s - began_s


@settings(max_examples=60)
@given(
    seed=st.integers(0, 2**32),
    count=st.integers(2, 9),
    loss=st.floats(0.0, 0.5),
    duplicated=st.floats(0.0, 0.5),
    max_delay_s=st.floats(0.001, 1.5),
    faults=st.lists(
        st.tuples(
            st.sampled_from(["kill", "replace", "pause", "cut", "heal", "leave"]),
            st.integers(0, 8),
            st.floats(0.1, 6.0),
        ),
        max_size=8,
    ),
)
def run_random_faults(seed, count, loss, duplicated, max_delay_s, faults) -> None:
    network = Network(random.Random(seed), loss, duplicated, max_delay_s)
    for index in range(count):
        network.start(f"n{index}", f"n{index}-a", 1000 + index)
    for number, (fault, index, pause_s) in enumerate(faults):
        address = f"n{index % count}"
        inject_fault(network, fault, address, number, pause_s)
        network.run(pause_s)
    network.is_cut = lambda _a, _b: False
    network.loss = network.duplicated = 0.0
    network.max_delay_s = 0.01
    network.run(SETTLE_S)
    SIMULATED["runs"] += 1
    SIMULATED["datagrams"] += network.delivered
    assert network.views_agree(), {a: network.alive_at(a) for a in network.nodes}
    for viewer in network.nodes.values():
        for known in viewer.gossip.table.alive():
            leaving = network.nodes[known.member.node_id].own.leaving
            assert known.member.leaving == leaving


def inject_fault(network: Network, fault: str, address: str, number: int, pause_s: float) -> None:
    match fault:
        case "kill" if address in network.nodes and len(network.nodes) > 1:
            network.stop(address)
        case "replace":
            if address in network.nodes:
                network.stop(address)
            # The wall clock of the new host is behind that of the old one.
            network.start(address, f"{address}-{number}", 500 - number)
        case "pause" if address in network.nodes:
            network.nodes[address].paused_until_s = network.now_s + pause_s
        case "cut":
            side = {name for name in network.nodes if name <= address}
            network.is_cut = lambda a, b: (a in side) != (b in side)
        case "heal":
            network.is_cut = lambda _a, _b: False
        case "leave" if address in network.nodes:
            node = network.nodes[address]
            node.own = node.own._replace(leaving=True)
            network.send(address, node.gossip.announce(node.own, network.now_s))


def test_all_live_processes_agree_after_any_faults(capsys) -> None:
    """Datagrams are lost, duplicated and delayed while processes die, pause and are replaced.

    A node that kept a wrong view after the network recovered would send callers to hosts
    that are gone, or leave a live host without work.
    """
    run_random_faults()
    with capsys.disabled():
        print(f"\nmembership: {SIMULATED['runs']} interleavings, ", end="")
        print(f"{SIMULATED['datagrams']} datagrams delivered")
    assert SIMULATED["runs"] >= 60


@pytest.mark.parametrize("count", [3, 9, 40])
def test_a_death_is_known_everywhere_in_bounded_time(count: int) -> None:
    """A process is killed without notice; until its death is known, work is sent to it."""
    network = build_network(count)
    network.stop("n2")
    seconds_until(network, network.views_agree, 5 * SUSPECT_AFTER_S)


@pytest.mark.parametrize("count", [3, 9, 40])
def test_leaving_is_known_everywhere_in_a_few_periods(count: int) -> None:
    """A node begins to drain; its address must no longer be handed to callers."""
    network = build_network(count)
    inject_fault(network, "leave", "n1", 0, 0.0)

    def known_everywhere() -> bool:
        tables = [node.gossip.table for node in network.nodes.values()]
        return all(table.records["n1-a"].member.leaving for table in tables)

    seconds_until(network, known_everywhere, 8 * HEARTBEAT_S)


def test_a_new_revision_is_known_everywhere_in_a_few_periods() -> None:
    """One node reads a new configuration from the log; the others learn of it by gossip.

    It must be in force everywhere within 4 s, of which this is the first part.
    """
    network = build_network(40)
    node = network.nodes["n7"]
    node.own = node.own._replace(config_revision=2)

    def known_everywhere() -> bool:
        tables = [node.gossip.table for node in network.nodes.values()]
        return all(table.records["n7-a"].member.config_revision == 2 for table in tables)

    seconds_until(network, known_everywhere, 2.5)


def test_a_bare_update_goes_to_different_live_members_and_is_not_answered() -> None:
    """Guards against urgent reports that cost acknowledgements or all go to one member."""
    network = build_network(9)
    network.run(5.0)
    sender, *others = network.nodes.values()
    for count, sent_count in ((3, 3), (12, 8)):
        outgoing = sender.gossip.address_to_some(sender.gossip.bare_update(), count)
        assert len({out.address for out in outgoing}) == len(outgoing) == sent_count
    message = sender.gossip.bare_update()
    assert not any(other.gossip.receive(message, network.now_s) for other in others)


def test_the_loss_of_a_zone_is_detected() -> None:
    """A third of the hosts loses power at the same time."""
    network = build_network(30)
    for index in range(10):
        network.stop(f"n{index}")
    seconds_until(network, network.views_agree, 8 * SUSPECT_AFTER_S)


def test_a_healed_partition_rejoins() -> None:
    """A partition lasts until each side considers the other dead, and then heals.

    If dead addresses were not contacted, the cluster would stay split permanently.
    """
    network = build_network(8)
    side = {"n0", "n1", "n2", "n3"}
    network.is_cut = lambda a, b: (a in side) != (b in side)
    network.run(600.0)
    assert network.alive_at("n5") == {"n4-a", "n5-a", "n6-a", "n7-a"}
    network.is_cut = lambda _a, _b: False
    seconds_until(network, network.views_agree, 20 * HEARTBEAT_S)


def test_a_replaced_host_with_a_slow_clock_is_recognized() -> None:
    """A host is replaced at its address by a new process whose wall clock runs behind.

    If the later start time won, the new process would get no work for as long as its
    clock stays behind.
    """
    network = build_network(5)
    network.stop("n3")
    network.start("n3", "n3-b", started_at_ms=-10_000_000)
    seconds_until(network, network.views_agree, SUSPECT_AFTER_S)
    view = network.nodes["n0"].gossip.table.current_view("n3")
    assert view is not None
    assert view.member.incarnation == "n3-b"


def test_a_resumed_process_is_not_ready_until_a_probe_is_answered() -> None:
    """A process is paused for a minute and resumes with an outdated view.

    Datagrams queued in its socket look recent. They must not change its view of other
    members, and it must not be handed to callers before a probe of its own is answered.
    """
    network = build_network(5)
    node = network.nodes["n4"]
    node.paused_until_s = network.now_s + 60.0
    network.run(59.0)
    assert "n4-a" not in network.alive_at("n0")
    network.stop("n3")
    before = dict(node.gossip.table.records)
    network.is_cut = lambda a, b: "n4" in (a, b)
    network.run(1.0 + DISCARD_AFTER_PAUSE_S / 2)
    assert node.gossip.own.ready is False
    assert {k: v.made_at_s for k, v in node.gossip.table.records.items() if k != "n4-a"} == {
        k: v.made_at_s for k, v in before.items() if k != "n4-a"
    }
    network.is_cut = lambda _a, _b: False
    seconds_until(
        network, lambda: network.views_agree() and node.gossip.own.ready, 5 * SUSPECT_AFTER_S
    )


def test_a_wrong_death_report_is_refuted() -> None:
    """One node can't reach a live process and reports its death to the others."""
    network = build_network(6)
    network.is_cut = lambda a, b: {a, b} == {"n0", "n5"}
    network.run(20.0)
    assert all("n5-a" in network.alive_at(f"n{index}") for index in range(1, 5))


@pytest.mark.parametrize(
    ("liveness", "sequence", "age_s", "change"),
    [
        pytest.param(Liveness.ALIVE, 4, 0.0, RowChange.NONE, id="older row"),
        pytest.param(Liveness.ALIVE, 5, 0.0, RowChange.NONE, id="same row again"),
        pytest.param(Liveness.ALIVE, 6, 0.0, RowChange.REFRESHED, id="newer row"),
        pytest.param(Liveness.DEAD, 6, 9.0, RowChange.REFRESHED, id="made before the silence"),
        pytest.param(Liveness.DEAD, 6, 0.0, RowChange.UPDATED, id="made after the silence"),
        pytest.param(Liveness.GONE, 6, 0.0, RowChange.NONE, id="after its announced exit"),
    ],
)
def test_which_rows_change_the_member_table(liveness, sequence, age_s, change) -> None:
    """Rows arrive late, twice, or are replayed, including rows of ended processes.

    If such a row were accepted, callers would be sent to a process that no longer exists.
    """
    table = MemberTable()
    table.merge(make_member("n1", "a")._replace(sequence=5), 0.0, 10.0)
    if liveness is not Liveness.ALIVE:
        table.mark_ended("a", liveness, 15.0)
    row = make_member("n1", "a")._replace(sequence=sequence)
    assert table.merge(row, age_s, 20.0) is change
    assert (table.records["a"].liveness is Liveness.ALIVE) == (
        liveness is Liveness.ALIVE or change is RowChange.UPDATED
    )


def test_a_replayed_row_of_a_removed_process_changes_nothing() -> None:
    """A datagram of a process that ended hours ago is replayed."""
    table = MemberTable()
    row = make_member("n1", "a")._replace(sequence=5)
    table.merge(row, 0.0, 0.0)
    table.mark_ended("a", Liveness.DEAD, 1.0)
    table.remove_expired(1e6)
    assert "a" not in table.records
    assert table.merge(row, 0.0, 1e6) is RowChange.NONE
    assert table.records == {}


def test_the_number_of_datagrams_per_node_does_not_grow_with_the_fleet() -> None:
    """If every node contacted all others, its traffic would grow with the fleet."""
    per_node = []
    for count in (10, 30, 60):
        network = build_network(count)
        network.sent_by_kind.clear()
        network.run(20.0)
        per_node.append(sum(network.sent_by_kind.values()) / count / 20.0)
    assert max(per_node) < 1.2 * min(per_node)


def ping(incarnation: str = "n9-a") -> Message:
    rows = [MemberRow(make_member("n9", incarnation), 0)]
    return Message(
        MessageKind.PING, 7, "", 1, rows, [Death("n1-a", 0, self_reported=True)], [], [], []
    )


@pytest.mark.parametrize(
    "corrupt",
    [
        pytest.param(lambda _good: HeartbeatCodec("another-shared-key").pack(ping()), id="key"),
        pytest.param(lambda good: good[:-1], id="truncated"),
        pytest.param(lambda good: good[:40] + bytes([good[40] ^ 1]) + good[41:], id="bit flip"),
        pytest.param(lambda _good: b"", id="empty"),
        pytest.param(
            lambda _good: HeartbeatCodec("k" * 16)._sign(b"\xc1") + b"\xc1", id="invalid msgpack"
        ),
    ],
)
def test_a_forged_or_corrupted_datagram_is_rejected(corrupt) -> None:
    """A datagram is forged without the shared key, or corrupted in transit."""
    codec = HeartbeatCodec("k" * 16)
    assert codec.unpack(codec.pack(ping())) == ping()
    with pytest.raises(HeartbeatError):
        codec.unpack(corrupt(codec.pack(ping())))
