"""The step log at a node: lost answers, late appends, forgotten history, a store that is away."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from samphirecleat.durable import StepAccess, StepLog
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.observe import Observer

from ..fleets import until
from .memory_log import MemoryLog
from .steps import finished, step


@asynccontextmanager
async def following(log: MemoryLog, incarnation: str = "inc00001") -> AsyncIterator[StepLog]:
    """Run a step log over ``log`` until the block ends."""
    step_log = StepLog(log, incarnation, Observer("n1"), random.Random(1))
    task = asyncio.ensure_future(step_log.run())
    try:
        yield step_log
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def run(body: Callable[[], object]) -> None:
    asyncio.run(body())  # type: ignore[arg-type]


def test_a_step_whose_append_got_no_answer_is_kept_once_it_shows_in_the_log() -> None:
    """The log does an append and the answer is lost on the way.

    A caller that were told "not run" would submit the step again under another id, and it
    would be made twice.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            log.answers = ["lost"]
            await StepAccess(step_log).submit(step("s1"))
            assert "s1" in step_log.fold.steps

    run(body)


@pytest.mark.parametrize(
    ("answer", "kind", "ran"),
    [
        ("refused", ErrorKind.NOT_READY, Ran.NO),
        ("late", ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
    ],
)
def test_not_kept_is_only_promised_where_it_is_sure(
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

    run(body)


def test_a_result_whose_answer_was_lost_keeps_its_position() -> None:
    """A listing is done, its answer is lost, and it is sent again.

    Were it written under the same key, the newest-per-key view would move it behind what
    was listed in between, and a trainer would read other results at its positions.
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
            await until(lambda: step_log.unlisted == 0)
            log.compact()
            async with following(log, "inc00002") as cold:
                await until(lambda: cold.caught_up)
                for node in (step_log, cold):
                    rows = [r.item_id for r in node.fold.steps["s1"].results]
                    assert rows == ["s1-2", "s1-0"]

    run(body)


def test_results_wait_while_the_store_is_away_and_are_listed_after() -> None:
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
            assert step_log.unlisted == 3
            page = await StepAccess(step_log).read("s1", 0, 0.0)
            assert (page.total, page.results) == (4, [])
            log.down = False
            await until(lambda: len(step_log.fold.steps["s1"].results) == 3)

    run(body)


def test_a_follower_goes_on_after_the_history_was_forgotten() -> None:
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

    run(body)


def test_only_a_node_that_asked_the_log_denies_a_step() -> None:
    """A trainer reads its step at a node that has not folded it yet.

    "Unknown" would make it give the step up, although it was promised to be kept.
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

    run(body)


def test_a_reader_that_saw_more_elsewhere_is_not_answered_with_less() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            with pytest.raises(RequestError) as raised:
                await StepAccess(step_log).read("s1", 3, 0.0)
            assert raised.value.kind is ErrorKind.NOT_READY

    run(body)


def test_a_node_that_is_behind_its_reader_catches_up_before_it_answers() -> None:
    """A trainer reads on at a node that pauses between its reads of the log.

    Refused, it would come back a moment later for results that are there.
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
            # It has read something, and reads nothing more by itself for half a minute.
            await asyncio.sleep(0.05)
            writer.list_result(finished("s1", "s1-1"))
            writer.list_result(finished("s1", "s1-2", "second"))
            await until(lambda: len(writer.fold.steps["s1"].results) == 2)
            page = await StepAccess(behind).read("s1", 1, 0.0)
            assert [row.item.item_id for row in page.results] == ["s1-2"]
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run(body)


@asynccontextmanager
async def pausing(log: MemoryLog, writer: StepLog) -> AsyncIterator[StepLog]:
    """Follow the log at a node that has read a step's first result and then pauses."""
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


def test_a_reader_that_waits_ends_the_pause_of_its_node() -> None:
    """A trainer waits for a step's last result at a node of a large fleet.

    The node reads the log only now and then. The trainer would get the result that much later,
    and begin to train later at every step.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, pausing(log, writer) as node:
            reading = asyncio.ensure_future(StepAccess(node).read("s1", 1, 10.0))
            await asyncio.sleep(0.05)
            writer.list_result(finished("s1", "s1-1"))
            page = await asyncio.wait_for(reading, 5.0)
            assert [row.item.item_id for row in page.results] == ["s1-1"]

    run(body)


def test_a_read_brings_what_was_listed_during_a_pause() -> None:
    """A node knows one result of a step when a trainer reads, and two stand in the log.

    With the older one alone the trainer would come back half a second later for the other.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, pausing(log, writer) as node:
            writer.list_result(finished("s1", "s1-1"))
            await until(lambda: len(writer.fold.steps["s1"].results) == 2)
            page = await StepAccess(node).read("s1", 0, 0.0)
            assert [row.item.item_id for row in page.results] == ["s1-0", "s1-1"]

    run(body)


def test_a_node_tells_of_what_it_wrote_itself(caplog: pytest.LogCaptureFixture) -> None:
    """Every node folds every step; with a line of each, logs grow as nodes times steps.

    On-call engineers then look for one request among hundreds of copies of each line.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, following(log, "inc00002") as other:
            await until(lambda: writer.caught_up and other.caught_up)
            await writer.accept(step("s1"))
            await until(lambda: "s1" in other.fold.steps and "s1" in writer.fold.steps)

    with caplog.at_level("INFO"):
        run(body)
    lines = [r for r in caplog.records if "step=s1 number=" in r.getMessage()]
    assert len(lines) == 1


def test_a_read_waits_for_a_first_result() -> None:
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

    run(body)


def test_an_end_is_repeated_without_another_record() -> None:
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

    run(body)


def test_a_claim_counts_although_results_are_listed_all_the_while() -> None:
    """A runner leaves and hands over while the store is slow and its last results come in.

    A claim that failed whenever something was appended in between would fail for seconds,
    in which the step's items stand still.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await StepLog(log, "inc00002", Observer("n2"), random.Random(2)).accept(step("s1"))
            await step_log.claim("svc", "n1", "inc00001")
            await until(lambda: "svc" in step_log.fold.claims)
            assert step_log.fold.claims["svc"].node_id == "n1"

    run(body)
