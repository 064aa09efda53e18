"""Usage reports and orders of targets by node processes, including the loss of the holder."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from ..fleets import until
from .nodes import Caller, Nodes, config_document, config_with_keys, job, running_nodes
from .standin_api import ApiStandIn
from .standin_store import StoreStandIn

WINDOW_S = 1
DUE_S = 8
KEYS = {"shop": ["shop-1"], "club": ["club-1"]}
BOUNDS = f"reportWindowS = {WINDOW_S}\nusageLateS = {DUE_S}\nfencingEnforced = true"


@asynccontextmanager
async def nodes_and_api(
    count: int, folder: Path
) -> AsyncIterator[tuple[Nodes, Caller, StoreStandIn, ApiStandIn]]:
    """Start nodes that report usage and order targets."""
    api = ApiStandIn()
    await api.start()
    tables = (
        f'[cloudApi]\naddress = "{api.address}"\nduties = ["usage", "scaling"]\ndutyPerS = 50.0'
    )
    try:
        async with running_nodes(count, folder, bounds=BOUNDS, tables=tables) as parts:
            nodes, caller, store, _targets = parts
            store.put("keyed.op", "config", config_with_keys(2, KEYS))
            yield nodes, caller, store, api
    finally:
        await api.stop()


async def call(caller: Caller, nodes: Nodes, key: str, number: int, expected: Counter[str]) -> None:
    """Send one call with a key, and count it for the key's workspace."""
    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": f"{key}-{number}"}
    host = nodes.hosts[number % len(nodes.hosts)]
    await caller.call("POST", f"/plain/{number}", host=host, headers=headers)
    expected[key.partition("-")[0]] += 1


def reported(api: ApiStandIn) -> Counter[str]:
    total: Counter[str] = Counter()
    for counts in api.reports.values():
        total.update(counts)
    return total


@pytest.mark.parametrize("answers", [[], ["lost", 503, 429]], ids=["no fault", "API away"])
def test_usage_is_reported_correctly_after_loss_of_holder(
    answers: list[str | int], tmp_path: Path
) -> None:
    """Guards against windows that are lost, wrong or reported twice when the holder is killed."""

    async def body() -> None:
        async with nodes_and_api(3, tmp_path) as (nodes, caller, _store, api):
            await wait_for_keys(caller, nodes)
            expected: Counter[str] = Counter()
            for number in range(6):
                await call(caller, nodes, "shop-1", number, expected)
            await call(caller, nodes, "club-1", 99, expected)
            await until(lambda: bool(api.holders))
            api.answers = list(answers)
            holder = api.holders[-1][0].removeprefix("node-")
            # Let nodes write what they have counted; the holder dies before the end of the window.
            await asyncio.sleep(0.3)
            await nodes.kill(holder)
            nodes.hosts.remove(holder)
            for number in range(6, 12):
                await call(caller, nodes, "shop-1", number, expected)
            last = int(time.time() // WINDOW_S)
            async with asyncio.timeout(30.0):
                while last not in api.reports:
                    await asyncio.sleep(0.1)
            assert reported(api) == expected, nodes.logs()
            assert api.violations == []
            assert len({name for name, _fence in api.holders}) == 2

    asyncio.run(body())


async def wait_for_keys(caller: Caller, nodes: Nodes) -> None:
    """Wait until every node has the configuration with keys."""
    for host in nodes.hosts:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    await caller.call("POST", "/open/0", host=host, headers={"X-Request-Id": "o"})
                    break
                except AssertionError:
                    await asyncio.sleep(0.05)


def test_burst_of_items_orders_spot_targets_in_zones_with_a_price(tmp_path: Path) -> None:
    """Guards against missing orders and against orders that the API would reject."""

    async def body() -> None:
        async with nodes_and_api(1, tmp_path) as (nodes, caller, store, api):
            document = config_document()
            scaling = {
                "minimum": 1,
                "maximum": 9,
                "bootTimeS": 4.0,
                "spotPrice": 0.05,
                "zonePrices": {"z": 1.0, "y": 1.0},
            }
            services = list(document["services"])  # type: ignore[call-overload]
            services[0] = {**services[0], "scaling": scaling}
            store.put("keyed.op", "config", {**document, "version": 3, "services": services})
            submit = {"status": 202, "body": job(40), "headers": {"X-Request-Id": "j1"}}
            await caller.call("POST", "/jobs/1", **submit)  # type: ignore[arg-type]
            await until(lambda: bool(api.orders))
            order = dict(api.orders[0])
            # The number depends on how many items exist when the planner first looks.
            assert 1 <= int(str(order.pop("targetGroups"))) <= 4
            assert order == {"service": "engine", "zone": "z", "spot": True}, nodes.logs()
            assert api.violations == []

    asyncio.run(body())
