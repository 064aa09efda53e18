"""Waiting for an event for a bounded time."""

import asyncio

from samphirecleat._waiting import wait_for_event


def test_a_cancellation_in_the_moment_of_the_event_is_not_lost() -> None:
    """A node is stopped in the same turn of the loop in which work arrives.

    If the cancellation were dropped, the controller would run on and the node's
    stop would wait for it for ever: an operator's host never goes down.
    """

    async def scenario() -> None:
        event = asyncio.Event()

        async def controller() -> None:
            while True:
                await wait_for_event(event, 30.0)

        task = asyncio.create_task(controller())
        await asyncio.sleep(0)
        event.set()
        task.cancel()
        done, _pending = await asyncio.wait([task], timeout=5.0)
        assert task in done
        assert task.cancelled()

    asyncio.run(scenario())


def test_the_time_is_bounded_and_the_event_told() -> None:
    async def scenario() -> None:
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.01)
        event.set()
        assert await wait_for_event(event, 30.0)

    asyncio.run(scenario())
