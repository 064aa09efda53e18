"""Items that may crash the engines of a small service."""

import asyncio

from samphirecleat.crashes import CrashedRun, CrashLedger, request_digest

from ..crashes.guards import make_guard
from ..crashes.test_crashed_services import FakeView, name_of
from .runner_stage import RunnerStage, run_service
from .steps import step


def test_suspect_items_run_one_at_a_time_and_only_beside_two_engines() -> None:
    """Guards against items that crash the engines of a small service one after the other.

    The node is an heir: it knows of the crash from the node that held the duty before.
    """
    ledger, view = CrashLedger(), FakeView(3)
    guard = make_guard(ledger, services=view)
    request = step(items=4)
    suspects = [item.item_id for item in request.items[:3]]

    async def body(stage: RunnerStage) -> None:
        now_s = asyncio.get_running_loop().time()
        for item in request.items[:3]:
            owner = f"{request.workspace}/{item.item_id}"
            digest = request_digest("POST", request.host, item.raw_path, owner, item.body)
            run = CrashedRun(name_of(view, "t0"), now_s - 0.2, now_s - 0.1, "lost")
            ledger.record_crash(digest, run, now_s)
        await stage.accept(request)
        await stage.wait_until_listed(1)
        await asyncio.sleep(0.1)
        assert not any(stage.engines.engines_of(item_id) for item_id in suspects)
        view.starts["t0"] += 1
        while len(stage.results()) < 4:
            assert sum(item_id in suspects for _step, item_id in stage.work.runs) <= 1
            await asyncio.sleep(0.001)

    assert all(run_service(["e1", "e2", "e3"], body, guard=guard).results().values())
