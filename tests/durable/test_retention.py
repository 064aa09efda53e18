"""Tests that expired steps, and only these, are deleted from the log."""

import asyncio

import pytest

from samphirecleat.durable import StepAccess, StepLog
from samphirecleat.durable import _retention as retention_module
from samphirecleat.durable import _step_log as step_log_module
from samphirecleat.durable._retention import drop_forgotten_steps
from samphirecleat.errors import ErrorKind, RequestError
from samphirecleat.observe import Observer

from ..fleets import until
from .memory_log import MemoryLog
from .steps import finished, step
from .test_step_log import following


async def submit_step_with_result(step_log: StepLog, step_id: str) -> None:
    await step_log.accept(step(step_id, 2))
    await until(lambda: step_id in step_log.fold.steps)
    step_log.list_result(finished(step_id, f"{step_id}-0", "a text"))
    await until(lambda: len(step_log.fold.steps[step_id].results) == 1)


def kept_keys(log: MemoryLog) -> int:
    topics = [log, *log.topics.values()]
    newest = [{entry.key: entry.value for entry in topic.entries} for topic in topics]
    return sum(bool(value) for values in newest for value in values.values())


@pytest.mark.parametrize("log_down_at_first", [False, True])
def test_ended_step_is_deleted_and_open_step_remains(
    log_down_at_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A fleet serves steps for hours with a store of a few hundred megabytes.

    A full store rejects all appends, and therefore all new steps.
    """
    monkeypatch.setattr(step_log_module, "ENDED_STEP_RETENTION_S", 0.0)
    monkeypatch.setattr(retention_module, "SWEEP_INTERVAL_S", 0.02)

    async def body() -> None:
        log = MemoryLog()
        async with following(log) as step_log:
            await until(lambda: step_log.caught_up)
            await submit_step_with_result(step_log, "open")
            only_open = kept_keys(log)
            await submit_step_with_result(step_log, "old")
            assert kept_keys(log) > only_open
            await step_log.end("old")
            await until(lambda: step_log.fold.steps["old"].ended)
            # Expired steps are forgotten when the next record is folded.
            await step_log.accept(step("open", 2))
            await until(lambda: "old" not in step_log.fold.steps)
            log.down = log_down_at_first
            sweep = asyncio.ensure_future(drop_forgotten_steps(step_log, Observer("n1")))
            await asyncio.sleep(0.1)
            log.down = False
            # Two more records than before, because the open step and its items were written twice.
            await until(lambda: kept_keys(log) == only_open + 2)
            sweep.cancel()
        async with following(log, "inc00002") as cold:
            await until(lambda: cold.caught_up)
            page = await StepAccess(cold).read("open", 0, 0.0)
            assert [row.text for row in page.results] == ["a text"]
        log.compact()
        async with following(log, "inc00003") as cold:
            await until(lambda: cold.caught_up)
            with pytest.raises(RequestError) as raised:
                await StepAccess(cold).read("old", 0, 0.0)
            assert raised.value.kind is ErrorKind.UNKNOWN_STEP

    asyncio.run(body())
