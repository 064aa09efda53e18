"""Tests of the item store: items are stored separately from steps and read on demand."""

import asyncio
import random
from collections.abc import Mapping

import pytest

from samphirecleat.durable import (
    ItemSpec,
    LogUnavailableError,
    StepAccepted,
    StepAccess,
    StepLog,
    StepRequest,
)
from samphirecleat.durable._records import encode_record
from samphirecleat.durable._step_log import ITEM_WRITE_ATTEMPTS
from samphirecleat.durable._texts import shard_of, topic_of
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.observe import Observer

from ..fleets import until
from .memory_log import MemoryLog
from .runner_stage import RunnerStage, run_service
from .steps import accepted, step
from .test_step_log import following


def large_step(items: int) -> StepRequest:
    """Return a step whose bodies hardly compress, like those of trainers."""
    rng = random.Random(1)
    rows = [
        ItemSpec(f"{rng.getrandbits(64):016x}", "/run/1", [], rng.randbytes(600), 9, 9, 9, "g")
        for _ in range(items)
    ]
    return step("s1")._replace(items=rows)


def test_step_record_without_items_is_small() -> None:
    """Hundreds of nodes fold every step, and after a power loss all steps at once.

    With its items, a step of 200 items takes about 100 kB, and the store would have to send
    megabytes to each node before the fleet could serve again.
    """
    request = large_step(200)
    assert len(encode_record(accepted(request))) < 200 * 24


def test_every_node_returns_item_bodies() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as writer, following(log, "inc00002") as other:
            await until(lambda: writer.caught_up and other.caught_up)
            request = large_step(3)
            await StepAccess(writer).submit(request)
            await until(lambda: "s1" in other.fold.steps)
            item = request.items[1]
            assert await StepAccess(other).body("s1", item.item_id) == item.body
            assert await StepAccess(other).body("s1", "unknown") is None
            async with following(log, "inc00003") as third:
                await until(lambda: "s1" in third.fold.steps)
                log.down = True
                with pytest.raises(RequestError) as raised:
                    await StepAccess(third).body("s1", item.item_id)
                assert raised.value.kind is ErrorKind.NOT_READY

    asyncio.run(body())


@pytest.mark.parametrize("answer", ["refused", "lost", "late"])
def test_step_with_unconfirmed_items_is_not_stored(answer: str) -> None:
    """The log rejects the items of a step, or its response is lost.

    A step without items could never run, and its trainer would wait until the timeout. A trainer
    that is told "not run" submits the step again, and the step is stored once.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            topic = log.topics[topic_of(shard_of("s1"))]
            topic.answers = [answer] * ITEM_WRITE_ATTEMPTS
            with pytest.raises(RequestError) as raised:
                await StepAccess(step_log).submit(step("s1"))
            assert raised.value.ran is Ran.NO
            topic.apply_delayed()
            assert log.end == 0
            await StepAccess(step_log).submit(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            items = await step_log.read_items(step_log.fold.steps["s1"].spec)
            assert list(items) == [f"s1-{number}" for number in range(4)]

    asyncio.run(body())


def test_lost_response_to_items_does_not_reject_the_step() -> None:
    """The store occasionally applies an append and loses the response.

    If the step were rejected for that, the trainer would have to resubmit it, and some trainers
    do so only once.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            log.topics[topic_of(shard_of("s1"))].answers = ["lost"]
            await StepAccess(step_log).submit(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            assert len(await step_log.read_items(step_log.fold.steps["s1"].spec)) == 4

    asyncio.run(body())


def test_runner_retries_reading_items(monkeypatch: pytest.MonkeyPatch) -> None:
    """A runner takes over a step while the log is briefly unavailable.

    Without a retry the step would make no progress until its trainer abandons it.
    """
    attempts: list[int] = []

    async def body(stage: RunnerStage) -> None:
        read = stage.step_log.read_items

        async def fail_twice(spec: StepAccepted) -> Mapping[str, ItemSpec]:
            attempts.append(1)
            if len(attempts) <= 2:
                raise LogUnavailableError("away")
            return await read(spec)

        monkeypatch.setattr(stage.step_log, "read_items", fail_twice)
        await stage.accept(step(items=2))
        await stage.wait_until_listed(2)

    run_service(["e1"], body)
    assert len(attempts) == 3


def test_small_fleet_needs_one_append_per_step() -> None:
    """While the store loses responses, each further call of a submission may take a second."""

    async def body() -> None:
        log = MemoryLog()
        small = StepLog(
            log, "inc00001", Observer("n1"), random.Random(1), store_items_separately=lambda: False
        )
        task = asyncio.ensure_future(small.run())
        await until(lambda: small.caught_up)
        await StepAccess(small).submit(step("s1"))
        await until(lambda: "s1" in small.fold.steps)
        assert not log.topics[topic_of(shard_of("s1"))].entries
        assert len(small.fold.steps["s1"].items) == 4
        assert await StepAccess(small).body("s1", "s1-1") == b"body"
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(body())
