"""The time that a draining node leaves to requests."""

import asyncio

import pytest

from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.platform._drain_limit import ANSWER_MARGIN_S, DrainLimit

LONG_S = 30.0


def test_nothing_is_bounded_before_the_drain() -> None:
    async def body() -> None:
        limit = DrainLimit()
        limit.check_time_for(LONG_S)
        async with limit.open() as timeout:
            assert timeout.when() is None
        assert not limit.is_draining

    asyncio.run(body())


def test_late_in_the_drain_only_requests_that_end_in_time_are_taken() -> None:
    """Guards against a request that is passed on and then cut, and one that is refused for nothing.

    The drain is long, so that the result does not depend on how fast the test runs.
    """

    async def body() -> None:
        now_s = asyncio.get_running_loop().time()
        early, late = DrainLimit(), DrainLimit()
        early.begin(now_s + 1000.0)
        early.check_time_for(2000.0)
        late.begin(now_s + 1000.0)
        late._unlimited_until_s = now_s
        late.check_time_for(900.0)
        with pytest.raises(RequestError) as raised:
            late.check_time_for(2000.0)
        assert raised.value.kind is ErrorKind.LEAVING
        assert raised.value.ran is Ran.NO

    asyncio.run(body())


def test_open_requests_end_with_the_drain_and_begun_answers_go_on() -> None:
    """Guards against a caller whose connection is cut when the node stops, without an answer."""

    async def run(limit: DrainLimit, *, exempt: bool) -> str:
        timeout = limit.open()
        try:
            async with timeout:
                if exempt:
                    limit.exempt(timeout)
                await asyncio.sleep(0.2)
        except TimeoutError:
            return "ended"
        finally:
            limit.close(timeout)
        return "done"

    async def body() -> None:
        limit = DrainLimit()
        runs = asyncio.gather(run(limit, exempt=False), run(limit, exempt=True))
        await asyncio.sleep(0)
        limit.begin(asyncio.get_running_loop().time() + ANSWER_MARGIN_S)
        assert await runs == ["ended", "done"]
        assert await run(limit, exempt=False) == "ended"

    asyncio.run(body())
