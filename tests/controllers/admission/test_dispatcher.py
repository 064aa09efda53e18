"""Calls through the dispatcher to stand-in targets under faults.

The number of runs is checked against the targets' own records.
"""

import asyncio

import pytest

from samphirecleat.config import ServiceKind
from samphirecleat.errors import ErrorKind, Ran, RequestError

from .dispatcher_setup import (
    ENGINE_SERVICE,
    FAILED,
    PERIOD_S,
    PLAIN_SERVICE,
    UNKNOWN,
    check_error,
    check_generation,
    engines,
    make_call,
    make_setup,
    plain_services,
    run,
)


@pytest.mark.parametrize(
    ("fault", "runs_if_repeated", "error_if_not"),
    [
        ("", 1, None),
        ("refuse", 1, None),
        ("drop", 1, UNKNOWN),
        ("fail", 2, FAILED),
        ("lose", 2, UNKNOWN),
        ("garble", 2, UNKNOWN),
        ("truncate", 2, UNKNOWN),
        ("silent", 2, UNKNOWN),
    ],
)
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("streamed", [True, False])
def test_a_generation_under_each_fault(
    fault: str,
    runs_if_repeated: int,
    error_if_not: ErrorKind | None,
    idempotent: bool,
    streamed: bool,
) -> None:
    """An engine refuses or fails, or its answer is lost, garbled, truncated or stalled.

    An idempotent call is retried at the other engine unless part of the first answer
    has been passed on; any other call ends with an error and never runs twice.
    """

    async def scenario() -> None:
        async with make_setup(engines(), ServiceKind.ENGINE) as setup:
            setup.targets[0].next_faults[:] = [fault] if fault else []
            call = make_call(ENGINE_SERVICE, idempotent=idempotent, streamed=streamed)
            outcome = await run(setup, call)
            passed_on = streamed and fault in ("lose", "garble", "truncate", "silent")
            if error_if_not is None or (idempotent and not passed_on):
                check_generation(outcome)
                assert setup.runs() == runs_if_repeated
            else:
                check_error(outcome, error_if_not, Ran.UNKNOWN)
                assert setup.runs() <= 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("fault", "tells_status", "runs_if_repeated", "error_if_not"),
    [
        ("", False, 1, None),
        ("refuse", False, 1, None),
        ("drop", False, 1, UNKNOWN),
        ("fail", False, 2, FAILED),
        ("lose", False, 2, UNKNOWN),
        ("garble", False, 2, UNKNOWN),
        ("truncate", False, 2, UNKNOWN),
        ("silent", True, 2, UNKNOWN),
        ("silent", False, 2, ErrorKind.DEADLINE_EXCEEDED),
    ],
)
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_plain_call_under_each_fault(
    fault: str,
    tells_status: bool,
    runs_if_repeated: int,
    error_if_not: ErrorKind | None,
    idempotent: bool,
) -> None:
    """A plain service refuses or fails, or its answer is lost, garbled, truncated or stalled.

    A call that is not idempotent runs at most once, and its caller learns that the
    outcome is unknown.
    """

    async def scenario() -> None:
        services = plain_services(tells_status=tells_status)
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            services[0].next_faults[:] = [fault] if fault else []
            call = make_call(PLAIN_SERVICE, idempotent=idempotent, deadline_in_s=2.5)
            outcome = await run(setup, call)
            if error_if_not is None or idempotent:
                assert not isinstance(outcome, RequestError), outcome
                assert outcome[-1]["result"]["echo"]["prompt"] == "a quote"
                assert setup.runs() == runs_if_repeated
            else:
                check_error(outcome, error_if_not, Ran.UNKNOWN)
                assert setup.runs() <= 1

    asyncio.run(scenario())


@pytest.mark.parametrize(("is_not_run", "ran"), [(True, Ran.NO), (False, Ran.UNKNOWN)])
@pytest.mark.parametrize("kind", [ServiceKind.ENGINE, ServiceKind.PLAIN])
def test_a_refusal_counts_as_not_run_only_if_configured(
    kind: ServiceKind, is_not_run: bool, ran: Ran
) -> None:
    """Both targets refuse with 503, which some services send after starting the work."""

    async def scenario() -> None:
        targets = engines() if kind is ServiceKind.ENGINE else plain_services()
        async with make_setup(targets, kind, refusal_is_not_run=is_not_run) as setup:
            targets[0].next_faults[:] = ["refuse", "refuse"]
            outcome = await run(setup, make_call(targets[0].service, idempotent=False))
            assert isinstance(outcome, RequestError)
            assert outcome.ran is ran
            assert setup.runs() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_target_that_refuses_connections_fails_no_call(idempotent: bool) -> None:
    """A target's process has died and its health state is not updated yet."""

    async def scenario() -> None:
        services = plain_services()
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            await services[0].stop()
            for _ in range(6):
                outcome = await run(setup, make_call(PLAIN_SERVICE, idempotent=idempotent))
                assert not isinstance(outcome, RequestError), outcome
            assert len(services[1].runs) == 6

    asyncio.run(scenario())


def test_a_call_is_not_run_when_no_target_is_reachable() -> None:
    async def scenario() -> None:
        services = plain_services()
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            for service in services:
                await service.stop()
            outcome = await run(setup, make_call(PLAIN_SERVICE, idempotent=False))
            check_error(outcome, ErrorKind.NO_TARGET, Ran.NO)

    asyncio.run(scenario())


def test_a_refusal_after_an_attempt_that_may_have_run_is_outcome_unknown() -> None:
    """The first target loses the answer and the other one refuses the retry."""

    async def scenario() -> None:
        services = plain_services()
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            services[0].next_faults[:] = ["lose", "refuse"]
            outcome = await run(setup, make_call(PLAIN_SERVICE, idempotent=True))
            check_error(outcome, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert setup.runs() == 1

    asyncio.run(scenario())


def test_a_stale_keep_alive_connection_loses_no_non_idempotent_call() -> None:
    """A middlebox silently drops idle keep-alive connections between two calls.

    A call sent on such a connection can't be told from one that ran, so the outcome
    of a non-idempotent call would be unknown.
    """

    async def scenario() -> None:
        services = plain_services()
        async with make_setup(services[:1], ServiceKind.PLAIN) as setup:
            for _ in range(3):
                outcome = await run(setup, make_call(PLAIN_SERVICE, idempotent=False))
                assert not isinstance(outcome, RequestError), outcome
                services[0].silence_open_connections()
            assert setup.runs() == 3

    asyncio.run(scenario())


def test_the_http_library_does_not_retry_by_itself() -> None:
    """The answer is lost on a keep-alive connection, where HTTP clients often retry.

    Only the target would see such a retry, and the call would run twice.
    """

    async def scenario() -> None:
        services = plain_services()[:1]
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            assert not isinstance(
                await run(setup, make_call(PLAIN_SERVICE, idempotent=True)), RequestError
            )
            services[0].next_faults[:] = ["lose"]
            outcome = await run(setup, make_call(PLAIN_SERVICE, idempotent=True))
            check_error(outcome, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert setup.runs() == 2

    asyncio.run(scenario())


def test_a_slow_prefill_is_not_a_failure() -> None:
    """An engine spends many probe periods on a prompt before it sends anything."""

    async def scenario() -> None:
        slow = engines()
        for engine in slow:
            engine.prefill_s = 5 * PERIOD_S
        async with make_setup(slow, ServiceKind.ENGINE) as setup:
            outcome = await run(setup, make_call(ENGINE_SERVICE, idempotent=True))
            check_generation(outcome)
            assert setup.runs() == 1

    asyncio.run(scenario())


def test_queueing_at_the_engine_is_not_a_failure() -> None:
    """The engine's slots are taken, so a queued call receives nothing meanwhile."""

    async def scenario() -> None:
        (engine, _other) = engines()
        engine.slots = 1
        engine.prefill_s = 4 * PERIOD_S
        async with make_setup([engine], ServiceKind.ENGINE) as setup:
            calls = [
                make_call(ENGINE_SERVICE, idempotent=True)._replace(request_id=f"r{number}")
                for number in range(2)
            ]
            for outcome in await asyncio.gather(*(run(setup, call) for call in calls)):
                check_generation(outcome)
            assert setup.runs() == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("disconnects", [True, False])
def test_an_abandoned_run_is_cancelled_at_the_engine(disconnects: bool) -> None:
    """The deadline passes during generation, or the caller disconnects.

    Without a cancel, the engine would spend a slot on an answer that is not read.
    """

    async def scenario() -> None:
        (engine, _other) = engines()
        engine.token_s = 0.05
        async with make_setup([engine], ServiceKind.ENGINE) as setup:
            call = make_call(
                ENGINE_SERVICE, idempotent=True, deadline_in_s=5.0 if disconnects else 0.15
            )
            call = call._replace(body={**call.body, "max_tokens": 200})
            task = asyncio.create_task(run(setup, call))
            while not engine.runs or not engine.runs[0].spans:
                await asyncio.sleep(0.005)
            if disconnects:
                task.cancel()
            else:
                check_error(await task, ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
            async with asyncio.timeout(3.0):
                while not engine.runs[0].cancelled:
                    await asyncio.sleep(0.005)

    asyncio.run(scenario())


def test_a_deadline_that_passes_in_the_queue_is_not_run() -> None:
    """Slow calls fill this node's window until the deadline of a queued call."""

    async def scenario() -> None:
        services = plain_services()[:1]
        services[0].call_s = 0.6
        async with make_setup(services, ServiceKind.PLAIN) as setup:
            first = [make_call(PLAIN_SERVICE, idempotent=True) for _ in range(16)]
            tasks = [asyncio.create_task(run(setup, call)) for call in first]
            while setup.runs() < 8:
                await asyncio.sleep(0.005)
            late = make_call(PLAIN_SERVICE, idempotent=True, deadline_in_s=0.3)
            outcome = await run(setup, late._replace(request_id="late"))
            assert isinstance(outcome, RequestError)
            assert outcome.ran is Ran.NO
            assert services[0].runs_by_request["late"] == 0
            await asyncio.gather(*tasks)

    asyncio.run(scenario())
