"""Tests of the step log at a node: lost responses, delayed appends, compaction, store outages."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from samphirecleat.durable import StepAccess, StepLog
from samphirecleat.durable._records import key_prefix
from samphirecleat.durable._step_log import STEP_TOPIC
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.observe import Observer

from ..fleets import until
from .memory_log import MemoryLog
from .steps import finished, step


@asynccontextmanager
async def following(log: MemoryLog, incarnation: str = "inc00001") -> AsyncIterator[StepLog]:
    """Run a step log on ``log`` while the context is active."""
    step_log = StepLog(log, incarnation, Observer("n1"), random.Random(1))
    task = asyncio.ensure_future(step_log.run())
    try:
        yield step_log
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def run_async(body: Callable[[], object]) -> None:
    asyncio.run(body())  # type: ignore[arg-type]


def test_step_is_accepted_when_its_append_response_is_lost() -> None:
    """The log applies an append and its response is lost.

    If the caller were told "not run", it would submit the step again under another ID, and the
    step would run twice.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            log.answers = ["lost"]
            await StepAccess(step_log).submit(step("s1"))
            assert "s1" in step_log.fold.steps

    run_async(body)


@pytest.mark.parametrize(
    ("answer", "kind", "ran"),
    [
        ("refused", ErrorKind.NOT_READY, Ran.NO),
        ("late", ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
    ],
)
def test_unconfirmed_submission_reports_not_run_only_if_certain(
    answer: str, kind: ErrorKind, ran: Ran, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("samphirecleat.durable._access.UNKNOWN_APPEND_TIMEOUT_S", 0.2)

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            log.answers = [answer]
            with pytest.raises(RequestError) as raised:
                await StepAccess(step_log).submit(step("s1"))
            assert (raised.value.kind, raised.value.ran) == (kind, ran)

    run_async(body)


def test_result_keeps_its_position_when_the_append_response_is_lost() -> None:
    """A listing is applied, its response is lost, and it is appended again.

    Under the same key, compaction would move it behind results that were listed in between, and
    a trainer would read different results at its positions.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            log.answers = ["lost"]
            step_log.list_result(finished("s1", "s1-2"))
            await until(lambda: len(step_log.fold.steps["s1"].results) == 1)
            step_log.list_result(finished("s1", "s1-0"))
            await until(lambda: len(step_log.fold.steps["s1"].results) == 2)
            await until(lambda: step_log.unlisted_count == 0)
            log.compact()
            async with following(log, "inc00002") as cold:
                await until(lambda: cold.caught_up)
                for node in (step_log, cold):
                    rows = [r.item_id for r in node.fold.steps["s1"].results]
                    assert rows == ["s1-2", "s1-0"]

    run_async(body)


def test_results_are_listed_after_a_store_outage() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            log.down = True
            for number in range(3):
                step_log.list_result(finished("s1", f"s1-{number}"))
            await asyncio.sleep(0.1)
            assert step_log.unlisted_count == 3
            page = await StepAccess(step_log).read("s1", 0, 0.0)
            assert (page.total, page.results) == (4, [])
            log.down = False
            await until(lambda: len(step_log.fold.steps["s1"].results) == 3)

    run_async(body)


def test_follower_continues_after_compaction() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            log.down = True
            await asyncio.sleep(0.1)
            log.down = False
            other = StepLog(log, "inc00002", Observer("n2"), random.Random(2))
            await other.accept(step("s1"))
            log.compact()
            await until(lambda: "s1" in step_log.fold.steps)

    run_async(body)


def test_step_is_reported_unknown_only_after_confirmation_by_the_log() -> None:
    """A trainer reads its step at a node that has not folded it yet.

    If the node reported the step as unknown, the trainer would abandon an accepted step.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            access = StepAccess(step_log)
            with pytest.raises(RequestError) as raised:
                await access.read("s1", 0, 0.0)
            assert raised.value.kind is ErrorKind.UNKNOWN_STEP
            log.down = True
            with pytest.raises(RequestError) as raised:
                await access.read("s1", 0, 0.0)
            assert raised.value.kind is ErrorKind.NOT_READY

    run_async(body)


def test_reader_ahead_of_the_node_gets_an_error() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            with pytest.raises(RequestError) as raised:
                await StepAccess(step_log).read("s1", 3, 0.0)
            assert raised.value.kind is ErrorKind.NOT_READY

    run_async(body)


def test_node_behind_its_reader_catches_up_first() -> None:
    """A trainer continues reading at a node that pauses between its reads of the log.

    If it were rejected, it would have to retry for results that are already in the log.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer:
            await until(lambda: writer.caught_up)
            await writer.accept(step("s1"))
            await until(lambda: "s1" in writer.fold.steps)
            behind = StepLog(log, "inc00002", Observer("n2"), random.Random(1), lambda: 30.0)
            task = asyncio.ensure_future(behind.run())
            await until(lambda: "s1" in behind.fold.steps)
            # The node has read the step and now pauses for 30 s.
            await asyncio.sleep(0.05)
            writer.list_result(finished("s1", "s1-1"))
            writer.list_result(finished("s1", "s1-2", "second"))
            await until(lambda: len(writer.fold.steps["s1"].results) == 2)
            page = await StepAccess(behind).read("s1", 1, 0.0)
            assert [row.item.item_id for row in page.results] == ["s1-2"]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run_async(body)


@asynccontextmanager
async def paused_node(log: MemoryLog, writer: StepLog) -> AsyncIterator[StepLog]:
    """Run a node that has read the first result of a step and then pauses for 30 s."""
    pauses_s = [0.0]
    node = StepLog(log, "inc00002", Observer("n2"), random.Random(1), lambda: pauses_s[0])
    task = asyncio.ensure_future(node.run())
    await until(lambda: node.caught_up)
    await writer.accept(step("s1"))
    await until(lambda: "s1" in node.fold.steps)
    pauses_s[0] = 30.0
    writer.list_result(finished("s1", "s1-0", "first"))
    await until(lambda: len(node.fold.steps["s1"].results) == 1)
    await asyncio.sleep(0.05)
    yield node
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_waiting_reader_ends_the_pause_of_its_node() -> None:
    """A trainer waits for the last result of a step at a node of a large fleet.

    The node pauses between reads of the log. Without ending the pause, the trainer would receive
    the result late and start its training late at every step.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, paused_node(log, writer) as node:
            reading = asyncio.ensure_future(StepAccess(node).read("s1", 1, 10.0))
            await asyncio.sleep(0.05)
            writer.list_result(finished("s1", "s1-1"))
            page = await asyncio.wait_for(reading, 5.0)
            assert [row.item.item_id for row in page.results] == ["s1-1"]

    run_async(body)


def test_read_returns_results_listed_during_a_pause() -> None:
    """A trainer reads while the node has folded one result of a step and the log holds two.

    With only the first result, the trainer would fetch the second one half a second later.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, paused_node(log, writer) as node:
            writer.list_result(finished("s1", "s1-1"))
            await until(lambda: len(writer.fold.steps["s1"].results) == 2)
            page = await StepAccess(node).read("s1", 0, 0.0)
            assert [row.item.item_id for row in page.results] == ["s1-0", "s1-1"]

    run_async(body)


def test_step_is_logged_only_by_its_writer(caplog: pytest.LogCaptureFixture) -> None:
    """Every node folds every step; if each logged it, the log volume would be nodes times steps.

    On-call engineers would have to find a request among hundreds of copies of each line.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, following(log, "inc00002") as other:
            await until(lambda: writer.caught_up and other.caught_up)
            await writer.accept(step("s1"))
            await until(lambda: "s1" in other.fold.steps and "s1" in writer.fold.steps)

    with caplog.at_level("INFO"):
        run_async(body)
    lines = [r for r in caplog.records if "step=s1 number=" in r.getMessage()]
    assert len(lines) == 1


def test_read_waits_for_the_first_result() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            reading = asyncio.ensure_future(StepAccess(step_log).read("s1", 0, 10.0))
            await asyncio.sleep(0)
            step_log.list_result(finished("s1", "s1-1"))
            page = await reading
            assert [(r.item.item_id, r.text) for r in page.results] == [("s1-1", "text")]
            assert page.next_position == 1

    run_async(body)


def test_read_without_space_for_its_texts_reads_none(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against texts that are fetched into memory before the read of them is refused."""

    def refuse(size_bytes: int) -> None:
        raise MemoryError(size_bytes)

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            step_log.list_result(finished("s1", "s1-1"))
            await until(lambda: len(step_log.fold.steps["s1"].results) == 1)
            monkeypatch.setattr(step_log.texts, "read", None)
            with pytest.raises(MemoryError, match="4"):
                await StepAccess(step_log).read("s1", 0, 0.0, reserve=refuse)

    run_async(body)


def test_ending_a_step_twice_appends_one_record() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            access = StepAccess(step_log)
            await access.end("s1")
            await until(lambda: step_log.fold.steps["s1"].ended)
            before = log.end
            await access.end("s1")
            assert log.end == before

    run_async(body)


def test_claim_is_valid_despite_concurrent_appends() -> None:
    """A runner hands over while the store is slow and its last results are being listed.

    A claim that failed whenever another record was appended first would fail for seconds, during
    which no item of the step makes progress.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await StepLog(log, "inc00002", Observer("n2"), random.Random(2)).accept(step("s1"))
            await step_log.claim("svc", "n1", "inc00001")
            await until(lambda: "svc" in step_log.fold.claims)
            assert step_log.fold.claims["svc"].node_id == "n1"

    run_async(body)


def test_a_step_with_a_record_that_cannot_be_read_is_neither_unknown_nor_listed() -> None:
    """Guards against a 404 for an accepted step, and a position that holds a second result.

    The record is one of a newer build, or was damaged. All other steps are served.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            access = StepAccess(step_log)
            for step_id in ("s1", "s2"):
                await access.submit(step(step_id))
            unreadable = bytes(2) + (1).to_bytes(2) + b"\xfe not a record"
            for subject in ("s1", "s3"):
                key = f"{key_prefix(subject)}/other/1.0"
                await log.append(STEP_TOPIC, [(key, unreadable)])
            await until(lambda: step_log.is_uncertain("s3"))
            for step_id in ("s1", "s3"):
                with pytest.raises(RequestError) as raised:
                    await access.read(step_id, 0, 0.0)
                assert raised.value.kind is ErrorKind.NOT_READY
            with pytest.raises(RequestError) as raised:
                await access.read("s4", 0, 0.0)
            assert raised.value.kind is ErrorKind.UNKNOWN_STEP
            assert (await access.read("s2", 0, 0.0)).total == 4
            await access.end("s1")

    run_async(body)
