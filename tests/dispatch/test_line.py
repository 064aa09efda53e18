"""Decisions of a service's queue: order, placement, refusals."""

from itertools import count

import pytest

from samphirecleat.dispatch._decisions import Refusal, RefusalReason, Start, Wait
from samphirecleat.dispatch._line import ServiceLine
from samphirecleat.dispatch._waiting_calls import LineEntry
from samphirecleat.serving import SendOutcome

from .fakes import make_line, target

KEYS = count()


def entry(now_s: float = 1.0, **changes: object) -> LineEntry:
    made = LineEntry(next(KEYS), now_s, now_s + 2.0, now_s + 0.15, False, 5, "w", 10)
    return made._replace(**changes)  # type: ignore[arg-type]


def full_line(*names: str, slots: int = 1) -> tuple[ServiceLine, list[Start]]:
    """Return a line whose targets are full, and the calls that run there."""
    line = make_line(*(target(name, slots) for name in names or ("t0",)))
    line.rooms.prior_s = 0.02
    starts = []
    while line.capacity.has_room(1.0):
        start = line.offer(entry(for_trainer=True, workspace="x"), 1.0)
        assert isinstance(start, Start)
        starts.append(start)
    return line, starts


def next_start(line: ServiceLine, ended: Start, now_s: float = 1.02) -> Start:
    line.finish(ended, SendOutcome.ANSWERED, now_s)
    (start,) = [d for d in line.advance(now_s) if isinstance(d, Start)]
    return start


def test_calls_start_in_the_documented_order() -> None:
    """Guards against urgent calls waiting behind others.

    A fresh call that can be answered in time goes before a returning one, whose caller has waited
    already.
    """
    line, running = full_line()
    order = [
        entry(priority=3, workspace="x"),
        entry(repeated=True, workspace="x"),
        entry(),
        entry(objective_end_s=1.14, workspace="x"),
        entry(returning=True),
        entry(for_trainer=True, priority=0),
    ]
    for waiting in reversed(order):
        assert isinstance(line.offer(waiting, 1.0), Wait)
    # Of the fresh calls, one workspace has started calls before and the other hasn't.
    started = []
    ended = running[0]
    for _ in order:
        ended = next_start(line, ended, 1.0)
        started.append(ended.entry)
    assert started == order


def test_call_that_would_be_late_is_refused_at_once() -> None:
    """Guards against calls that wait for an answer that comes too late, or are refused late."""
    line, _ = full_line()
    decisions = [line.offer(entry(), 1.0) for _ in range(20)]
    waiting = [d for d in decisions if isinstance(d, Wait)]
    refused = [d for d in decisions if isinstance(d, Refusal)]
    assert 2 <= len(waiting) <= 7
    assert {r.reason for r in refused} == {RefusalReason.OBJECTIVE}
    assert all(0.1 < r.retry_after_s <= 2.0 / 3 and not r.booked for r in refused)
    # A trainer's call always waits; a returning one only if capacity is left for it.
    assert isinstance(line.offer(entry(for_trainer=True), 1.0), Wait)
    assert isinstance(line.offer(entry(returning=True, objective_end_s=1.05), 1.0), Refusal)
    assert isinstance(line.offer(entry(returning=True, objective_end_s=2.6), 2.5), Wait)
    assert isinstance(line.offer(entry(returning=True, deadline_s=2.55), 2.5), Refusal)


def test_lost_capacity_refuses_waiting_calls_at_once() -> None:
    """Guards against calls that are held although their targets have gone."""
    line, _ = full_line("t0", "t1", "t2", slots=4)
    while isinstance(line.offer(entry(), 1.0), Wait):
        pass
    repeated, trainer = entry(repeated=True), entry(for_trainer=True)
    line.offer(repeated, 1.0)
    line.offer(trainer, 1.0)
    before = len(line)
    line.advance(1.001)
    line.set_targets([target("t0", 4)])
    refused = [d for d in line.advance(1.002) if isinstance(d, Refusal)]
    assert 0.4 * before <= len(refused) <= 0.9 * before
    assert {r.reason for r in refused} == {RefusalReason.CAPACITY}
    assert not {repeated, trainer} & {r.entry for r in refused}
    line.set_targets([])
    refusal = line.offer(entry(), 1.003)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.NO_TARGET
    assert line.projected_wait_s(1.003) == float("inf")


def test_calls_that_wait_are_refused_once_the_last_target_is_gone() -> None:
    """Guards against calls that wait for ever, and a queue that stops, without any target."""
    line, _ = full_line()
    waiting = [entry(), entry(returning=True, objective_end_s=1.5), entry(for_trainer=True)]
    assert all(isinstance(line.offer(call, 1.0), Wait) for call in waiting)
    line.set_targets([])
    refused = [d for d in line.advance(1.02) if isinstance(d, Refusal)]
    assert {r.entry.key for r in refused} == {call.key for call in waiting}
    assert {r.reason for r in refused} == {RefusalReason.NO_TARGET}
    assert not len(line)


def test_call_waits_for_a_fast_target_unless_a_slow_one_suffices() -> None:
    """Guards against late answers of a slow target while a fast one is about to become free."""
    line = make_line(target("slow", 2), target("fast", 2))
    for name, took_s in (("slow", 0.1), ("fast", 0.02)):
        room = line.rooms.rooms[name]
        room.start(0, 0, 1.0, for_trainer=False)
        room.finish(0, 0, SendOutcome.ANSWERED, 1.0 + took_s)
    fast = [line.offer(entry(1.1), 1.1) for _ in range(3)]
    assert [d.room.target.instance for d in fast if isinstance(d, Start)] == ["fast"] * 3
    short, long = entry(1.1, objective_end_s=1.18), entry(1.1, objective_end_s=1.25)
    assert isinstance(line.offer(short, 1.1), Wait)
    assert not [d for d in line.advance(1.1) if isinstance(d, Start)]
    line.offer(long, 1.1)
    (start,) = [d for d in line.advance(1.1) if isinstance(d, Start)]
    assert (start.entry, start.room.target.instance) == (long, "slow")


def test_refused_call_returns_to_its_old_position() -> None:
    """Guards against a call that a target refused waiting behind all later ones."""
    line, running = full_line(slots=2)
    first, second = entry(), entry(1.001)
    line.offer(first, 1.0)
    line.offer(second, 1.001)
    start = next_start(line, running[0], 1.001)
    line.finish(start, SendOutcome.REFUSED, 1.002)
    line.put_back(first, 1.002)
    assert next_start(line, running[1], 1.003).entry == first


def test_excluded_target_is_used_only_if_there_is_no_other() -> None:
    """Guards against repeating a call at the target where it failed."""
    line = make_line(target("t0"), target("t1"))
    both, one = entry(excluded=("t0", "t1")), entry(excluded=("t0",))
    for _ in range(3):
        start = line.offer(one._replace(key=next(KEYS)), 1.0)
        assert isinstance(start, Start)
        assert start.room.target.instance == "t1"
    assert isinstance(line.offer(both, 1.0), Start)
    assert line.start_hedge(entry(excluded=("t0", "t1")), 1.0) is None


@pytest.mark.parametrize(("outcome", "waits"), [("refused", True), ("failed", False)])
def test_closed_targets_are_waited_for_only_if_they_reopen_in_time(
    outcome: str, waits: bool
) -> None:
    """Guards against holding a call until its deadline while no target can take it."""
    line = make_line(target("t0"))
    line.rooms.prior_s = 0.01
    start = line.offer(entry(), 1.0)
    assert isinstance(start, Start)
    line.finish(start, SendOutcome(outcome), 1.0)
    decision = line.offer(entry(), 1.0)
    assert isinstance(decision, Wait if waits else Refusal)
    assert isinstance(line.offer(entry(returning=True), 1.0), Wait)
    assert [d for d in line.advance(1.03) if isinstance(d, Start)] == []
    (probe,) = [d for d in line.advance(1.1 if waits else 2.1) if isinstance(d, Start)]
    assert probe.probe
