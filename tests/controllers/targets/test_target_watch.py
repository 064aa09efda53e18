"""Who asks a target, and what is believed of what others say."""

import asyncio
import random

import pytest

from samphirecleat.blackboard import Blackboard, Identity, MemberView, TargetView
from samphirecleat.config import read_service_text
from samphirecleat.controllers.membership._discovery import ListedNews, reading_period_s
from samphirecleat.controllers.targets._target_news import TargetGossip, make_row, view_of_row
from samphirecleat.controllers.targets._target_watch import (
    FALLBACK_POLLS,
    TargetWatch,
    WatchView,
    decide_polls,
    is_target_report_expired,
    silent_after_s,
)
from samphirecleat.peers import MemberRow, Message, MessageKind, TargetRow
from samphirecleat.platform import ListedHost

from ..membership.gossip_network import make_member

NOW_S = 100.0
ADDRESS = "10.0.0.1:8000"
SEEN = TargetView(
    ADDRESS, "asesor", "z", "boot-1", 7, slots=8, reported_at_s=NOW_S - 0.3, reachable=True
)


@pytest.mark.parametrize(
    ("view", "asked"),
    [
        pytest.param(WatchView(["a"], [], {}), ["a"], id="its own"),
        pytest.param(WatchView(["a"], ["a", "b"], {}), ["a", "b"], id="a silent one too"),
        pytest.param(WatchView([], [], {"c": NOW_S + 1}), [], id="doubted, not yet due"),
        pytest.param(WatchView([], [], {"c": NOW_S}), ["c"], id="doubted and due"),
        pytest.param(WatchView([], ["c"], {"c": NOW_S + 1}), [], id="doubted and silent"),
        pytest.param(
            WatchView([], [str(n) for n in range(500)], {}),
            [str(n) for n in range(FALLBACK_POLLS)],
            id="all silent",
        ),
    ],
)
def test_which_targets_a_node_asks(view, asked) -> None:
    """The node that asks a target for all others dies, or the news of it is lost.

    Were nobody to ask then, the others would route by what it said long ago; were
    all to ask for all at once, the targets would be flooded.
    """
    assert decide_polls(view, NOW_S) == asked


def test_silence_is_noticed_in_time_today() -> None:
    """A target begins to leave just as the node that watches it dies."""
    assert silent_after_s(16) + 0.5 < 3.0


def news_with(view: TargetView, polled_at_s: float) -> TargetGossip:
    gossip = TargetGossip()
    gossip.note(view, polled_at_s, NOW_S)
    return gossip


@pytest.mark.parametrize(
    ("changes", "polled_at_s", "expected"),
    [
        pytest.param({"version": 8}, 99.0, {"version": 7}, id="asked earlier"),
        pytest.param({"version": 8}, 101.0, {"version": 8}, id="asked later"),
        pytest.param({"leaving": False}, 101.0, {"leaving": True}, id="leaving is kept"),
        pytest.param(
            {"leaving": False, "instance": "boot-2"},
            101.0,
            {"leaving": False, "instance": "boot-2"},
            id="a new instance stays",
        ),
    ],
)
def test_what_is_known_after_another_answer(changes, polled_at_s, expected) -> None:
    """Answers of one target come round by several nodes, late and out of order.

    If an old one won, work would go to a target that leaves, or be counted to
    weights that it no longer has.
    """
    gossip = news_with(SEEN._replace(leaving=True), 100.0)
    gossip.note(SEEN._replace(leaving=True)._replace(**changes), polled_at_s, NOW_S)
    view = gossip.polled_targets[ADDRESS].view
    assert {name: getattr(view, name) for name in expected} == expected


def test_a_load_reaches_another_node_with_its_age() -> None:
    """Routing discounts a report by its age, which must count the way round too."""
    teller, hearer = news_with(SEEN, 100.0), news_with(SEEN, 99.0)
    teller.note(SEEN._replace(running=5, reported_at_s=100.7), 101.0, 101.0)
    message = teller.load(ping(), 101.5)
    hearer.unload_loads(message.loads, 201.5)
    heard = hearer.polled_targets[ADDRESS]
    assert heard.view.running == 5
    assert heard.polled_at_s == pytest.approx(201.0, abs=0.01)
    assert heard.view.reported_at_s == pytest.approx(200.7, abs=0.01)


def test_a_load_of_another_instance_is_passed_over() -> None:
    """A target restarted at its address and the load of its old life comes round."""
    teller, hearer = news_with(SEEN, 100.0), news_with(SEEN, 100.0)
    hearer.note(SEEN._replace(instance="boot-2", running=1), 100.5, 100.5)
    teller.note(SEEN._replace(running=5), 101.0, 101.0)
    hearer.unload_loads(teller.load(ping(), 101.0).loads, 101.0)
    assert hearer.polled_targets[ADDRESS].view.running == 1


@pytest.mark.parametrize("changes", [{"leaving": True}, {"reachable": False}])
def test_a_load_does_not_vouch_for_what_a_target_was_before(changes: dict[str, object]) -> None:
    """A target says that it leaves, and its load of the same answer arrives before its row.

    The load was taken for the newest word of a target that stays: the row, no newer, was passed
    over, and work went on to the target for as long as loads came.
    """
    teller, hearer = news_with(SEEN, 100.0), news_with(SEEN, 100.0)
    teller.note(SEEN._replace(**changes), 101.0, 101.0)
    message = teller.load(ping(), 101.0)
    hearer.unload_loads(message.loads, 101.0)
    assert hearer.polled_targets[ADDRESS].polled_at_s == 100.0
    row = make_row(teller.polled_targets[ADDRESS], 101.0)
    assert hearer.note(view_of_row(row, SEEN, 101.0), 101.0 - row.poll_age_ms / 1000.0, 101.0)
    view = hearer.polled_targets[ADDRESS].view
    assert {name: getattr(view, name) for name in changes} == changes


def test_the_size_of_the_news_does_not_grow_with_the_targets() -> None:
    gossip = TargetGossip()
    for index in range(600):
        gossip.note(SEEN._replace(address=f"10.0.0.{index}:1"), 100.0, 100.0)
    message = gossip.load(ping(), 100.0)
    assert len(message.loads) + len(message.targets) <= 25


def ping(*targets: TargetRow) -> Message:
    rows = [MemberRow(make_member("n2", "b"), 0)]
    return Message(MessageKind.PING, 1, "", 1, rows, [], list(targets))


class Answers:
    """Stands in for the client of targets; ``reachable`` can be switched."""

    def __init__(self) -> None:
        self.reachable = True
        self.asked = 0

    async def report(self, _target: TargetView, now_s: float) -> TargetView:
        """Answer as the one target would."""
        self.asked += 1
        return SEEN._replace(reachable=self.reachable, reported_at_s=now_s)


def make_watch() -> tuple[Blackboard, TargetWatch, Answers]:
    """Return a watch whose one target is asked by another node, n2."""
    board = Blackboard(Identity("n1", "a", "z", "h", "p"))
    text = (
        '{"services": {"asesor": {"kind": "engine", "capacity_per_target": 8, '
        f'"targets": {{"{ADDRESS}": {{"zone": "z"}}}}}}}}}}'
    )
    board.config = board.config._replace(revision=1, services=read_service_text(text))
    board.members["n2"] = MemberView(make_member("n2", "b"), NOW_S, alive=True)
    answers = Answers()
    return board, TargetWatch(board, answers, 0.5, random.Random(1)), answers


def test_word_of_an_unreachable_target_is_checked_first() -> None:
    """The watcher's own path to a target fails, and it calls the target unreachable.

    If all believed it, a whole service could be lost to one bad path.
    """

    async def scenario() -> None:
        board, watch, answers = make_watch()
        now_s = asyncio.get_running_loop().time()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable
        asked = answers.asked
        row = make_row(watch.gossip.polled_targets[ADDRESS], now_s)
        watch.unload(ping(row._replace(reachable=False, poll_age_ms=0)), now_s + 0.1)
        await watch.poll_once()
        assert answers.asked == asked + 1
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


def test_a_refused_connection_takes_a_target_out_of_use_until_it_answers() -> None:
    """A target ends without a word; this node's own call is the first to notice."""

    async def scenario() -> None:
        board, watch, answers = make_watch()
        await watch.poll_once()
        answers.reachable = False
        watch.note_refused(ADDRESS)
        assert not board.targets[ADDRESS].usable
        await watch.poll_once()
        assert not board.targets[ADDRESS].usable
        answers.reachable = True
        watch.unload(
            ping(make_row(watch.gossip.polled_targets[ADDRESS], 0.0)._replace(reachable=True)), 1.0
        )
        await watch.poll_once()
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("heard_ago_s", "target_count", "unheard"),
    [(0.5, 14, False), (2.7, 14, False), (2.8, 14, True), (14.0, 600, False), (23.0, 600, True)],
)
def test_a_target_nobody_asked_for_long_gets_nothing_new(
    heard_ago_s, target_count, unheard
) -> None:
    """A target's watcher freezes, the target says that it leaves, and then this node freezes.

    This node served by a view of it from before the watcher froze; its operator saw
    the leaving target get a request after three seconds.
    """
    target = TargetView("10.0.0.1:8000", "asesor", "z", heard_at_s=100.0 - heard_ago_s)
    assert is_target_report_expired(target, target_count, 100.0) is unheard


def test_a_watch_that_starts_again_trusts_no_target_at_once() -> None:
    """The watch fails and starts again two seconds later; a target left meanwhile.

    It left by the host list alone, so that its own answer does not tell.
    """

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable
        board.targets_kept_at_s -= 2.0
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


def test_after_a_pause_no_target_is_used_before_it_answers() -> None:
    """A node's process freezes, a target begins to leave, and the node wakes.

    The target may say so itself or the host list may; the one alone is not enough.
    """

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        await watch.poll_once()
        watch.distrust_all()
        assert not board.targets[ADDRESS].usable
        heard = watch.gossip.polled_targets[ADDRESS]
        teller = news_with(heard.view._replace(running=3), heard.polled_at_s)
        told_at_s = heard.polled_at_s + 1.0
        teller.note(heard.view._replace(running=4), told_at_s, told_at_s)
        watch.unload(teller.load(ping(), told_at_s)._replace(targets=[]), told_at_s)
        assert board.targets[ADDRESS].running == 4
        assert not board.targets[ADDRESS].usable
        await watch.poll_once()
        assert not board.targets[ADDRESS].usable
        board.listed_at_s = asyncio.get_running_loop().time()
        await watch.poll_once()
        assert board.targets[ADDRESS].usable

    asyncio.run(scenario())


def test_leaving_by_the_host_list_holds_whatever_the_target_says() -> None:
    """The host list shows a target as leaving before the target itself knows."""

    async def scenario() -> None:
        board, watch, _answers = make_watch()
        board.listed_targets = {ADDRESS: ("asesor", "z", True)}
        await watch.poll_once()
        assert board.targets[ADDRESS].leaving

    asyncio.run(scenario())


def test_of_two_readings_of_the_host_list_the_later_counts() -> None:
    """One node reads the list, another tells of an earlier reading of its own."""
    here, there = ListedNews(), ListedNews()
    row = ListedHost(ADDRESS, "asesor", "z", leaving=False)
    there.read([row], 100.0)
    here.read([row._replace(leaving=True)], 105.0)
    for change in there.tell(106.0):
        here.hear(change, 106.0)
    assert [r.leaving for r in here.present()] == [True]
    for change in here.tell(106.0):
        there.hear(change, 106.0)
    assert [r.leaving for r in there.present()] == [True]
    here.read([], 107.0)
    for change in here.tell(108.0):
        there.hear(change, 108.0)
    assert list(there.present()) == []


def test_many_nodes_together_read_the_list_no_more_often_than_a_few() -> None:
    assert reading_period_s(1.0, 13) == 1.0
    assert 390 / reading_period_s(1.0, 390) == pytest.approx(16.0)
