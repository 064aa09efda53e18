"""A silent connection told from a slow one."""

import asyncio

import pytest

from samphirecleat.requests import (
    ProbeResult,
    RequestStatus,
    RunState,
    SilenceDetector,
    Silent,
    SilentConnectionError,
    Slow,
    StatusUnavailable,
    Unreachable,
    classify_silence,
)


@pytest.mark.parametrize(
    ("probe", "received", "quiet_periods", "verdict"),
    [
        (Unreachable(), 0, 1, Silent),
        (RequestStatus(RunState.WAITING, 0), 0, 50, Slow),
        (RequestStatus(RunState.RUNNING, 5), 5, 50, Slow),
        (RequestStatus(RunState.RUNNING, 6), 5, 1, Silent),
        (RequestStatus(RunState.RUNNING, 6), None, 1, Slow),
        (RequestStatus(RunState.ENDED, 5), 5, 1, Silent),
        (RequestStatus(RunState.ENDED, 0), None, 1, Silent),
        (RequestStatus(RunState.UNKNOWN, 0), 0, 1, Silent),
        (StatusUnavailable(), 0, 1, Slow),
        (StatusUnavailable(), 0, 2, Silent),
        (StatusUnavailable(queued=True), 0, 2, Slow),
        (StatusUnavailable(queued=True), 3, 2, Silent),
        (StatusUnavailable(queued=True), 0, 8, Silent),
    ],
)
def test_the_verdict_on_a_quiet_connection(
    probe: ProbeResult, received: int | None, quiet_periods: int, verdict: type
) -> None:
    assert isinstance(
        classify_silence(probe, received, quiet_periods, max_quiet_periods=2), verdict
    )


def test_without_a_bound_a_side_that_lives_is_waited_for() -> None:
    assert isinstance(
        classify_silence(StatusUnavailable(), None, 1_000, max_quiet_periods=None), Slow
    )


def test_a_slow_step_is_waited_for_and_a_silent_one_given_up() -> None:
    """A connection brings nothing: once since the answer is slow, once since it is dead.

    Given up too early, a slow answer would be lost; never given up, the caller of
    a dead one would wait to its deadline.
    """
    probes: list[ProbeResult] = [RequestStatus(RunState.WAITING, 0)] * 3

    async def answer_probe() -> ProbeResult:
        if len(probes) == 1:
            ready.set()
        return probes.pop(0) if probes else RequestStatus(RunState.ENDED, 1)

    async def scenario() -> None:
        watch = SilenceDetector(answer_probe, period_s=0.01, counts_progress=True)
        async with watch:
            await watch.wait(ready.wait())
            with pytest.raises(SilentConnectionError):
                await watch.wait(asyncio.Event().wait())
        assert not probes

    ready = asyncio.Event()
    asyncio.run(scenario())


def test_a_wait_that_is_cancelled_by_another_ends_as_cancelled() -> None:
    """The deadline passes, or the caller goes away, while a connection is quiet."""

    async def answer_probe() -> ProbeResult:
        return Unreachable()

    async def scenario() -> None:
        watch = SilenceDetector(answer_probe, period_s=5.0, counts_progress=True)
        async with watch:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.02):
                    await watch.wait(asyncio.Event().wait())

    asyncio.run(scenario())


def test_time_that_the_reader_takes_is_not_the_connections() -> None:
    """A caller reads slowly between two lines that have come in time."""
    probes: list[ProbeResult] = []

    async def answer_probe() -> ProbeResult:
        probes.append(Unreachable())
        return Unreachable()

    async def scenario() -> None:
        watch = SilenceDetector(answer_probe, period_s=0.01, counts_progress=True)
        async with watch:
            for _ in range(3):
                await watch.wait(asyncio.sleep(0))
                await asyncio.sleep(0.05)

    asyncio.run(scenario())
    assert not probes
