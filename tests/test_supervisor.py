"""Background tasks that fail are started again, and the node shows it."""

import asyncio

import pytest

from samphirecleat import _supervisor
from samphirecleat._supervisor import TaskSupervisor
from samphirecleat.observe import Observer

from .fleets import until


@pytest.fixture(autouse=True)
def short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_supervisor, "MIN_RESTART_DELAY_S", 0.02)


class FailingTask:
    """Fails in its first runs, then runs until it is cancelled."""

    def __init__(self, failures: int) -> None:
        self.failures_left = failures
        self.runs = 0

    async def run(self) -> None:
        self.runs += 1
        if self.failures_left:
            self.failures_left -= 1
            raise RuntimeError("no reader expected this")
        await asyncio.Event().wait()


@pytest.mark.parametrize("needed", [True, False])
def test_a_failed_task_runs_again_and_only_a_needed_one_is_waited_for(
    needed: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a node that goes on without one of its tasks and is never ready again."""

    async def body() -> None:
        observer = Observer("n1")
        supervisor = TaskSupervisor(observer)
        task = FailingTask(failures=2)
        supervisor.start("targets", task.run, needed=needed)
        await until(lambda: observer.counters["tasks_down"] == 1)
        assert supervisor.needed_tasks_run is not needed
        await until(lambda: task.runs == 3)
        assert supervisor.needed_tasks_run
        assert observer.counters["tasks_down"] == 0
        assert observer.counters["task_failures_targets"] == 2
        supervisor.cancel()

    asyncio.run(body())
    assert "task=targets failed" in caplog.text
    assert "no reader expected this" in caplog.text


def test_other_tasks_run_on_while_one_fails() -> None:
    async def body() -> None:
        supervisor = TaskSupervisor(Observer("n1"))
        failing, sound = FailingTask(failures=1000), FailingTask(failures=0)
        supervisor.start("failing", failing.run)
        supervisor.start("sound", sound.run)
        await until(lambda: failing.runs >= 3)
        assert sound.runs == 1
        supervisor.cancel()

    asyncio.run(body())
