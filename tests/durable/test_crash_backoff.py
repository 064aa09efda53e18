"""Items that may crash the engines of a small service."""

import asyncio
from collections.abc import Sequence

import pytest

from samphirecleat.crashes import CrashedRun, CrashGuard, CrashLedger, request_digest
from samphirecleat.durable import ItemSpec, StepRequest

from ..crashes.guards import make_guard
from ..crashes.test_crashed_services import FakeView, name_of
from .runner_stage import RunnerStage, run_service
from .steps import step


def record_crash(
    ledger: CrashLedger,
    request: StepRequest,
    items: Sequence[ItemSpec],
    target: str,
    delay_s: float = 0.1,
) -> None:
    """Record that a target crashed 0.1 s ago, ``delay_s`` after ``items`` had started there.

    Another node saw it: this one is an heir.
    """
    now_s = asyncio.get_running_loop().time()
    for item in items:
        owner = f"{request.workspace}/{item.item_id}"
        digest = request_digest("POST", request.host, item.raw_path, owner, item.body)
        ledger.record_crash(
            digest, CrashedRun(target, now_s - 0.1 - delay_s, now_s - 0.1, "lost"), now_s
        )


def engines_on_trial(stage: RunnerStage) -> set[str]:
    return {trial.instance for trial in stage.runs.trials._running.values()}


def test_suspect_items_run_at_one_engine_and_only_beside_two_others() -> None:
    """Guards against items that crash the engines of a small service one after the other.

    The node is an heir: it knows of the crash from the node that held the duty before.
    """
    ledger, view = CrashLedger(), FakeView(3)
    guard = make_guard(ledger, services=view)
    request = step(items=4)
    suspects = {item.item_id for item in request.items[:3]}

    async def body(stage: RunnerStage) -> None:
        record_crash(ledger, request, request.items[:3], name_of(view, "t0"))
        await stage.accept(request)
        await stage.wait_until_listed(1)
        await asyncio.sleep(0.1)
        assert not any(stage.engines.engines_of(item_id) for item_id in suspects)
        view.starts["t0"] += 1
        while len(stage.results()) < 4:
            assert len(engines_on_trial(stage)) <= 1
            running = {
                run.target.instance for n, run in stage.work.runs.items() if n[1] in suspects
            }
            assert len(running) <= 1
            await asyncio.sleep(0.001)

    assert all(run_service(["e1", "e2", "e3"], body, guard=guard).results().values())


def run_items_of_crashed_engines(
    guard: CrashGuard, ledger: CrashLedger, view: FakeView, delay_s: float
) -> float:
    """Run 24 items that were at two crashed engines of five; return how long the last one waited.

    The three other engines have room for all of them, and each text takes 0.6 s.
    """
    request = step(items=24)
    waited_s = 0.0

    async def body(stage: RunnerStage) -> None:
        nonlocal waited_s
        loop = asyncio.get_running_loop()
        for name in ("e1", "e2", "e3"):
            stage.engines.event_s[name] = 0.1
        record_crash(ledger, request, request.items[:12], name_of(view, "t0"), delay_s)
        record_crash(ledger, request, request.items[12:], name_of(view, "t1"), delay_s)
        await stage.accept(request)
        began_s = loop.time()
        while len(stage.engines.calls) < 24:
            assert len(engines_on_trial(stage)) <= 1
            await asyncio.sleep(0.005)
        waited_s = loop.time() - began_s
        await stage.wait_until_listed(24)

    run_service(["e1", "e2", "e3"], body, slots=12, guard=guard)
    return waited_s


@pytest.mark.parametrize("delay_s", [0.05, 0.5, 2.0])
def test_items_of_crashed_engines_are_not_left_lying_beside_idle_engines(delay_s: float) -> None:
    """Guards against a step that runs out of time while its items wait for each other.

    The engines crashed ``delay_s`` after all of their items had started.
    """
    ledger, view = CrashLedger(), FakeView(5)
    guard = make_guard(ledger, services=view)
    assert run_items_of_crashed_engines(guard, ledger, view, delay_s) < 5.0


def test_a_log_line_says_why_an_item_waits(caplog: object) -> None:
    ledger, view = CrashLedger(), FakeView(3)
    request = step(items=1)

    async def body(stage: RunnerStage) -> None:
        record_crash(ledger, request, request.items, name_of(view, "t0"))
        await stage.accept(request)
        await asyncio.sleep(0.3)

    with caplog.at_level("INFO"):  # type: ignore[attr-defined]
        run_service(["e1", "e2"], body, guard=make_guard(ledger, services=view))
    lines = [line for line in caplog.text.splitlines() if "waits=" in line]  # type: ignore[attr-defined]
    assert len(lines) == 1
    assert "item=s1-0 step=s1 waits=few_engines verdict=suspect crashes=1" in lines[0]
    assert "accepting=2 required=3" in lines[0]
