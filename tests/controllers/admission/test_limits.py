"""Tests of the concurrency windows, admission decisions and the queue."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirecleat.blackboard import Blackboard, Identity, TargetView
from samphirecleat.controllers.admission._limiter import Limiter
from samphirecleat.controllers.admission._limits import (
    AdmissionView,
    Admit,
    OccupancyView,
    Queue,
    Refuse,
    Windows,
    decide_admission,
    free_trainer_slots,
    next_windows,
)
from samphirecleat.controllers.policies import AdaptiveWindow, NoLimits, StaticShare
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.requests import Call, WorkClass

POLICY = AdaptiveWindow()
QUIET = OccupancyView(slots=40, in_use=0, node_count=9, trainer_share=1.0)
VIEW = AdmissionView(
    window=4.0,
    in_flight=0,
    queued_ahead=0,
    queued=0,
    mean_duration_s=0.2,
    high_estimate_s=0.3,
    remaining_s=5.0,
)


@pytest.mark.parametrize(
    ("before", "view", "in_flight", "after"),
    [
        pytest.param(None, QUIET, Windows(0, 0), 36.0, id="initial window is all free slots"),
        pytest.param(
            Windows(5, 4),
            QUIET._replace(trainer_share=0.2),
            Windows(0, 0),
            7.2,
            id="idle node keeps its share",
        ),
        pytest.param(Windows(5, 4), QUIET, Windows(0, 4), 40.0, id="grows while full"),
        pytest.param(Windows(5, 8), QUIET, Windows(0, 2), 8.0, id="unchanged while not full"),
        pytest.param(
            Windows(5, 20),
            QUIET._replace(in_use=50),
            Windows(0, 20),
            17.0,
            id="shrinks when overloaded",
        ),
        pytest.param(
            Windows(5, 1),
            QUIET._replace(in_use=50),
            Windows(0, 1),
            1.0,
            id="shrinks to one at least",
        ),
    ],
)
def test_trainer_window_follows_occupancy(before, view, in_flight, after) -> None:
    """A peak of callers arrives while trainer steps are in progress.

    If the trainers' window did not shrink, callers' answers would be late; if it did
    not grow again, trainers would be idle after the peak.
    """
    assert next_windows(POLICY, before, view, in_flight).trainers == pytest.approx(after)


@given(
    callers=st.floats(1.0, 200.0),
    slots=st.integers(0, 400),
    in_use=st.integers(0, 2000),
    nodes=st.integers(0, 390),
    in_flight=st.integers(0, 500),
)
def test_caller_window_is_at_least_the_even_share(callers, slots, in_use, nodes, in_flight) -> None:
    """Other nodes fill every target; this node's callers still get their even share."""
    view = OccupancyView(slots, in_use, nodes, 1.0)
    after = next_windows(POLICY, Windows(callers, 1.0), view, Windows(in_flight, 0)).callers
    assert after >= min(view.node_share, slots)
    assert after >= 1.0


@pytest.mark.parametrize(
    ("policy", "expected"),
    [
        (NoLimits(), Windows(1_000_000.0, 1_000_000.0)),
        (StaticShare(slack=1.5), Windows(40 / 9 * 1.5, 40 / 9 * 1.5)),
    ],
)
def test_baseline_policies(policy, expected) -> None:
    assert next_windows(policy, None, QUIET, Windows(0, 0)) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("changes", "decision"),
    [
        ({}, Admit()),
        ({"in_flight": 3}, Admit()),
        ({"in_flight": 4}, Queue()),
        ({"queued_ahead": 1, "queued": 1}, Queue()),
        ({"in_flight": 4, "remaining_s": 0.34}, Refuse(0.5)),
        ({"in_flight": 4, "queued_ahead": 30, "queued": 30, "remaining_s": 1.8}, Refuse(1.55)),
        ({"in_flight": 4, "queued": 32}, Refuse(0.5)),
        ({"remaining_s": 0.01}, Admit()),
    ],
)
def test_admission_of_a_caller(changes, decision) -> None:
    """More calls arrive than the targets can answer in time.

    A call that can't be answered in time is refused on arrival with a retry delay,
    instead of waiting for an answer that would be late.
    """
    match decide_admission(VIEW._replace(**changes)), decision:
        case Refuse(retry_after_s=said), Refuse(retry_after_s=expected):
            assert said == pytest.approx(expected)
        case decided, expected:
            assert decided == expected


def test_no_trainer_calls_start_while_callers_are_queued() -> None:
    assert free_trainer_slots(Windows(4, 10), callers_queued=0, trainers_in_flight=4) == 6
    assert free_trainer_slots(Windows(4, 10), callers_queued=1, trainers_in_flight=4) == 0


def make_limiter() -> Limiter:
    board = Blackboard(Identity("n1", "a", "z", "h:1", "h:2"))
    board.targets["t:1"] = TargetView("t:1", "quotes", "z", slots=1, reachable=True)
    return Limiter(board, StaticShare(slack=1.0))


def make_call(priority: int, deadline_at_s: float) -> Call:
    return Call("quotes", "price", {}, deadline_at_s, priority, True, "id", WorkClass.CALLER)


def test_queue_order_is_priority_then_arrival() -> None:
    """The only target is busy when calls of several priorities arrive at once."""

    async def scenario() -> list[int]:
        limiter = make_limiter()
        deadline_at_s = asyncio.get_running_loop().time() + 60.0
        started: list[int] = []

        async def caller(priority: int) -> None:
            call = make_call(priority, deadline_at_s)
            await limiter.admit(call)
            started.append(priority)
            await asyncio.sleep(0)
            limiter.release(call, 0.01)

        first = make_call(5, deadline_at_s)
        await limiter.admit(first)
        tasks = [asyncio.create_task(caller(priority)) for priority in (2, 8, 5, 8)]
        await asyncio.sleep(0)
        assert limiter.queued == 4
        limiter.release(first, 0.01)
        await asyncio.gather(*tasks)
        assert (limiter.in_flight, limiter.queued) == (0, 0)
        return started

    assert asyncio.run(scenario()) == [8, 8, 5, 2]


def test_a_queued_call_is_refused_once_it_can_not_end_in_time() -> None:
    """The target stays busy until a queued call could no longer end in time.

    The call is refused as not run before its deadline.
    """

    async def scenario() -> None:
        limiter = make_limiter()
        loop = asyncio.get_running_loop()
        await limiter.admit(make_call(5, loop.time() + 60.0))
        driver = asyncio.create_task(limiter.drive())
        with pytest.raises(RequestError) as caught:
            await limiter.admit(make_call(5, loop.time() + 0.5))
        driver.cancel()
        assert (caught.value.kind, caught.value.ran) == (ErrorKind.OVERLOADED, Ran.NO)
        assert caught.value.retry_after_s > 0.0

    asyncio.run(scenario())


def test_a_cancelled_queued_call_releases_its_slot() -> None:
    """A queued caller disconnects as its slot is granted; the next call must get the slot."""

    async def scenario() -> None:
        limiter = make_limiter()
        deadline_at_s = asyncio.get_running_loop().time() + 60.0
        first = make_call(5, deadline_at_s)
        await limiter.admit(first)
        gone = asyncio.create_task(limiter.admit(make_call(5, deadline_at_s)))
        waiting = asyncio.create_task(limiter.admit(make_call(5, deadline_at_s)))
        await asyncio.sleep(0)
        limiter.release(first, 0.01)
        gone.cancel()
        await asyncio.wait_for(waiting, 10.0)
        assert gone.cancelled()
        assert limiter.in_flight == 1

    asyncio.run(scenario())
