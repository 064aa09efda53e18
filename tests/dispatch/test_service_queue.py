"""Decisions of a service's queue: order, placement, refusals."""

from itertools import count

import pytest

from samphirecleat.dispatch._decisions import Refusal, RefusalReason, Start, Wait
from samphirecleat.dispatch._service_queue import ServiceQueue
from samphirecleat.dispatch._waiting_calls import QueuedCall
from samphirecleat.serving import SendOutcome

from .fakes import make_queue, target

KEYS = count()


def entry(now_s: float = 1.0, **changes: object) -> QueuedCall:
    made = QueuedCall(next(KEYS), now_s, now_s + 2.0, now_s + 0.15, False, 5, "w", 10)
    return made._replace(**changes)  # type: ignore[arg-type]


def full_queue(*names: str, slots: int = 1) -> tuple[ServiceQueue, list[Start]]:
    """Return a queue whose targets are full, and the calls that run there."""
    queue = make_queue(*(target(name, slots) for name in names or ("t0",)))
    queue.limiters.prior_s = 0.02
    starts = []
    while queue.capacity.accepts(1.0):
        start = queue.offer(entry(for_trainer=True, workspace="x"), 1.0)
        assert isinstance(start, Start)
        starts.append(start)
    return queue, starts


def next_start(queue: ServiceQueue, ended: Start, now_s: float = 1.02) -> Start:
    queue.finish(ended, SendOutcome.ANSWERED, now_s)
    (start,) = [d for d in queue.advance(now_s) if isinstance(d, Start)]
    return start


def test_calls_start_in_the_documented_order() -> None:
    """Guards against urgent calls waiting behind others.

    A fresh call that can be answered in time goes before a returning one, whose caller has waited
    already.
    """
    queue, running = full_queue()
    order = [
        entry(priority=3, workspace="x"),
        entry(repeated=True, workspace="x"),
        entry(),
        entry(objective_end_s=1.14, workspace="x"),
        entry(returning=True),
        entry(for_trainer=True, priority=0),
    ]
    for waiting in reversed(order):
        assert isinstance(queue.offer(waiting, 1.0), Wait)
    # Of the fresh calls, one workspace has started calls before and the other hasn't.
    started = []
    ended = running[0]
    for _ in order:
        ended = next_start(queue, ended, 1.0)
        started.append(ended.entry)
    assert started == order


def test_call_that_would_be_late_is_refused_at_once() -> None:
    """Guards against calls that wait for an answer that comes too late, or are refused late."""
    queue, _ = full_queue()
    decisions = [queue.offer(entry(), 1.0) for _ in range(20)]
    waiting = [d for d in decisions if isinstance(d, Wait)]
    refused = [d for d in decisions if isinstance(d, Refusal)]
    assert 2 <= len(waiting) <= 7
    assert {r.reason for r in refused} == {RefusalReason.OBJECTIVE}
    assert all(0.1 < r.retry_after_s <= 2.0 / 3 and not r.booked for r in refused)
    # A trainer's call always waits; a returning one only if capacity is left for it.
    assert isinstance(queue.offer(entry(for_trainer=True), 1.0), Wait)
    assert isinstance(queue.offer(entry(returning=True, objective_end_s=1.05), 1.0), Refusal)
    assert isinstance(queue.offer(entry(returning=True, objective_end_s=2.6), 2.5), Wait)
    assert isinstance(queue.offer(entry(returning=True, deadline_s=2.55), 2.5), Refusal)


def test_lost_capacity_refuses_waiting_calls_at_once() -> None:
    """Guards against calls that are held although their targets have gone."""
    queue, _ = full_queue("t0", "t1", "t2", slots=4)
    while isinstance(queue.offer(entry(), 1.0), Wait):
        pass
    repeated, trainer = entry(repeated=True), entry(for_trainer=True)
    queue.offer(repeated, 1.0)
    queue.offer(trainer, 1.0)
    before = len(queue)
    queue.advance(1.001)
    queue.set_targets([target("t0", 4)])
    refused = [d for d in queue.advance(1.002) if isinstance(d, Refusal)]
    assert 0.4 * before <= len(refused) <= 0.9 * before
    assert {r.reason for r in refused} == {RefusalReason.CAPACITY}
    assert not {repeated, trainer} & {r.entry for r in refused}
    queue.set_targets([])
    refusal = queue.offer(entry(), 1.003)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.NO_TARGET
    assert queue.projected_wait_s(1.003) == float("inf")


def test_calls_that_wait_are_refused_once_the_last_target_is_gone() -> None:
    """Guards against calls that wait for ever, and a queue that stops, without any target."""
    queue, _ = full_queue()
    waiting = [entry(), entry(returning=True, objective_end_s=1.5), entry(for_trainer=True)]
    assert all(isinstance(queue.offer(call, 1.0), Wait) for call in waiting)
    queue.set_targets([])
    refused = [d for d in queue.advance(1.02) if isinstance(d, Refusal)]
    assert {r.entry.key for r in refused} == {call.key for call in waiting}
    assert {r.reason for r in refused} == {RefusalReason.NO_TARGET}
    assert not len(queue)


def test_call_waits_for_a_fast_target_unless_a_slow_one_suffices() -> None:
    """Guards against late answers of a slow target while a fast one is about to become free."""
    queue = make_queue(target("slow", 2), target("fast", 2))
    for name, took_s in (("slow", 0.1), ("fast", 0.02)):
        limiter = queue.limiters.by_instance[name]
        limiter.start(0, 0, 1.0, for_trainer=False)
        limiter.finish(0, 0, SendOutcome.ANSWERED, 1.0 + took_s)
    fast = [queue.offer(entry(1.1), 1.1) for _ in range(3)]
    assert [d.limiter.target.instance for d in fast if isinstance(d, Start)] == ["fast"] * 3
    short, long = entry(1.1, objective_end_s=1.18), entry(1.1, objective_end_s=1.25)
    assert isinstance(queue.offer(short, 1.1), Wait)
    assert not [d for d in queue.advance(1.1) if isinstance(d, Start)]
    queue.offer(long, 1.1)
    (start,) = [d for d in queue.advance(1.1) if isinstance(d, Start)]
    assert (start.entry, start.limiter.target.instance) == (long, "slow")


def test_refused_call_returns_to_its_old_position() -> None:
    """Guards against a call that a target refused waiting behind all later ones."""
    queue, running = full_queue(slots=2)
    first, second = entry(), entry(1.001)
    queue.offer(first, 1.0)
    queue.offer(second, 1.001)
    start = next_start(queue, running[0], 1.001)
    queue.finish(start, SendOutcome.REFUSED, 1.002)
    queue.put_back(first, 1.002)
    assert next_start(queue, running[1], 1.003).entry == first


def test_excluded_target_is_used_only_if_there_is_no_other() -> None:
    """Guards against repeating a call at the target where it failed."""
    queue = make_queue(target("t0"), target("t1"))
    both, one = entry(excluded=("t0", "t1")), entry(excluded=("t0",))
    for _ in range(3):
        start = queue.offer(one._replace(key=next(KEYS)), 1.0)
        assert isinstance(start, Start)
        assert start.limiter.target.instance == "t1"
    assert isinstance(queue.offer(both, 1.0), Start)
    assert queue.start_hedge(entry(excluded=("t0", "t1")), 1.0) is None


@pytest.mark.parametrize(("outcome", "waits"), [("refused", True), ("failed", False)])
def test_closed_targets_are_waited_for_only_if_they_reopen_in_time(
    outcome: str, waits: bool
) -> None:
    """Guards against holding a call until its deadline while no target can take it."""
    queue = make_queue(target("t0"))
    queue.limiters.prior_s = 0.01
    start = queue.offer(entry(), 1.0)
    assert isinstance(start, Start)
    queue.finish(start, SendOutcome(outcome), 1.0)
    decision = queue.offer(entry(), 1.0)
    assert isinstance(decision, Wait if waits else Refusal)
    assert isinstance(queue.offer(entry(returning=True), 1.0), Wait)
    assert [d for d in queue.advance(1.03) if isinstance(d, Start)] == []
    (probe,) = [d for d in queue.advance(1.1 if waits else 2.1) if isinstance(d, Start)]
    assert probe.probe
