"""Calls through the dispatcher to real stand-ins, fault by fault, against their ledgers."""

import asyncio

import pytest

from samphirecleat.config import ServiceKind
from samphirecleat.errors import ErrorKind, Ran, RequestError

from .dispatch_stage import (
    ENGINE_SERVICE,
    FAILED,
    PERIOD_S,
    PLAIN_SERVICE,
    UNKNOWN,
    check_error,
    check_generation,
    engines,
    make_bench,
    make_call,
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
    """An engine refuses, fails, or its answer is lost, garbled, cut short or silent.

    An idempotent call is answered by the other engine unless its caller holds a
    part of the first answer; any other one ends at once, and runs no second time.
    """

    async def scenario() -> None:
        async with make_bench(engines(), ServiceKind.ENGINE) as bench:
            bench.targets[0].next_faults[:] = [fault] if fault else []
            call = make_call(ENGINE_SERVICE, idempotent=idempotent, streamed=streamed)
            outcome = await run(bench, call)
            passed_on = streamed and fault in ("lose", "garble", "truncate", "silent")
            if error_if_not is None or (idempotent and not passed_on):
                check_generation(outcome)
                assert bench.runs() == runs_if_repeated
            else:
                check_error(outcome, error_if_not, Ran.UNKNOWN)
                assert bench.runs() <= 1

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
    """A plain service refuses, fails, or its answer is lost, garbled, cut short or silent.

    A reminder that may not be sent twice runs once at most, and its caller learns
    that nobody knows whether it went out.
    """

    async def scenario() -> None:
        services = plain_services(tells_status=tells_status)
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            services[0].next_faults[:] = [fault] if fault else []
            call = make_call(PLAIN_SERVICE, idempotent=idempotent, deadline_in_s=2.5)
            outcome = await run(bench, call)
            if error_if_not is None or idempotent:
                assert not isinstance(outcome, RequestError), outcome
                assert outcome[-1]["result"]["echo"]["prompt"] == "a quote"
                assert bench.runs() == runs_if_repeated
            else:
                check_error(outcome, error_if_not, Ran.UNKNOWN)
                assert bench.runs() <= 1

    asyncio.run(scenario())


@pytest.mark.parametrize(("is_not_run", "ran"), [(True, Ran.NO), (False, Ran.UNKNOWN)])
@pytest.mark.parametrize("kind", [ServiceKind.ENGINE, ServiceKind.PLAIN])
def test_a_refusal_is_not_run_only_where_the_text_says_so(
    kind: ServiceKind, is_not_run: bool, ran: Ran
) -> None:
    """Both targets refuse with 503. Some services do so after they have begun."""

    async def scenario() -> None:
        targets = engines() if kind is ServiceKind.ENGINE else plain_services()
        async with make_bench(targets, kind, refusal_is_not_run=is_not_run) as bench:
            targets[0].next_faults[:] = ["refuse", "refuse"]
            outcome = await run(bench, make_call(targets[0].service, idempotent=False))
            assert isinstance(outcome, RequestError)
            assert outcome.ran is ran
            assert bench.runs() == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("idempotent", [True, False])
def test_one_target_that_refuses_connections_costs_nothing(idempotent: bool) -> None:
    """A target's process has died and nobody has noticed yet."""

    async def scenario() -> None:
        services = plain_services()
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            await services[0].stop()
            for _ in range(6):
                outcome = await run(bench, make_call(PLAIN_SERVICE, idempotent=idempotent))
                assert not isinstance(outcome, RequestError), outcome
            assert len(services[1].runs) == 6

    asyncio.run(scenario())


def test_when_no_target_can_be_reached_the_call_was_not_run() -> None:
    async def scenario() -> None:
        services = plain_services()
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            for service in services:
                await service.stop()
            outcome = await run(bench, make_call(PLAIN_SERVICE, idempotent=False))
            check_error(outcome, ErrorKind.NO_TARGET, Ran.NO)

    asyncio.run(scenario())


def test_a_refusal_after_an_attempt_that_may_have_run_is_unknown() -> None:
    """The first target loses the answer and every other one refuses the repeat."""

    async def scenario() -> None:
        services = plain_services()
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            services[0].next_faults[:] = ["lose", "refuse"]
            outcome = await run(bench, make_call(PLAIN_SERVICE, idempotent=True))
            check_error(outcome, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert bench.runs() == 1

    asyncio.run(scenario())


def test_a_kept_connection_gone_silent_loses_no_call_that_may_not_be_repeated() -> None:
    """Something between node and target forgets the kept connections between two calls.

    A call that is sent on such a connection is lost in a way that nobody can tell
    from a call that ran; one that may not be repeated would then be unknown.
    """

    async def scenario() -> None:
        services = plain_services()
        async with make_bench(services[:1], ServiceKind.PLAIN) as bench:
            for _ in range(3):
                outcome = await run(bench, make_call(PLAIN_SERVICE, idempotent=False))
                assert not isinstance(outcome, RequestError), outcome
                services[0].silence_open_connections()
            assert bench.runs() == 3

    asyncio.run(scenario())


def test_the_http_library_repeats_nothing_by_itself() -> None:
    """The answer is lost on a kept connection, where HTTP clients like to try again.

    Such a repeat would be seen by nobody but the target: a call run twice.
    """

    async def scenario() -> None:
        services = plain_services()[:1]
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            assert not isinstance(
                await run(bench, make_call(PLAIN_SERVICE, idempotent=True)), RequestError
            )
            services[0].next_faults[:] = ["lose"]
            outcome = await run(bench, make_call(PLAIN_SERVICE, idempotent=True))
            check_error(outcome, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert bench.runs() == 2

    asyncio.run(scenario())


def test_a_slow_engine_is_waited_for() -> None:
    """An engine works long on a prompt, and sends nothing for many probe periods."""

    async def scenario() -> None:
        slow = engines()
        for engine in slow:
            engine.prefill_s = 5 * PERIOD_S
        async with make_bench(slow, ServiceKind.ENGINE) as bench:
            outcome = await run(bench, make_call(ENGINE_SERVICE, idempotent=True))
            check_generation(outcome)
            assert bench.runs() == 1

    asyncio.run(scenario())


def test_a_queued_generation_is_waited_for() -> None:
    """The engine's slots are taken, so a call that waits its turn hears nothing."""

    async def scenario() -> None:
        (engine, _other) = engines()
        engine.slots = 1
        engine.prefill_s = 4 * PERIOD_S
        async with make_bench([engine], ServiceKind.ENGINE) as bench:
            calls = [
                make_call(ENGINE_SERVICE, idempotent=True)._replace(request_id=f"r{number}")
                for number in range(2)
            ]
            for outcome in await asyncio.gather(*(run(bench, call) for call in calls)):
                check_generation(outcome)
            assert bench.runs() == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("gone", [True, False])
def test_a_run_nobody_waits_for_is_cancelled_at_the_engine(gone: bool) -> None:
    """The deadline passes in mid-generation, or the caller goes away.

    Left alone, the engine would spend a slot on an answer that nobody reads.
    """

    async def scenario() -> None:
        (engine, _other) = engines()
        engine.token_s = 0.05
        async with make_bench([engine], ServiceKind.ENGINE) as bench:
            call = make_call(ENGINE_SERVICE, idempotent=True, deadline_in_s=5.0 if gone else 0.15)
            call = call._replace(body={**call.body, "max_tokens": 200})
            task = asyncio.create_task(run(bench, call))
            while not engine.runs or not engine.runs[0].spans:
                await asyncio.sleep(0.005)
            if gone:
                task.cancel()
            else:
                check_error(await task, ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
            async with asyncio.timeout(3.0):
                while not engine.runs[0].cancelled:
                    await asyncio.sleep(0.005)

    asyncio.run(scenario())


def test_a_deadline_that_passes_in_the_queue_is_not_run() -> None:
    """This node's window is full with slow calls until another call's deadline."""

    async def scenario() -> None:
        services = plain_services()[:1]
        services[0].call_s = 0.6
        async with make_bench(services, ServiceKind.PLAIN) as bench:
            first = [make_call(PLAIN_SERVICE, idempotent=True) for _ in range(16)]
            tasks = [asyncio.create_task(run(bench, call)) for call in first]
            while bench.runs() < 8:
                await asyncio.sleep(0.005)
            late = make_call(PLAIN_SERVICE, idempotent=True, deadline_in_s=0.3)
            outcome = await run(bench, late._replace(request_id="late"))
            assert isinstance(outcome, RequestError)
            assert outcome.ran is Ran.NO
            assert services[0].runs_by_request["late"] == 0
            await asyncio.gather(*tasks)

    asyncio.run(scenario())
