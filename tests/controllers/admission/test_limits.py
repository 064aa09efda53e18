"""The windows, a caller's admission, and the queue that applies them."""

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
        pytest.param(None, QUIET, Windows(0, 0), 36.0, id="a cold node offers all the room"),
        pytest.param(
            Windows(5, 4), QUIET._replace(trainer_share=0.2), Windows(0, 0), 7.2, id="its share"
        ),
        pytest.param(Windows(5, 4), QUIET, Windows(0, 4), 40.0, id="grows while limited"),
        pytest.param(Windows(5, 8), QUIET, Windows(0, 2), 8.0, id="keeps while not limited"),
        pytest.param(
            Windows(5, 20), QUIET._replace(in_use=50), Windows(0, 20), 17.0, id="gives way"
        ),
        pytest.param(
            Windows(5, 1), QUIET._replace(in_use=50), Windows(0, 1), 1.0, id="but not to nothing"
        ),
    ],
)
def test_how_the_trainers_window_moves(before, view, in_flight, after) -> None:
    """The evening's callers come later than yesterday, while steps are in progress.

    If trainers did not give way, quotes would be late; if they did not grow back,
    the trainer would stand idle after the peak.
    """
    assert next_windows(POLICY, before, view, in_flight).trainers == pytest.approx(after)


@given(
    callers=st.floats(1.0, 200.0),
    slots=st.integers(0, 400),
    in_use=st.integers(0, 2000),
    nodes=st.integers(0, 390),
    in_flight=st.integers(0, 500),
)
def test_callers_keep_their_even_share(callers, slots, in_use, nodes, in_flight) -> None:
    """Other nodes fill every target; this node's callers still get their part."""
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
def test_the_baselines(policy, expected) -> None:
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
def test_a_callers_admission(changes, decision) -> None:
    """More callers come than targets can answer in time.

    One who can not be answered in time is told at once when to come back, instead
    of waiting for an answer that is late anyway.
    """
    match decide_admission(VIEW._replace(**changes)), decision:
        case Refuse(retry_after_s=said), Refuse(retry_after_s=expected):
            assert said == pytest.approx(expected)
        case decided, expected:
            assert decided == expected


def test_trainers_start_nothing_while_callers_wait() -> None:
    assert free_trainer_slots(Windows(4, 10), callers_queued=0, trainers_in_flight=4) == 6
    assert free_trainer_slots(Windows(4, 10), callers_queued=1, trainers_in_flight=4) == 0


def make_limiter() -> Limiter:
    board = Blackboard(Identity("n1", "a", "z", "h:1", "h:2"))
    board.targets["t:1"] = TargetView("t:1", "quotes", "z", slots=1, reachable=True)
    return Limiter(board, StaticShare(slack=1.0))


def make_call(priority: int, deadline_at_s: float) -> Call:
    return Call("quotes", "price", {}, deadline_at_s, priority, True, "id", WorkClass.CALLER)


def test_the_queue_goes_by_priority_then_arrival() -> None:
    """One target is busy when callers of several priorities come at once."""

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


def test_a_queued_call_without_time_left_is_told_at_once() -> None:
    """The target stays busy until a queued call could no longer end in time.

    Its caller hears that it was not run, and does not wait until the deadline.
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


def test_a_caller_who_goes_away_from_the_queue_leaves_no_trace() -> None:
    """A queued caller closes its connection; the next one must still get the turn."""

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
