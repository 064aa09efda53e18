"""Tests of the drain decision and its driver."""

import asyncio

import pytest

from samphirecleat.blackboard import Blackboard, Identity
from samphirecleat.controllers.membership._drain import (
    Drain,
    DrainView,
    FinishAccepted,
    ServeAll,
    Stop,
    decide_drain,
)
from samphirecleat.observe import Observer

VIEW = DrainView(
    started_at_s=100.0,
    entry_ttl_s=5.0,
    propagation_s=4.0,
    max_deadline_s=60.0,
    in_flight=0,
    undelivered=False,
    last_busy_at_s=100.0,
)


@pytest.mark.parametrize(
    ("changes", "now_s", "step"),
    [
        pytest.param({}, 108.9, ServeAll(), id="cached entry lists may contain it"),
        pytest.param({"in_flight": 3}, 108.9, ServeAll(), id="cached entry lists and busy"),
        pytest.param({}, 109.0, Stop(0), id="idle"),
        pytest.param({"in_flight": 1}, 109.0, FinishAccepted(), id="request in flight"),
        pytest.param({"undelivered": True}, 109.0, FinishAccepted(), id="undelivered samples"),
        pytest.param({"last_busy_at_s": 108.8}, 109.0, FinishAccepted(), id="recently busy"),
        pytest.param({"last_busy_at_s": 108.4}, 109.0, Stop(0), id="idle for long enough"),
        pytest.param({"in_flight": 1}, 168.9, FinishAccepted(), id="within its deadline"),
        pytest.param({"in_flight": 2}, 169.0, Stop(2), id="past every deadline"),
    ],
)
def test_decide_drain(changes, now_s, step) -> None:
    """A host is replaced while callers still hold entry lists that contain it.

    If the node stopped too early, requests in flight would be cut off; if it never
    stopped, its host could not be replaced.
    """
    assert decide_drain(VIEW._replace(**changes), now_s) == step


def test_a_drain_waits_for_requests_in_flight() -> None:
    """SIGTERM arrives while a request runs for longer than the entry list TTL."""

    async def scenario() -> None:
        board = Blackboard(Identity("n1", "a", "z", "h:1", "h:2"))
        in_flight = 1
        announced: list[bool] = []
        drain = Drain(
            board,
            Observer("n1"),
            announce=lambda: announced.append(board.leaving),
            in_flight=lambda: in_flight,
            undelivered=lambda: False,
            entry_ttl_s=0.05,
            heartbeat_s=0.01,
            max_deadline_s=30.0,
        )
        task = asyncio.create_task(drain.run())
        while board.accepting:
            await asyncio.sleep(0.01)
        assert announced == [True]
        assert not board.ready
        assert not task.done()
        in_flight = 0
        await asyncio.wait_for(task, 10.0)

    asyncio.run(scenario())
