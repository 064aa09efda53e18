"""Tests of the result lister: results are listed once and after their texts, despite failures."""

import asyncio

import pytest

from samphirecleat.durable import StepAccess, StepLog
from samphirecleat.durable import _listing as listing_module
from samphirecleat.durable._texts import shard_of, topic_of

from ..fleets import until
from .memory_log import MemoryLog
from .steps import finished, step
from .test_step_log import following


@pytest.mark.parametrize("texts", [[], ["lost"], ["refused", "late"]], ids=str)
@pytest.mark.parametrize("rows", [[], ["lost"], ["refused"]], ids=str)
def test_listed_result_always_has_its_text(
    texts: list[str], rows: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The log loses the response to an append of texts, or of the results that refer to them.

    A result that refers to a missing text could not be read at any node, and its trainer would
    wait for it until the end of the step.
    """
    monkeypatch.setattr(listing_module, "RETRY_DELAY_S", 0.01)

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            topic = log.topics[topic_of(shard_of("s1"))]
            topic.answers, log.answers = list(texts), list(rows)
            for number in (2, 0):
                step_log.list_result(finished("s1", f"s1-{number}", f"text {number}"))
            await until(lambda: step_log.unlisted_count == 0)
            topic.apply_delayed()
            log.compact()
            topic.compact()
            async with following(log, "inc00002") as cold:
                await until(lambda: cold.caught_up)
                page = await StepAccess(cold).read("s1", 0, 0.0)
                read = [(row.item.item_id, row.text) for row in page.results]
                assert read == [("s1-2", "text 2"), ("s1-0", "text 0")]

    asyncio.run(body())


def test_failed_listing_does_not_write_the_text_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listing_module, "RETRY_DELAY_S", 0.01)

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            log.answers = ["refused"] * 3
            texts = log.topics[topic_of(shard_of("s1"))]
            texts.appends = 0
            step_log.list_result(finished("s1", "s1-0"))
            await until(lambda: step_log.unlisted_count == 0)
            assert texts.appends == 1

    asyncio.run(body())


def test_results_of_an_ended_step_are_not_listed() -> None:
    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await step_log.end("s1")
            await until(lambda: "s1" in step_log.fold.steps and step_log.fold.steps["s1"].ended)
            texts = log.topics[topic_of(shard_of("s1"))]
            before = len(texts.entries)
            step_log.list_result(finished("s1", "s1-0"))
            await until(lambda: step_log.unlisted_count == 0)
            assert len(texts.entries) == before

    asyncio.run(body())


@pytest.mark.parametrize(("character", "appends"), [("a", 1), ("ä", 2)])
def test_append_size_stays_below_the_limit_of_the_log(character: str, appends: int) -> None:
    """Several long non-ASCII texts finish together; each character takes several bytes.

    An append that is too large is rejected at every attempt, which would block all listing.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await step_log.accept(step("s1"))
            await until(lambda: "s1" in step_log.fold.steps)
            texts = log.topics[topic_of(shard_of("s1"))]
            texts.appends = 0
            for number in range(2):
                step_log.list_result(finished("s1", f"s1-{number}", character * 300_000))
            await until(lambda: step_log.unlisted_count == 0)
            assert texts.appends == appends

    asyncio.run(body())


async def accept_two_steps(log: MemoryLog, step_log: StepLog) -> None:
    """Accept two steps whose texts are stored in different topics."""
    assert shard_of("s1") != shard_of("s2")
    await until(lambda: step_log.caught_up)
    for name in ("s1", "s2"):
        await step_log.accept(step(name))
    await until(lambda: len(step_log.fold.steps) == 2)
    log.appends = 0


def test_listing_does_not_wait_for_texts_of_another_step() -> None:
    """The last text of one step is complete while long texts of another are written slowly.

    If its listing waited for them, the trainer of the first step would be delayed.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await accept_two_steps(log, step_log)
            log.topics[topic_of(shard_of("s1"))].gate.clear()
            step_log.list_result(finished("s1", "s1-0"))
            step_log.list_result(finished("s2", "s2-0"))
            await until(lambda: len(step_log.fold.steps["s2"].results) == 1)
            assert not step_log.fold.steps["s1"].results
            log.topics[topic_of(shard_of("s1"))].gate.set()
            await until(lambda: len(step_log.fold.steps["s1"].results) == 1)

    asyncio.run(body())


def test_results_ready_during_an_append_share_the_next_one() -> None:
    """The store responds slowly while results of several steps become ready.

    With one append per step in turn, the last step would wait for all the others.
    """

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await accept_two_steps(log, step_log)
            log.gate.clear()
            step_log.list_result(finished("s1", "s1-0"))
            await until(lambda: log.appends == 1)
            for name in ("s1-1", "s1-2", "s2-0", "s2-1"):
                step_log.list_result(finished(name[:2], name))
            await asyncio.sleep(0.1)
            log.gate.set()
            await until(lambda: step_log.unlisted_count == 0)
            assert log.appends == 2

    asyncio.run(body())
