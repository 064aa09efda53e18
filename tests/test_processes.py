"""End to end with node processes of their own: killed, drained, stopped and woken.

The stand-ins and the load live in the test's process; their ledgers and receipts
are compared as `samphirecleat try` does it.
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
NOT_SEEN_FROM_OUTSIDE = ("config_reverted", "config_late", "work_to_leaving_after_3s")


class NodeProcess:
    """One `samphirecleat node` as a process."""

    def __init__(self, process: asyncio.subprocess.Process, lifetime: NodeLifetime) -> None:
        self.process = process
        self.lifetime = lifetime

    @property
    def address(self) -> str:
        """Where callers reach it."""
        return self.lifetime.http_address

    def send(self, signal_number: int) -> None:
        """Send a signal to this process alone."""
        os.kill(self.process.pid, signal_number)

    async def wait(self) -> int:
        """Return its exit code once it has ended."""
        code = await asyncio.wait_for(self.process.wait(), WAIT_S)
        self.lifetime.ended_at_s = time.monotonic()
        return code


class ProcessFleet(Fleet):
    """The stand-ins of a deployment in this process, and nodes in their own."""

    def __init__(self, directory: Path) -> None:
        super().__init__(DEPLOYMENTS["los-aromos"], node_count=0, seed=1)
        self.directory = directory
        self.processes: list[NodeProcess] = []

    @property
    def bootstrap(self) -> Sequence[str]:
        """The addresses of all nodes that were started."""
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
        """End every node that still runs."""
        for node in self.processes:
            if node.process.returncode is None:
                node.send(signal.SIGKILL)
                await node.wait()

    def find(self, node_id: str) -> NodeProcess:
        """Return a node by its id."""
        return next(node for node in self.processes if node.lifetime.node_id == node_id)


async def until(condition: Callable[[], Awaitable[bool]], what: str) -> None:
    """Wait until a condition holds, and fail when it does not for too long."""
    give_up_at_s = time.monotonic() + WAIT_S
    while not await condition():
        assert time.monotonic() < give_up_at_s, what
        await asyncio.sleep(0.05)


async def read_report(session: aiohttp.ClientSession, address: str) -> dict:
    try:
        async with session.get(f"http://{address}/v1/report") as response:
            return (await response.json())["nodes"]
    except (aiohttp.ClientError, OSError):
        return {}


@asynccontextmanager
async def running_fleet(directory: Path) -> AsyncIterator[tuple[ProcessFleet, Workload]]:
    """Yield three nodes that know each other and all targets, with their load."""
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


def check(fleet: ProcessFleet, workload: Workload) -> dict:
    verdicts = dict(check_promises(fleet, workload.receipts, FleetMonitor(fleet)))
    for name in NOT_SEEN_FROM_OUTSIDE:
        del verdicts[name]
    broken = {name: verdict for name, verdict in verdicts.items() if verdict.broken}
    assert broken == {}
    return verdicts


def test_one_node_is_killed_in_mid_step_and_one_is_drained(tmp_path: Path) -> None:
    """The node that works on a step dies, and then another is told to shut down.

    The trainer still gets every sample once, from the node that is left; no
    caller whose request is in flight at the second one loses its answer.
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
            return check(fleet, workload)

    verdicts = asyncio.run(run())
    assert all(verdict.checked for name, verdict in verdicts.items() if name != "not_run_but_ran")


async def wait_for_owner(
    session: aiohttp.ClientSession, fleet: ProcessFleet, workload: Workload
) -> NodeProcess:
    """Return the node that works on a step of which a part has been delivered."""
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
    """Wait until the node has just answered something, so that more is in flight there."""
    seen = len(workload.receipts.exchanges)

    async def busy() -> bool:
        return any(e.address == node.address for e in workload.receipts.exchanges[seen:])

    await until(busy, "no exchange with the node that is to be drained")


def test_the_lease_holder_is_stopped_past_its_lease_and_woken(tmp_path: Path) -> None:
    """The process that coordinates the weights stands still until others took over.

    When it goes on, it believes that it holds the lease. No engine may take an
    order of its old epoch after one of the new, and no promise may suffer.
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
                await until(lambda: has_order(fleet, taken_over_at_s), "the new one did not order")
            finally:
                node.send(signal.SIGCONT)
            woken_at_s = time.monotonic()
            await until(lambda: has_order(fleet, woken_at_s), "no order after it woke up")
            workload.stop()
            await load
            check(fleet, workload)
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
    """Only refused orders may have come with a number below the highest before them."""
    for engine in fleet.engines:
        numbers = [order["fencing"] for order in engine.orders]
        lower = [n for index, n in enumerate(numbers) if n < max(numbers[: index + 1])]
        assert len(lower) == engine.refused_orders
