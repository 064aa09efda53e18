"""Detection of silent connections."""

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
    ("probe", "received", "quiet_periods", "expected"),
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
def test_quiet_connection_is_classified_by_probe_result(
    probe: ProbeResult, received: int | None, quiet_periods: int, expected: type
) -> None:
    assert isinstance(
        classify_silence(probe, received, quiet_periods, max_quiet_periods=2), expected
    )


def test_without_a_limit_a_responsive_side_is_always_waited_for() -> None:
    assert isinstance(
        classify_silence(StatusUnavailable(), None, 1_000, max_quiet_periods=None), Slow
    )


def test_slow_wait_continues_and_silent_wait_fails() -> None:
    """A connection delivers nothing, first because the answer is slow, then because it is dead.

    If the wait failed too early, a slow answer would be lost. If it never failed, the
    caller on a dead connection would wait until its deadline.
    """
    probes: list[ProbeResult] = [RequestStatus(RunState.WAITING, 0)] * 3

    async def answer_probe() -> ProbeResult:
        if len(probes) == 1:
            ready.set()
        return probes.pop(0) if probes else RequestStatus(RunState.ENDED, 1)

    async def scenario() -> None:
        detector = SilenceDetector(answer_probe, period_s=0.01, counts_progress=True)
        async with detector:
            await detector.wait(ready.wait())
            with pytest.raises(SilentConnectionError):
                await detector.wait(asyncio.Event().wait())
        assert not probes

    ready = asyncio.Event()
    asyncio.run(scenario())


def test_wait_cancelled_from_outside_ends_as_cancelled() -> None:
    """The deadline passes or the caller disconnects while a connection is quiet."""

    async def answer_probe() -> ProbeResult:
        return Unreachable()

    async def scenario() -> None:
        detector = SilenceDetector(answer_probe, period_s=5.0, counts_progress=True)
        async with detector:
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.02):
                    await detector.wait(asyncio.Event().wait())

    asyncio.run(scenario())


def test_time_between_waits_does_not_count_as_quiet() -> None:
    """A caller reads slowly, while each line arrives in time."""
    probes: list[ProbeResult] = []

    async def answer_probe() -> ProbeResult:
        probes.append(Unreachable())
        return Unreachable()

    async def scenario() -> None:
        detector = SilenceDetector(answer_probe, period_s=0.01, counts_progress=True)
        async with detector:
            for _ in range(3):
                await detector.wait(asyncio.sleep(0))
                await asyncio.sleep(0.05)

    asyncio.run(scenario())
    assert not probes
