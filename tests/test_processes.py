"""End-to-end tests with nodes in separate processes that are killed, drained or stopped.

The stand-ins and the load generator run in the test process. Their records are checked as
in `samphirecleat try`.
"""

import asyncio
import json
import math
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from samphirecleat.trial import DEPLOYMENTS
from samphirecleat.trial._checks import check_promises
from samphirecleat.trial._fleet import TRIAL_TIMINGS, Fleet
from samphirecleat.trial._fleet_monitor import FleetMonitor
from samphirecleat.trial._records import NodeLifetime
from samphirecleat.trial._workload import Workload

WAIT_S = 30.0
STEPS_AFTER = 2
UNOBSERVABLE_PROMISES = ("config_reverted", "config_late", "work_to_leaving_after_3s")


class NodeProcess:
    """A `samphirecleat node` process."""

    def __init__(self, process: asyncio.subprocess.Process, lifetime: NodeLifetime) -> None:
        self.process = process
        self.lifetime = lifetime

    @property
    def address(self) -> str:
        """The address that callers use."""
        return self.lifetime.http_address

    def send(self, signal_number: int) -> None:
        """Send a signal to this process only."""
        os.kill(self.process.pid, signal_number)

    async def wait(self) -> int:
        """Wait for the process to end and return its exit code."""
        code = await asyncio.wait_for(self.process.wait(), WAIT_S)
        self.lifetime.ended_at_s = time.monotonic()
        return code


class ProcessFleet(Fleet):
    """Stand-ins of a deployment in this process, with nodes in separate processes."""

    def __init__(self, directory: Path) -> None:
        super().__init__(DEPLOYMENTS["los-aromos"], node_count=0, seed=1)
        self.directory = directory
        self.processes: list[NodeProcess] = []

    @property
    def bootstrap(self) -> Sequence[str]:
        """The addresses of all started nodes."""
        return [process.address for process in self.processes]

    async def start_process(self, node_id: str, zone: str, seeds: Sequence[str]) -> str:
        """Start a node and return its peer address."""
        http_address, peer_address = self._addresses.take(), self._addresses.take()
        settings = {
            "node_id": node_id,
            "zone": zone,
            "http_address": http_address,
            "peer_address": peer_address,
            "shared_key": self.shared_key,
            "log_url": self.log.url,
            "weight_store_url": self.store.url,
            "host_list_url": self.host_list.url,
            "seeds": list(seeds),
            "log_level": "warning",
            "timings": TRIAL_TIMINGS._asdict(),
        }
        path = self.directory / f"{node_id}.json"
        path.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "samphirecleat", "node", "--settings", str(path)
        )
        lifetime = NodeLifetime(node_id, "", http_address, time.monotonic())
        self.node_lifetimes.append(lifetime)
        self.processes.append(NodeProcess(process, lifetime))
        return peer_address

    async def end_processes(self) -> None:
        """Kill every node that is still running."""
        for node in self.processes:
            if node.process.returncode is None:
                node.send(signal.SIGKILL)
                await node.wait()

    def find(self, node_id: str) -> NodeProcess:
        """Return the node with the id ``node_id``."""
        return next(node for node in self.processes if node.lifetime.node_id == node_id)


async def until(condition: Callable[[], Awaitable[bool]], message: str) -> None:
    """Wait until a condition holds; fail with ``message`` after ``WAIT_S`` seconds."""
    give_up_at_s = time.monotonic() + WAIT_S
    while not await condition():
        assert time.monotonic() < give_up_at_s, message
        await asyncio.sleep(0.05)


async def read_report(session: aiohttp.ClientSession, address: str) -> dict:
    try:
        async with session.get(f"http://{address}/v1/report") as response:
            return (await response.json())["nodes"]
    except (aiohttp.ClientError, OSError):
        return {}


@asynccontextmanager
async def running_fleet(directory: Path) -> AsyncIterator[tuple[ProcessFleet, Workload]]:
    """Start three nodes, wait until they see each other and all targets, and yield them."""
    fleet = ProcessFleet(directory)
    await fleet.start()
    try:
        seeds: list[str] = []
        for index, zone in enumerate(fleet.shape.zones):
            seeds.append(await fleet.start_process(f"n{index + 1}", zone, seeds))
        async with aiohttp.ClientSession() as session:

            async def ready() -> bool:
                reports = [await read_report(session, address) for address in fleet.bootstrap]
                return all(_is_ready(report, fleet) for report in reports)

            await until(ready, "the nodes did not become ready")
        yield fleet, Workload(fleet, seed=1)
    finally:
        await fleet.end_processes()
        await fleet.stop()


def _is_ready(report: dict, fleet: ProcessFleet) -> bool:
    usable = [
        sum(1 for target in node.get("targets", {}).values() if target["reachable"])
        for node in report.values()
    ]
    return usable == [len(fleet.targets)] * 3


def check_all_promises(fleet: ProcessFleet, workload: Workload) -> dict:
    verdicts = dict(check_promises(fleet, workload.receipts, FleetMonitor(fleet)))
    for name in UNOBSERVABLE_PROMISES:
        del verdicts[name]
    broken = {name: verdict for name, verdict in verdicts.items() if verdict.broken}
    assert broken == {}
    return verdicts


def test_step_survives_a_killed_and_a_drained_node(tmp_path: Path) -> None:
    """The node that runs a step is killed, then another node is drained.

    The trainer must still get every sample once, from the remaining node, and no caller
    with a request in flight at the drained node may lose its answer.
    """

    async def run() -> dict:
        async with running_fleet(tmp_path) as (fleet, workload):
            load = asyncio.create_task(workload.run(math.inf))
            async with aiohttp.ClientSession() as session:
                owner = await wait_for_owner(session, fleet, workload)
                owner.send(signal.SIGKILL)
                assert await owner.wait() == -signal.SIGKILL
            drained = next(n for n in fleet.processes if n.process.returncode is None)
            await until_in_flight(workload, drained)
            drained.lifetime.drain_started_at_s = time.monotonic()
            drained.send(signal.SIGTERM)
            assert await drained.wait() == 0
            steps_before = len(workload.receipts.steps)
            await until(lambda: has_steps(workload, steps_before + STEPS_AFTER), "no more steps")
            workload.stop()
            await load
            assert all(step.whole for step in workload.receipts.steps)
            return check_all_promises(fleet, workload)

    verdicts = asyncio.run(run())
    assert all(verdict.checked for name, verdict in verdicts.items() if name != "not_run_but_ran")


async def wait_for_owner(
    session: aiohttp.ClientSession, fleet: ProcessFleet, workload: Workload
) -> NodeProcess:
    """Return the node that runs a step of which some samples were delivered."""
    found: list[str] = []

    async def mid_step() -> bool:
        report = await read_report(session, fleet.bootstrap[0])
        for node_id, own in report.items():
            for step in own.get("steps", ()):
                if 0 < step["held"] < step["size"]:
                    found.append(node_id)
        return bool(found)

    await until(mid_step, "no step was seen in progress")
    return fleet.find(found[0])


async def until_in_flight(workload: Workload, node: NodeProcess) -> None:
    """Wait until the node answers a request, which means that others are in flight."""
    seen = len(workload.receipts.exchanges)

    async def busy() -> bool:
        return any(e.address == node.address for e in workload.receipts.exchanges[seen:])

    await until(busy, "no exchange with the node to be drained")


def test_lease_holder_is_suspended_past_its_lease_and_resumed(tmp_path: Path) -> None:
    """The lease holder for weight coordination is stopped until another node takes over.

    When it resumes, it still believes that it holds the lease. No engine may accept an
    order with its old fencing number after one with the new number, and all promises
    must hold.
    """

    async def run() -> None:
        async with running_fleet(tmp_path) as (fleet, workload):
            load = asyncio.create_task(workload.run(math.inf))
            await until(lambda: has_order(fleet, -math.inf), "no order was given")
            holder = lease_holder(fleet)
            node = fleet.find(holder.split(".")[0])
            node.send(signal.SIGSTOP)
            try:
                await until(lambda: other_holder(fleet, holder), "no other node took over")
                taken_over_at_s = time.monotonic()
                await until(
                    lambda: has_order(fleet, taken_over_at_s), "the new holder gave no order"
                )
            finally:
                node.send(signal.SIGCONT)
            resumed_at_s = time.monotonic()
            await until(
                lambda: has_order(fleet, resumed_at_s), "no order after the old holder resumed"
            )
            workload.stop()
            await load
            check_all_promises(fleet, workload)
            check_fencing(fleet)
            assert node.process.returncode is None

    asyncio.run(run())


async def has_steps(workload: Workload, count: int) -> bool:
    return len(workload.receipts.steps) >= count


def lease_holder(fleet: ProcessFleet) -> str:
    claims = [a.payload for a in fleet.log.appends if a.payload.get("type") == "claim"]
    return claims[-1]["holder"] if claims else ""


async def other_holder(fleet: ProcessFleet, holder: str) -> bool:
    return lease_holder(fleet) not in ("", holder)


async def has_order(fleet: ProcessFleet, after_s: float) -> bool:
    return any(order["at_s"] > after_s for engine in fleet.engines for order in engine.orders)


def check_fencing(fleet: ProcessFleet) -> None:
    """Check that every order with a fencing number below an earlier one was refused."""
    for engine in fleet.engines:
        numbers = [order["fencing"] for order in engine.orders]
        outdated = [n for index, n in enumerate(numbers) if n < max(numbers[: index + 1])]
        assert len(outdated) == engine.refused_orders
