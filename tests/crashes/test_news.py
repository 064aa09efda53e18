"""Evidence on heartbeats: what one node saw reaches the others, in few bytes."""

from samphirecleat.blackboard import Member
from samphirecleat.crashes import CrashLedger, CrashNews, RunEnd, Standing
from samphirecleat.crashes._news import MOST_UNTOLD, ROWS_PER_MESSAGE
from samphirecleat.peers import HeartbeatCodec, MemberRow, Message, MessageKind

CALL = b"\x07" * 12
ROW = MemberRow(Member("n", "i", 0, "z", "", "", 0, False, True, 0, 0, 0), 0)
EMPTY = Message(MessageKind.PING, 0, "", 1, [ROW])


class Node:
    """What one node knows and tells."""

    def __init__(self, node_count: int = 9) -> None:
        self.ledger = CrashLedger()
        self.news = CrashNews(self.ledger, lambda: node_count)

    def see(self, mark: bytes, target: str, begun_s: float, ended_s: float) -> None:
        if self.ledger.note_end(mark, RunEnd(target, begun_s, ended_s, "n"), ended_s):
            self.news.tell(mark, target)


def passed_on(message: Message) -> Message:
    codec = HeartbeatCodec("key")
    return codec.unpack(codec.pack(message))


def test_ends_that_three_nodes_saw_refuse_the_call_at_a_fourth() -> None:
    seers, fourth = [Node(), Node(), Node()], Node()
    for number, node in enumerate(seers):
        node.see(CALL, f"t{number}", number * 1.0, number + 0.1)
        fourth.news.apply_updates(passed_on(node.news.add_updates(EMPTY, 3.0)), 3.0)
    assert fourth.ledger.standing(CALL, 9.0) is Standing.REFUSED
    evidence = fourth.ledger.suspects[CALL].ends["t0"]
    assert (evidence.node, round(evidence.ended_s, 2)) == ("n", 0.1)


def test_an_answer_that_one_node_saw_clears_the_call_at_another() -> None:
    one, other = Node(), Node()
    for node in (one, other):
        node.see(CALL, "t", 0.0, 0.1)
    assert one.ledger.note_answer(CALL, 1.0)
    one.news.tell(CALL)
    for _ in range(2):
        other.news.apply_updates(passed_on(one.news.add_updates(EMPTY, 2.0)), 2.0)
    assert other.ledger.standing(CALL, 2.0) is Standing.CLEAR


def test_news_is_passed_on_a_bounded_number_of_times() -> None:
    node = Node()
    node.see(CALL, "t", 0.0, 0.1)
    told = sum(len(node.news.add_updates(EMPTY, 1.0).crashes) for _ in range(100))
    assert 4 <= told <= 8
    assert node.news.add_updates(EMPTY, 1.0) is EMPTY


def test_a_flood_of_suspects_makes_no_datagram_large_and_does_not_hide_the_worst() -> None:
    """Every target of a busy service ends with hundreds of calls, one of which ended them."""
    node = Node(390)
    for number in range(2 * MOST_UNTOLD):
        node.see(b"%12d" % number, f"t{number % 8}", 0.0, 0.1)
    for target in ("a", "b"):
        node.see(CALL, target, 0.2, 0.3)
    message = node.news.add_updates(EMPTY, 1.0)
    assert len(message.crashes) == ROWS_PER_MESSAGE
    assert [row.mark for row in message.crashes[:2]] == [CALL, CALL]
    assert len(HeartbeatCodec("key").pack(message)) < 600


def test_a_datagram_without_news_is_read_by_a_node_that_knows_no_such_news() -> None:
    """Nodes are replaced one after the other, and old ones must go on hearing from new ones."""
    codec = HeartbeatCodec("key")
    assert codec.pack(EMPTY)[16:] == codec._encoder.encode(EMPTY[:-1])
