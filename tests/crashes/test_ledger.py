"""Attribution of target crashes: to a call, or to another cause."""

from collections.abc import Sequence

import pytest

from samphirecleat.crashes import SETTLE_S, CrashedRun, CrashLedger, CrashVerdict
from samphirecleat.crashes._ledger import (
    MAX_DECISIONS_PER_REVIEW,
    MAX_SUSPECTS,
    REFUSED_TTL_S,
    SUSPECT_TTL_S,
)

CALL, OTHER_CALL = b"call", b"beside"
SETTLED_S = SETTLE_S + 0.01
# Target, start time and end time.
Run = tuple[str, float, float]
SEQUENTIAL: Sequence[Run] = [("a", 0.0, 0.1), ("b", 0.11, 0.2), ("c", 0.21, 0.3)]
CONCURRENT: Sequence[Run] = [("a", 0.0, 0.3), ("b", 0.05, 0.3), ("c", 0.1, 0.31)]


def record_crashes(ledger: CrashLedger, digest: bytes, runs: Sequence[Run]) -> None:
    for target, begun_s, ended_s in runs:
        ledger.record_crash(digest, CrashedRun(target, begun_s, ended_s, "n"), ended_s)


def settled_verdict(ledger: CrashLedger, digest: bytes, after_s: float = SETTLED_S) -> CrashVerdict:
    suspect = ledger.suspects.get(digest)
    return ledger.verdict(digest, (suspect.last_crash_s() if suspect else 0.0) + after_s)


@pytest.mark.parametrize(
    ("runs", "verdict"),
    [
        ([], CrashVerdict.CLEAR),
        (SEQUENTIAL[:1], CrashVerdict.SUSPECT),
        (SEQUENTIAL[:2], CrashVerdict.SUSPECT),
        (SEQUENTIAL, CrashVerdict.REFUSED),
        (CONCURRENT, CrashVerdict.SUSPECT),
        ([*CONCURRENT, ("d", 0.4, 0.5)], CrashVerdict.REFUSED),
    ],
    ids=["none", "one", "two", "three in turn", "three at once", "three at once and one after"],
)
def test_call_is_refused_after_sequential_crashes(
    runs: Sequence[Run], verdict: CrashVerdict
) -> None:
    """A zone fails while a popular call runs on three of its targets.

    If these counted as three crashes by that call, it would be refused permanently.
    """
    ledger = CrashLedger()
    record_crashes(ledger, CALL, runs)
    assert settled_verdict(ledger, CALL) is verdict


def test_call_is_held_until_reports_of_other_nodes_have_arrived() -> None:
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    assert settled_verdict(ledger, CALL, SETTLE_S / 2.0) is CrashVerdict.HELD
    assert ledger.refuse_proven_calls(0.3 + SETTLE_S / 2.0) == []
    assert ledger.refuse_proven_calls(0.3 + SETTLED_S) == [CALL]
    assert ledger.refuse_proven_calls(0.3 + SETTLED_S) == []


def test_unrelated_crashes_require_a_further_crash() -> None:
    """All targets of a service crash within a second, and a call is retried on several of them."""
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    record_crashes(ledger, OTHER_CALL, [("other", 0.0, 0.25)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
    record_crashes(ledger, CALL, [("d", 5.0, 5.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_call_is_finally_refused_despite_unrelated_crashes() -> None:
    """Whatever the cause, a request under which targets crash is sent at most three more times."""
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    for number, at_s in enumerate((0.25, 5.1, 9.1)):
        record_crashes(ledger, OTHER_CALL, [(f"other {number}", at_s - 0.1, at_s)])
    record_crashes(ledger, CALL, [("d", 5.0, 5.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
    record_crashes(ledger, CALL, [("e", 9.0, 9.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_two_simultaneous_offenders_are_both_refused() -> None:
    """Two requests crash targets at the same times, so each looks like a victim of a lost zone.

    Their clients retry at another node at once, before that node can know of the latest crash. Each
    retry therefore crashes two targets, and three retries are allowed.
    """
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    record_crashes(
        ledger,
        OTHER_CALL,
        [(f"{target}'", begun_s, ended_s) for target, begun_s, ended_s in SEQUENTIAL],
    )
    for number, digest in enumerate((CALL, OTHER_CALL)):
        assert settled_verdict(ledger, digest) is CrashVerdict.SUSPECT
        record_crashes(ledger, digest, [(f"d{number}", 5.0, 5.1), (f"e{number}", 5.05, 5.2)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED
    assert settled_verdict(ledger, OTHER_CALL) is CrashVerdict.REFUSED


def test_popular_call_is_served_when_all_its_targets_crash() -> None:
    """A service loses all targets within a second, and one request is always running on each.

    Only its recent answer distinguishes the request from one that crashes its targets.
    """
    ledger = CrashLedger()
    ledger.remember_answer(CALL, -0.1)
    record_crashes(
        ledger, CALL, [(f"t{number}", number / 10.0, number / 10.0 + 0.05) for number in range(9)]
    )
    assert ledger.apply_remembered_answer(CALL, 1.0)
    assert settled_verdict(ledger, CALL, SETTLE_S / 2.0) is CrashVerdict.HELD
    assert ledger.refuse_proven_calls(0.85 + SETTLED_S) == []
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
    record_crashes(ledger, CALL, [("d", 5.0, 5.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_popular_call_that_starts_crashing_targets_is_held() -> None:
    """A popular request is sent constantly and, after a release, crashes each target that runs it.

    Unless the request is held, its crashes follow each other without a pause and can't be told
    apart from those of a service that loses all its targets.
    """
    ledger = CrashLedger()
    ledger.remember_answer(CALL, -0.1)
    sent, at_s = 0, 0.0
    while at_s < 20.0:
        if ledger.verdict(CALL, at_s) in (CrashVerdict.CLEAR, CrashVerdict.SUSPECT):
            sent += 1
            record_crashes(ledger, CALL, [(f"t{sent}", at_s, at_s + 0.05)])
            ledger.apply_remembered_answer(CALL, at_s + 0.05)
        at_s += 0.06
    assert sent == 4
    assert ledger.verdict(CALL, at_s) is CrashVerdict.REFUSED


def test_runs_seen_by_two_nodes_within_datagram_latency_count_as_concurrent() -> None:
    ledger = CrashLedger()
    for number, (target, begun_s) in enumerate((("a", 0.0), ("b", 0.11), ("c", 0.12))):
        ledger.record_crash(
            CALL, CrashedRun(target, begun_s, 0.1 + number / 50.0, f"n{number}"), 0.2
        )
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT


def test_innocent_call_is_cleared_by_its_answer() -> None:
    """Two calls were lost with the same three targets, but only one of them crashed the targets.

    If both were refused, the innocent caller would lose an answer that any target can give.
    """
    ledger = CrashLedger()
    for digest in (CALL, OTHER_CALL):
        record_crashes(ledger, digest, SEQUENTIAL)
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
    assert settled_verdict(ledger, OTHER_CALL) is CrashVerdict.SUSPECT
    assert ledger.record_answer(OTHER_CALL, 2.0)
    assert settled_verdict(ledger, OTHER_CALL) is CrashVerdict.CLEAR
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_call_on_the_targets_of_a_refused_call_is_not_refused() -> None:
    ledger = CrashLedger()
    record_crashes(ledger, CALL, [*SEQUENTIAL, ("d", 1.0, 1.1)])
    record_crashes(ledger, OTHER_CALL, SEQUENTIAL)
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED
    assert settled_verdict(ledger, OTHER_CALL) is CrashVerdict.SUSPECT


def test_answer_clears_earlier_crashes_only() -> None:
    """A request of many callers is answered constantly, until a release makes it crash targets."""
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL[:2])
    assert ledger.record_answer(CALL, 0.2)
    assert not ledger.record_answer(CALL, 0.1)
    record_crashes(ledger, CALL, [("late report", 0.05, 0.15)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.CLEAR
    record_crashes(ledger, CALL, [("x", 1.0, 1.1), ("y", 1.2, 1.3), ("z", 1.4, 1.5)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
    record_crashes(ledger, CALL, [("w", 6.0, 6.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_answer_lifts_refusal() -> None:
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED
    assert ledger.record_answer(CALL, 3.0)
    assert settled_verdict(ledger, CALL) is CrashVerdict.CLEAR


def test_crash_reported_by_two_nodes_counts_once() -> None:
    ledger = CrashLedger()
    end = CrashedRun("a", 0.0, 0.1, "n")
    assert ledger.record_crash(CALL, end, 0.1)
    assert not ledger.record_crash(CALL, end._replace(node="m", ended_s=0.12), 0.3)


def test_crashes_before_this_process_need_a_fresh_one() -> None:
    ledger = CrashLedger()
    for target, begun_s, ended_s in SEQUENTIAL:
        ledger.record_crash(CALL, CrashedRun(target, begun_s, ended_s, "n"), 9.0, fresh=False)
    assert ledger.verdict(CALL, 9.0) is CrashVerdict.SUSPECT
    assert ledger.refuse_proven_calls(9.0) == []
    record_crashes(ledger, CALL, [("d", 9.0, 9.1)])
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED


def test_suspects_are_bounded_and_refused_calls_are_kept() -> None:
    ledger = CrashLedger()
    record_crashes(ledger, CALL, SEQUENTIAL)
    assert settled_verdict(ledger, CALL) is CrashVerdict.REFUSED
    for number in range(3 * MAX_SUSPECTS):
        record_crashes(ledger, b"%d" % number, [(f"t{number}", 0.0, 0.1)])
        assert len(ledger.suspects) <= MAX_SUSPECTS
    assert ledger.verdict(CALL, 2.0) is CrashVerdict.REFUSED


@pytest.mark.parametrize(
    ("runs", "kept_s"), [(SEQUENTIAL, REFUSED_TTL_S), (SEQUENTIAL[:1], SUSPECT_TTL_S)]
)
def test_call_that_is_no_longer_sent_is_forgotten(runs: Sequence[Run], kept_s: float) -> None:
    ledger = CrashLedger()
    record_crashes(ledger, CALL, runs)
    settled_verdict(ledger, CALL)
    assert ledger.remove_expired(kept_s - 1.0) == []
    assert ledger.remove_expired(kept_s + 10.0) == [CALL]
    assert settled_verdict(ledger, CALL) is CrashVerdict.CLEAR


def test_decisions_per_review_are_limited() -> None:
    """Decisions run on the event loop that serves callers and mustn't block it."""
    ledger = CrashLedger()
    for number in range(3 * MAX_DECISIONS_PER_REVIEW):
        at_s = number * 10.0
        record_crashes(
            ledger, b"%d" % number, [(f"{number}{t}", at_s + b, at_s + e) for t, b, e in SEQUENTIAL]
        )
    now_s = 3 * MAX_DECISIONS_PER_REVIEW * 10.0 + SETTLED_S
    counts = [len(ledger.refuse_proven_calls(now_s)) for _ in range(4)]
    assert counts == [MAX_DECISIONS_PER_REVIEW] * 3 + [0]


@pytest.mark.parametrize(
    ("runs", "beside", "answered_s", "has_no_spare", "verdict"),
    [
        (SEQUENTIAL[:2], [], None, True, CrashVerdict.REFUSED),
        (SEQUENTIAL[:2], [], None, False, CrashVerdict.SUSPECT),
        (SEQUENTIAL[:2], SEQUENTIAL[:1], None, True, CrashVerdict.SUSPECT),
        (CONCURRENT[:2], [], None, True, CrashVerdict.SUSPECT),
        (SEQUENTIAL[:2], [], -30.0, True, CrashVerdict.SUSPECT),
    ],
    ids=["alone", "large service", "beside another call", "at once", "answered before"],
)
def test_two_crashes_alone_refuse_a_call_where_three_targets_cannot_be_lost(
    runs: Sequence[Run],
    beside: Sequence[Run],
    answered_s: float | None,
    has_no_spare: bool,
    verdict: CrashVerdict,
) -> None:
    """Guards against a third crash in a small service, and against blaming innocent calls."""
    ledger = CrashLedger()
    ledger.has_no_spare = lambda _target: has_no_spare
    if answered_s is not None:
        ledger.record_answer(CALL, answered_s)
    record_crashes(ledger, CALL, runs)
    record_crashes(ledger, OTHER_CALL, beside)
    assert settled_verdict(ledger, CALL) is verdict
    assert settled_verdict(ledger, OTHER_CALL) is not CrashVerdict.REFUSED


def test_crashes_before_a_restart_do_not_count_as_alone() -> None:
    """Guards against refusing an innocent call, as the calls beside it are forgotten."""
    ledger = CrashLedger()
    ledger.has_no_spare = lambda _target: True
    for (target, begun_s, ended_s), fresh in zip(SEQUENTIAL[:2], (False, True), strict=True):
        run = CrashedRun(target, begun_s, ended_s, "n")
        ledger.record_crash(CALL, run, ended_s, fresh=fresh)
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT


def test_other_crashes_at_the_same_time_speak_for_a_call_that_was_alone() -> None:
    """A zone fails. Guards against refusing a call that ran alone on two of its targets."""
    ledger = CrashLedger()
    ledger.has_no_spare = lambda _target: True
    record_crashes(ledger, CALL, SEQUENTIAL[:2])
    ledger.record_crashed_target("c", 0.15, 0.3)
    assert settled_verdict(ledger, CALL) is CrashVerdict.SUSPECT
