"""Tests of waiting for an event with a timeout."""

import asyncio

from samphirecleat._waiting import wait_for_event


def test_cancellation_while_the_event_is_set_is_not_lost() -> None:
    """A node is stopped in the same loop iteration in which a controller's event is set.

    If the cancellation were lost, the controller would keep running and the shutdown of
    the node would hang.
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


def test_wait_times_out_and_reports_the_event() -> None:
    async def scenario() -> None:
        event = asyncio.Event()
        assert not await wait_for_event(event, 0.01)
        event.set()
        assert await wait_for_event(event, 30.0)

    asyncio.run(scenario())
