"""Who ended the targets: a call, or what else was going on."""

from collections.abc import Sequence

import pytest

from samphirecleat.crashes import SETTLE_S, CrashLedger, CrashVerdict, RunEnd
from samphirecleat.crashes._ledger import (
    DECIDED_AT_ONCE,
    MOST_SUSPECTS,
    REFUSED_KEPT_S,
    SUSPECT_KEPT_S,
)

CALL, BESIDE = b"call", b"beside"
LATER_S = SETTLE_S + 0.01
# Target, begun and ended.
Run = tuple[str, float, float]
IN_TURN: Sequence[Run] = [("a", 0.0, 0.1), ("b", 0.11, 0.2), ("c", 0.21, 0.3)]
SIDE_BY_SIDE: Sequence[Run] = [("a", 0.0, 0.3), ("b", 0.05, 0.3), ("c", 0.1, 0.31)]


def put(ledger: CrashLedger, digest: bytes, runs: Sequence[Run]) -> None:
    for target, begun_s, ended_s in runs:
        ledger.note_end(digest, RunEnd(target, begun_s, ended_s, "n"), ended_s)


def later(ledger: CrashLedger, digest: bytes, after_s: float = LATER_S) -> CrashVerdict:
    suspect = ledger.suspects.get(digest)
    return ledger.verdict(digest, (suspect.last_end_s() if suspect else 0.0) + after_s)


@pytest.mark.parametrize(
    ("runs", "verdict"),
    [
        ([], CrashVerdict.CLEAR),
        (IN_TURN[:1], CrashVerdict.SUSPECT),
        (IN_TURN[:2], CrashVerdict.SUSPECT),
        (IN_TURN, CrashVerdict.REFUSED),
        (SIDE_BY_SIDE, CrashVerdict.SUSPECT),
        ([*SIDE_BY_SIDE, ("d", 0.4, 0.5)], CrashVerdict.REFUSED),
    ],
    ids=["none", "one", "two", "three in turn", "three at once", "three at once and one after"],
)
def test_a_call_is_refused_once_targets_ended_under_it_in_turn(
    runs: Sequence[Run], verdict: CrashVerdict
) -> None:
    """A zone goes while a popular call is under way at three of its targets.

    Counted as three crashes by that call, it would be refused for good.
    """
    ledger = CrashLedger()
    put(ledger, CALL, runs)
    assert later(ledger, CALL) is verdict


def test_a_call_is_held_until_what_other_nodes_saw_has_arrived() -> None:
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    assert later(ledger, CALL, SETTLE_S / 2.0) is CrashVerdict.HELD
    assert ledger.decide(0.3 + SETTLE_S / 2.0) == []
    assert ledger.decide(0.3 + LATER_S) == [CALL]
    assert ledger.decide(0.3 + LATER_S) == []


def test_a_call_that_lost_targets_while_others_ended_without_it_needs_another_proof() -> None:
    """All targets of a service go within a second; a call is retried at the next to go."""
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    put(ledger, BESIDE, [("other", 0.0, 0.25)])
    assert later(ledger, CALL) is CrashVerdict.SUSPECT
    put(ledger, CALL, [("d", 5.0, 5.1)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_targets_that_go_on_ending_for_another_reason_bar_a_call_in_the_end() -> None:
    """Whatever the cause, a request under which targets end is sent three more times at most."""
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    for number, at_s in enumerate((0.25, 5.1, 9.1)):
        put(ledger, BESIDE, [(f"other {number}", at_s - 0.1, at_s)])
    put(ledger, CALL, [("d", 5.0, 5.1)])
    assert later(ledger, CALL) is CrashVerdict.SUSPECT
    put(ledger, CALL, [("e", 9.0, 9.1)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_two_requests_that_end_their_targets_at_the_same_times_are_both_refused_in_time() -> None:
    """Each makes the other's ends look like those of a lost zone, whenever they come.

    Their clients try again at another node at once, before that one can know of the new end: each
    coming costs two targets, and of the retries three are allowed.
    """
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    put(ledger, BESIDE, [(f"{target}'", begun_s, ended_s) for target, begun_s, ended_s in IN_TURN])
    for number, digest in enumerate((CALL, BESIDE)):
        assert later(ledger, digest) is CrashVerdict.SUSPECT
        put(ledger, digest, [(f"d{number}", 5.0, 5.1), (f"e{number}", 5.05, 5.2)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED
    assert later(ledger, BESIDE) is CrashVerdict.REFUSED


def test_a_popular_call_whose_targets_all_go_one_after_the_other_is_served() -> None:
    """A service loses all targets within a second, and one request is always under way at each.

    Only that it was answered right before tells it from one that ends its targets.
    """
    ledger = CrashLedger()
    ledger.remember_answer(CALL, -0.1)
    put(ledger, CALL, [(f"t{number}", number / 10.0, number / 10.0 + 0.05) for number in range(9)])
    assert ledger.recall_answer(CALL, 1.0)
    assert later(ledger, CALL, SETTLE_S / 2.0) is CrashVerdict.HELD
    assert ledger.decide(0.85 + LATER_S) == []
    assert later(ledger, CALL) is CrashVerdict.SUSPECT
    put(ledger, CALL, [("d", 5.0, 5.1)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_a_popular_call_that_begins_to_end_its_targets_is_held_until_all_is_calm() -> None:
    """After a release each target that runs a popular request ends, and it comes all the time.

    Without the hold, its ends would follow each other without a pause, and nothing would ever
    tell them from those of a service that loses all its targets.
    """
    ledger = CrashLedger()
    ledger.remember_answer(CALL, -0.1)
    sent, at_s = 0, 0.0
    while at_s < 20.0:
        if ledger.verdict(CALL, at_s) in (CrashVerdict.CLEAR, CrashVerdict.SUSPECT):
            sent += 1
            put(ledger, CALL, [(f"t{sent}", at_s, at_s + 0.05)])
            ledger.recall_answer(CALL, at_s + 0.05)
        at_s += 0.06
    assert sent == 4
    assert ledger.verdict(CALL, at_s) is CrashVerdict.REFUSED


def test_runs_that_two_nodes_saw_are_told_apart_only_beyond_what_a_datagram_takes() -> None:
    ledger = CrashLedger()
    for number, (target, begun_s) in enumerate((("a", 0.0), ("b", 0.11), ("c", 0.12))):
        ledger.note_end(CALL, RunEnd(target, begun_s, 0.1 + number / 50.0, f"n{number}"), 0.2)
    assert later(ledger, CALL) is CrashVerdict.SUSPECT


def test_a_call_that_stood_beside_the_one_at_fault_is_cleared_by_its_answer() -> None:
    """Two calls ended at the same three targets, and one of them only stood beside the other.

    Refused with it, a caller would lose an answer that any target gives.
    """
    ledger = CrashLedger()
    for digest in (CALL, BESIDE):
        put(ledger, digest, IN_TURN)
    assert later(ledger, CALL) is CrashVerdict.SUSPECT
    assert later(ledger, BESIDE) is CrashVerdict.SUSPECT
    assert ledger.note_answer(BESIDE, 2.0)
    assert later(ledger, BESIDE) is CrashVerdict.CLEAR
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_a_call_under_the_same_targets_as_a_refused_one_is_not_refused_for_that() -> None:
    ledger = CrashLedger()
    put(ledger, CALL, [*IN_TURN, ("d", 1.0, 1.1)])
    put(ledger, BESIDE, IN_TURN)
    assert later(ledger, CALL) is CrashVerdict.REFUSED
    assert later(ledger, BESIDE) is CrashVerdict.SUSPECT


def test_an_answer_clears_what_ended_before_it_and_not_what_ends_after() -> None:
    """A request of many callers is answered all the time; a release makes it end its targets."""
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN[:2])
    assert ledger.note_answer(CALL, 0.2)
    assert not ledger.note_answer(CALL, 0.1)
    put(ledger, CALL, [("late news", 0.05, 0.15)])
    assert later(ledger, CALL) is CrashVerdict.CLEAR
    put(ledger, CALL, [("x", 1.0, 1.1), ("y", 1.2, 1.3), ("z", 1.4, 1.5)])
    assert later(ledger, CALL) is CrashVerdict.SUSPECT
    put(ledger, CALL, [("w", 6.0, 6.1)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_an_answer_lifts_a_refusal() -> None:
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    assert later(ledger, CALL) is CrashVerdict.REFUSED
    assert ledger.note_answer(CALL, 3.0)
    assert later(ledger, CALL) is CrashVerdict.CLEAR


def test_one_target_start_counts_once_whoever_tells_of_it() -> None:
    ledger = CrashLedger()
    end = RunEnd("a", 0.0, 0.1, "n")
    assert ledger.note_end(CALL, end, 0.1)
    assert not ledger.note_end(CALL, end._replace(node="m", ended_s=0.12), 0.3)


def test_ends_from_before_this_process_refuse_nothing_until_another_follows() -> None:
    ledger = CrashLedger()
    for target, begun_s, ended_s in IN_TURN:
        ledger.note_end(CALL, RunEnd(target, begun_s, ended_s, "n"), 9.0, fresh=False)
    assert ledger.verdict(CALL, 9.0) is CrashVerdict.SUSPECT
    assert ledger.decide(9.0) == []
    put(ledger, CALL, [("d", 9.0, 9.1)])
    assert later(ledger, CALL) is CrashVerdict.REFUSED


def test_a_flood_of_suspects_is_bounded_and_pushes_out_no_refused_call() -> None:
    ledger = CrashLedger()
    put(ledger, CALL, IN_TURN)
    assert later(ledger, CALL) is CrashVerdict.REFUSED
    for number in range(3 * MOST_SUSPECTS):
        put(ledger, b"%d" % number, [(f"t{number}", 0.0, 0.1)])
        assert len(ledger.suspects) <= MOST_SUSPECTS
    assert ledger.verdict(CALL, 2.0) is CrashVerdict.REFUSED


@pytest.mark.parametrize(
    ("runs", "kept_s"), [(IN_TURN, REFUSED_KEPT_S), (IN_TURN[:1], SUSPECT_KEPT_S)]
)
def test_a_call_that_nobody_sends_any_more_is_forgotten(runs: Sequence[Run], kept_s: float) -> None:
    ledger = CrashLedger()
    put(ledger, CALL, runs)
    later(ledger, CALL)
    assert ledger.forget(kept_s - 1.0) == []
    assert ledger.forget(kept_s + 10.0) == [CALL]
    assert later(ledger, CALL) is CrashVerdict.CLEAR


def test_a_flood_of_calls_that_wait_for_a_verdict_is_decided_a_few_at_a_time() -> None:
    """Verdicts are taken on the loop that serves callers."""
    ledger = CrashLedger()
    for number in range(3 * DECIDED_AT_ONCE):
        at_s = number * 10.0
        put(ledger, b"%d" % number, [(f"{number}{t}", at_s + b, at_s + e) for t, b, e in IN_TURN])
    now_s = 3 * DECIDED_AT_ONCE * 10.0 + LATER_S
    counts = [len(ledger.decide(now_s)) for _ in range(4)]
    assert counts == [DECIDED_AT_ONCE] * 3 + [0]
