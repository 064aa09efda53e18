"""Crash reports on heartbeats: they reach the other nodes within a small message size."""

from samphirecleat.blackboard import Member
from samphirecleat.crashes import CrashedRun, CrashGossip, CrashLedger, CrashVerdict
from samphirecleat.crashes._crash_gossip import MAX_PENDING, ROWS_PER_MESSAGE
from samphirecleat.peers import HeartbeatCodec, MemberRow, Message, MessageKind

CALL = b"\x07" * 12
ROW = MemberRow(Member("n", "i", 0, "z", "", "", 0, False, True, 0, 0, 0), 0)
EMPTY = Message(MessageKind.PING, 0, "", 1, [ROW])


class Node:
    """The crash ledger and gossip of one node."""

    def __init__(self, node_count: int = 9) -> None:
        self.ledger = CrashLedger()
        self.gossip = CrashGossip(self.ledger, lambda: node_count)

    def observe_crash(self, digest: bytes, target: str, begun_s: float, ended_s: float) -> None:
        if self.ledger.record_crash(digest, CrashedRun(target, begun_s, ended_s, "n"), ended_s):
            self.gossip.announce(digest, target)


def encode_and_decode(message: Message) -> Message:
    codec = HeartbeatCodec("key")
    return codec.unpack(codec.pack(message))


def test_crashes_seen_by_three_nodes_refuse_the_call_at_a_fourth() -> None:
    observers, fourth = [Node(), Node(), Node()], Node()
    for number, node in enumerate(observers):
        node.observe_crash(CALL, f"t{number}", number * 1.0, number + 0.1)
        fourth.gossip.apply_updates(encode_and_decode(node.gossip.add_updates(EMPTY, 3.0)), 3.0)
    assert fourth.ledger.verdict(CALL, 9.0) is CrashVerdict.REFUSED
    evidence = fourth.ledger.suspects[CALL].crashed_runs["t0"]
    assert (evidence.node, round(evidence.ended_s, 2)) == ("n", 0.1)


def test_answer_seen_by_one_node_clears_the_call_at_another() -> None:
    one, other = Node(), Node()
    for node in (one, other):
        node.observe_crash(CALL, "t", 0.0, 0.1)
    assert one.ledger.record_answer(CALL, 1.0)
    one.gossip.announce(CALL)
    for _ in range(2):
        other.gossip.apply_updates(encode_and_decode(one.gossip.add_updates(EMPTY, 2.0)), 2.0)
    assert other.ledger.verdict(CALL, 2.0) is CrashVerdict.CLEAR


def test_answer_is_reported_beside_many_crashes() -> None:
    """Guards against a call that stays blocked at other nodes after it was answered.

    Targets crash while they run hundreds of calls; the reports of these must not delay the report
    of an answer, nor many answers the reports of crashes.
    """
    node = Node(390)
    for number in range(40):
        node.observe_crash(b"%12d" % number, "t", 0.0, 0.1)
    node.observe_crash(CALL, "t", 0.0, 0.1)
    assert node.ledger.record_answer(CALL, 1.0)
    node.gossip.announce(CALL)
    rows = node.gossip.add_updates(EMPTY, 2.0).crashes
    assert (CALL, "") in [(row.digest, row.target) for row in rows]
    for number in range(20):
        node.ledger.record_answer(b"%12d" % number, 1.0)
        node.gossip.announce(b"%12d" % number)
    rows = node.gossip.add_updates(EMPTY, 2.0).crashes
    assert [row.target for row in rows].count("") == ROWS_PER_MESSAGE / 2


def test_report_is_sent_a_bounded_number_of_times() -> None:
    node = Node()
    node.observe_crash(CALL, "t", 0.0, 0.1)
    sent_rows = sum(len(node.gossip.add_updates(EMPTY, 1.0).crashes) for _ in range(100))
    assert 4 <= sent_rows <= 8
    assert node.gossip.add_updates(EMPTY, 1.0) is EMPTY


def test_datagrams_stay_small_and_report_the_worst_suspect_first() -> None:
    """Each target of a busy service crashes while it runs hundreds of calls; one is the cause."""
    node = Node(390)
    for number in range(2 * MAX_PENDING):
        node.observe_crash(b"%12d" % number, f"t{number % 8}", 0.0, 0.1)
    for target in ("a", "b"):
        node.observe_crash(CALL, target, 0.2, 0.3)
    message = node.gossip.add_updates(EMPTY, 1.0)
    assert len(message.crashes) == ROWS_PER_MESSAGE
    assert [row.digest for row in message.crashes[:2]] == [CALL, CALL]
    assert len(HeartbeatCodec("key").pack(message)) < 600


def test_message_without_reports_has_the_old_encoding() -> None:
    """During a rolling upgrade, older nodes must still read the messages of newer ones."""
    codec = HeartbeatCodec("key")
    assert codec.pack(EMPTY)[16:] == codec._encoder.encode(EMPTY[:-1])


def test_late_report_does_not_restore_a_crash_that_the_log_has_dropped() -> None:
    """The log drops an answered call, while a node that missed the answer reports on.

    Guards against an innocent call that collects crashes from before its answers.
    """
    observer, node = Node(), Node()
    for number in range(2):
        observer.observe_crash(CALL, f"t{number}", number * 1.0, number + 0.1)
    message = observer.gossip.add_updates(EMPTY, 1.2)
    node.gossip.apply_updates(message, 1.2)
    node.ledger.record_answer(CALL, 1.5)
    node.ledger.drop(CALL, 1.6)
    node.gossip.apply_updates(message, 1.2)
    assert node.ledger.verdict(CALL, 2.0) is CrashVerdict.CLEAR
