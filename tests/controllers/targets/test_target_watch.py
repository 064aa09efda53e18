"""Tests of which node polls a target, and how reports from other nodes are merged."""

import asyncio
import random

import pytest

from samphirecleat.blackboard import Blackboard, Identity, MemberView, TargetView
from samphirecleat.config import read_service_text
from samphirecleat.controllers.membership._discovery import HostListTable, reading_period_s
from samphirecleat.controllers.targets._target_gossip import TargetGossip, make_row, view_from_row
from samphirecleat.controllers.targets._target_watch import (
    MAX_SILENT_POLLS,
    PollView,
    TargetWatch,
    decide_polls,
    is_target_report_expired,
    silent_after_s,
)
from samphirecleat.peers import MemberRow, Message, MessageKind, TargetRow
from samphirecleat.platform import ListedHost

from ..membership.gossip_network import make_member

NOW_S = 100.0
ADDRESS = "10.0.0.1:8000"
VIEW = TargetView(
    ADDRESS, "asesor", "z", "boot-1", 7, slots=8, reported_at_s=NOW_S - 0.3, reachable=True
)


@pytest.mark.parametrize(
    ("view", "polled"),
    [
        pytest.param(PollView(["a"], [], {}), ["a"], id="owned"),
        pytest.param(PollView(["a"], ["a", "b"], {}), ["a", "b"], id="owned and silent"),
        pytest.param(PollView([], [], {"c": NOW_S + 1}), [], id="suspected, not due"),
        pytest.param(PollView([], [], {"c": NOW_S}), ["c"], id="suspected, due"),
        pytest.param(PollView([], ["c"], {"c": NOW_S + 1}), [], id="suspected and silent"),
        pytest.param(
            PollView([], [str(n) for n in range(500)], {}),
            [str(n) for n in range(MAX_SILENT_POLLS)],
            id="all silent",
        ),
    ],
)
def test_which_targets_a_node_polls(view, polled) -> None:
    """Guards against targets that no node polls, and against all nodes polling all targets.

    The node that owns a target dies, or its reports are lost. Without a fallback the others
    would route by outdated reports; without a limit their polls would flood the targets.
    """
    assert decide_polls(view, NOW_S) == polled


def test_silent_target_is_polled_within_leave_limit() -> None:
    """Guards against late detection of a target that begins to leave as its owner dies."""
    assert silent_after_s(16) + 0.5 < 3.0


def gossip_with(view: TargetView, polled_at_s: float) -> TargetGossip:
    gossip = TargetGossip()
    gossip.record_report(view, polled_at_s, NOW_S)
    return gossip


@pytest.mark.parametrize(
    ("changes", "polled_at_s", "expected"),
    [
        pytest.param({"version": 8}, 99.0, {"version": 7}, id="polled earlier"),
        pytest.param({"version": 8}, 101.0, {"version": 8}, id="polled later"),
        pytest.param({"leaving": False}, 101.0, {"leaving": True}, id="leaving is kept"),
        pytest.param(
            {"leaving": False, "instance": "boot-2"},
            101.0,
            {"leaving": False, "instance": "boot-2"},
            id="new instance is not leaving",
        ),
    ],
)
def test_merge_of_reports_out_of_order(changes, polled_at_s, expected) -> None:
    """Guards against an old report replacing a newer one.

    Reports of a target arrive through several nodes, late and out of order. Work would go
    to a target that is leaving, or be attributed to weights that it no longer has.
    """
    gossip = gossip_with(VIEW._replace(leaving=True), 100.0)
    gossip.record_report(VIEW._replace(leaving=True)._replace(**changes), polled_at_s, NOW_S)
    view = gossip.polled_targets[ADDRESS].view
    assert {name: getattr(view, name) for name in expected} == expected


def test_load_keeps_its_age_across_nodes() -> None:
    """Guards against routing by a report's age that omits its time in transit."""
    sender, receiver = gossip_with(VIEW, 100.0), gossip_with(VIEW, 99.0)
    sender.record_report(VIEW._replace(running=5, reported_at_s=100.7), 101.0, 101.0)
    message = sender.add_updates(ping_message(), 101.5)
    receiver.apply_loads(message.loads, 201.5)
    polled_target = receiver.polled_targets[ADDRESS]
    assert polled_target.view.running == 5
    assert polled_target.polled_at_s == pytest.approx(201.0, abs=0.01)
    assert polled_target.view.reported_at_s == pytest.approx(200.7, abs=0.01)


def test_load_of_another_instance_is_ignored() -> None:
    """Guards against the load of a former instance that arrives after a restart."""
    sender, receiver = gossip_with(VIEW, 100.0), gossip_with(VIEW, 100.0)
    receiver.record_report(VIEW._replace(instance="boot-2", running=1), 100.5, 100.5)
    sender.record_report(VIEW._replace(running=5), 101.0, 101.0)
    receiver.apply_loads(sender.add_updates(ping_message(), 101.0).loads, 101.0)
    assert receiver.polled_targets[ADDRESS].view.running == 1


@pytest.mark.parametrize("changes", [{"leaving": True}, {"reachable": False}])
def test_load_does_not_confirm_outdated_target_state(changes: dict[str, object]) -> None:
    """Guards against a load that hides a target's change to leaving or unreachable.

    The load of the same poll arrives before the row. It was applied to the old state, the
    row was ignored as no newer, and work went to the target for as long as loads arrived.
    """
    sender, receiver = gossip_with(VIEW, 100.0), gossip_with(VIEW, 100.0)
    sender.record_report(VIEW._replace(**changes), 101.0, 101.0)
    message = sender.add_updates(ping_message(), 101.0)
    receiver.apply_loads(message.loads, 101.0)
    assert receiver.polled_targets[ADDRESS].polled_at_s == 100.0
    row = make_row(sender.polled_targets[ADDRESS], 101.0)
    assert receiver.record_report(
        view_from_row(row, VIEW, 101.0), 101.0 - row.poll_age_ms / 1000.0, 101.0
    )
    view = receiver.polled_targets[ADDRESS].view
    assert {name: getattr(view, name) for name in changes} == changes


def test_message_size_is_independent_of_target_count() -> None:
    gossip = TargetGossip()
    for index in range(600):
        gossip.record_report(VIEW._replace(address=f"10.0.0.{index}:1"), 100.0, 100.0)
    message = gossip.add_updates(ping_message(), 100.0)
    assert len(message.loads) + len(message.targets) <= 25


def ping_message(*targets: TargetRow) -> Message:
    rows = [MemberRow(make_member("n2", "b"), 0)]
    return Message(MessageKind.PING, 1, "", 1, rows, [], list(targets))


class FakeTargetClient:
    """A target client for one target, whose ``reachable`` state the test sets."""

    def __init__(self) -> None:
        self.reachable = True
        self.poll_count = 0

    async def fetch_report(self, _target: TargetView, now_s: float) -> TargetView:
        """Return the report of the target."""
        self.poll_count += 1
        return VIEW._replace(reachable=self.reachable, reported_at_s=now_s)


def make_watch() -> tuple[Blackboard, TargetWatch, FakeTargetClient]:
    """Return a watch with one target, which another node, n2, owns."""
    board = Blackboard(Identity("n1", "a", "z", "h", "p"))
    text = (
        '{"services": {"asesor": {"kind": "engine", "capacity_per_target": 8, '
        f'"targets": {{"{ADDRESS}": {{"zone": "z"}}}}}}}}}}'
    )
    board.config = board.config._replace(revision=1, services=read_service_text(text))
    board.members["n2"] = MemberView(make_member("n2", "b"), NOW_S, alive=True)
    client = FakeTargetClient()
    return board, TargetWatch(board, client, 0.5, random.Random(1)), client


def test_unreachable_report_from_peer_is_verified() -> None:
    """Guards against losing a whole service because of one node's faulty network path.

    The target's owner cannot reach it and reports it as unreachable.
    """

    async def scenario() -> None:
        board, watch, client = make_watch()
        now_s = asyncio.get_running_loop().time()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable
        polled = client.poll_count
        row = make_row(watch.gossip.polled_targets[ADDRESS], now_s)
        watch.apply_updates(ping_message(row._replace(reachable=False, poll_age_ms=0)), now_s + 0.1)
        await watch.poll_once()
        assert client.poll_count == polled + 1
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


def test_target_is_unusable_after_refused_connection_until_it_answers() -> None:
    """Guards against work sent to a stopped target that no other node has noticed yet."""

    async def scenario() -> None:
        board, watch, client = make_watch()
        await watch.poll_once()
        client.reachable = False
        watch.record_refusal(ADDRESS)
        assert not board.targets[ADDRESS].usable
        await watch.poll_once()
        assert not board.targets[ADDRESS].usable
        client.reachable = True
        watch.apply_updates(
            ping_message(
                make_row(watch.gossip.polled_targets[ADDRESS], 0.0)._replace(reachable=True)
            ),
            1.0,
        )
        await watch.poll_once()
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("age_s", "target_count", "is_expired"),
    [(0.5, 14, False), (2.7, 14, False), (2.8, 14, True), (14.0, 600, False), (23.0, 600, True)],
)
def test_target_with_expired_report_gets_no_new_work(age_s, target_count, is_expired) -> None:
    """Guards against new work for a leaving target after two pauses.

    The target's owner pauses, the target reports leaving, and then this node pauses. This
    node dispatched by a view from before the owner's pause, so the target got a request
    after three seconds.
    """
    target = TargetView("10.0.0.1:8000", "asesor", "z", heard_at_s=100.0 - age_s)
    assert is_target_report_expired(target, target_count, 100.0) is is_expired


def test_restarted_watch_uses_no_target_before_host_list_is_read() -> None:
    """Guards against new work for a target that left while the watch was restarting.

    The watch fails and restarts two seconds later. Only the host list shows that the target
    is leaving; its own report does not.
    """

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable
        board.targets_polled_at_s -= 2.0
        task = asyncio.create_task(watch.drive())
        async with asyncio.timeout(10.0):
            while watch.polls < 3:
                await asyncio.sleep(0.01)
                assert not board.targets[ADDRESS].usable
            board.listed_at_s = asyncio.get_running_loop().time()
            while not board.targets[ADDRESS].usable:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())


def test_no_target_is_used_after_pause_before_it_answers() -> None:
    """Guards against new work for a target that began to leave during a pause of this node.

    Either the target's report or the host list may show it, so both are required.
    """

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        await watch.poll_once()
        watch.mark_all_unreachable()
        assert not board.targets[ADDRESS].usable
        polled_target = watch.gossip.polled_targets[ADDRESS]
        sender = gossip_with(polled_target.view._replace(running=3), polled_target.polled_at_s)
        sent_at_s = polled_target.polled_at_s + 1.0
        sender.record_report(polled_target.view._replace(running=4), sent_at_s, sent_at_s)
        watch.apply_updates(
            sender.add_updates(ping_message(), sent_at_s)._replace(targets=[]), sent_at_s
        )
        assert board.targets[ADDRESS].running == 4
        assert not board.targets[ADDRESS].usable
        await watch.poll_once()
        assert not board.targets[ADDRESS].usable
        board.listed_at_s = asyncio.get_running_loop().time()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


def test_host_list_leaving_state_overrides_target_report() -> None:
    """Guards against new work for a target that is leaving by the host list only."""

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        board.listed_targets = {ADDRESS: ("asesor", "z", True)}
        await watch.poll_once()
        assert board.targets[ADDRESS].leaving

    asyncio.run(scenario())


def test_later_host_list_read_takes_precedence() -> None:
    """Guards against an earlier read by another node replacing this node's later one."""
    local, remote = HostListTable(), HostListTable()
    row = ListedHost(ADDRESS, "asesor", "z", leaving=False)
    remote.update([row], 100.0)
    local.update([row._replace(leaving=True)], 105.0)
    for change in remote.take_changes(106.0):
        local.apply_change(change, 106.0)
    assert [r.leaving for r in local.present_rows()] == [True]
    for change in local.take_changes(106.0):
        remote.apply_change(change, 106.0)
    assert [r.leaving for r in remote.present_rows()] == [True]
    local.update([], 107.0)
    for change in local.take_changes(108.0):
        remote.apply_change(change, 108.0)
    assert list(remote.present_rows()) == []


def test_total_host_list_read_rate_is_bounded() -> None:
    assert reading_period_s(1.0, 13) == 1.0
    assert 390 / reading_period_s(1.0, 390) == pytest.approx(16.0)
