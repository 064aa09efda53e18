"""Keys and workspaces at real nodes: calls, steps, and keys that come and go."""

import asyncio
import json
from pathlib import Path

import pytest

from .nodes import Caller, Nodes, config_with_keys, job, running_nodes
from .standin_store import StoreStandIn

KEYS = {"shop": ["shop-1", "shop-2"], "club": ["club-1"]}


def bearer(key: str, request_id: str = "q1") -> dict[str, str]:
    return {"Authorization": f"Bearer {key}", "X-Request-Id": request_id}


async def put_keys(
    nodes: Nodes, caller: Caller, store: StoreStandIn, version: int, keys: dict[str, list[str]]
) -> None:
    """Put a configuration into force at every node: its own new key is known there."""
    mark = f"mark-{version}"
    store.put("keyed.op", "config", config_with_keys(version, {**keys, "mark": [mark]}))
    for host in nodes.hosts:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    await caller.call("POST", "/plain/0", host=host, headers=bearer(mark, mark))
                    break
                except AssertionError:
                    await asyncio.sleep(0.05)


def seen_headers(target: object, request_id: str) -> dict[str, str]:
    """Return the headers with which a request reached a target, names in lower case."""
    for _method, _path, headers, _body in reversed(target.seen):  # type: ignore[attr-defined]
        lower = {name.lower(): value for name, value in headers.items()}
        if lower.get("x-request-id") == request_id:
            return lower
    raise AssertionError(f"{request_id} was not seen")


def test_a_target_learns_the_workspace_and_never_the_key(tmp_path: Path) -> None:
    """Guards against a key that leaks to targets, and a caller that names its own workspace."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, targets):
            await put_keys(nodes, caller, store, 2, KEYS)
            forged = {"X-Tenant": "club", "x-tenant": "club", "Connection": "X-Tenant"}
            headers = {**bearer("shop-1", "q1"), **forged}
            await caller.call("POST", "/plain/1", headers=headers)
            await caller.call("POST", "/open/1", headers={"X-Request-Id": "q2", "X-Tenant": "club"})
            first, second = seen_headers(targets[1], "q1"), seen_headers(targets[1], "q2")
            assert first["x-tenant"] == "shop"
            assert "x-tenant" not in second
            assert not {"authorization"} & (first.keys() | second.keys())
            await caller.call("POST", "/plain/1", want=401, headers=bearer("nobody", "q3"))
            await caller.call("POST", "/plain/1", want=401, headers={"X-Request-Id": "q4"})
            assert "q3" not in targets[1].runs
            assert "q4" not in targets[1].runs
            logs = nodes.logs()
            assert "nobody" not in logs
            assert "shop-1" not in logs

    asyncio.run(body())


def test_a_step_belongs_to_its_workspace_and_outlives_the_key(tmp_path: Path) -> None:
    """Guards against a step that ends with its key, or that another workspace can see."""

    async def body() -> None:
        async with running_nodes(2, tmp_path) as (nodes, caller, store, targets):
            await put_keys(nodes, caller, store, 2, KEYS)
            await caller.call(
                "POST", "/jobs/1", want=202, body=job(4), headers=bearer("shop-1", "j1")
            )
            await put_keys(nodes, caller, store, 3, {**KEYS, "shop": ["shop-2"]})
            calls = [("GET", "/v1/lots/j1?after=0"), ("GET", "/v1/items/j1?id=i0")]
            for method, path in [*calls, ("DELETE", "/v1/lots/j1")]:
                for host in nodes.hosts:
                    for headers, want in (
                        (bearer("shop-1"), 401),
                        ({}, 401),
                        (bearer("club-1"), 404),
                    ):
                        await caller.call(method, path, host=host, want=want, headers=headers)
            rows: list[object] = []
            async with asyncio.timeout(30.0):
                while len(rows) < 4:
                    page = await caller.call(
                        "GET", f"/v1/lots/j1?after={len(rows)}", headers=bearer("shop-2")
                    )
                    rows.extend(json.loads(page)["results"])
            for number in range(4):
                item = seen_headers(targets[0], f"i{number}")
                reward = seen_headers(targets[1], f"r{number}")
                assert item["x-tenant"] == "shop"
                assert "x-tenant" not in reward
                assert not {"authorization"} & (item.keys() | reward.keys())
            # The same id of another workspace is another step, which this node can't keep.
            await caller.call(
                "POST", "/jobs/1", want=409, body=job(4), headers=bearer("club-1", "j1")
            )
            await caller.call("DELETE", "/v1/lots/j1", headers=bearer("shop-2"))

    asyncio.run(body())


@pytest.mark.parametrize("fails_closed", [False, True])
def test_keys_while_the_store_is_away(fails_closed: bool, tmp_path: Path) -> None:
    """Guards against keys that end with the store, or outlive what the operator allows."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, _targets):
            host = nodes.hosts[0]
            await put_keys(nodes, caller, store, 2, KEYS)
            await nodes.kill(host)
            flag = str(fails_closed).lower()
            nodes.more_bounds = f"revokeFailClosed = {flag}\nrevocationMs = 1500"
            await nodes.start_one(host)
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))
            store.error_status = 503
            await asyncio.sleep(2.0)
            want = 503 if fails_closed else 200
            await caller.call("POST", "/plain/1", want=want, headers=bearer("shop-1"))
            await caller.call("POST", "/plain/1", want=503, headers=bearer("unheard-of"))
            store.error_status = 0
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))
            await caller.call("POST", "/plain/1", want=401, headers=bearer("unheard-of"))

    asyncio.run(body())


def test_settings_that_change_bound_keys_from_then_on(tmp_path: Path) -> None:
    """Guards against a bound on keys that holds only after the next start."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, _targets):
            host = nodes.hosts[0]
            await put_keys(nodes, caller, store, 2, KEYS)
            nodes.more_bounds = "revokeFailClosed = true\nrevocationMs = 700"
            nodes.write_settings(host, nodes.settings(host))
            await asyncio.sleep(0.5)
            store.error_status = 503
            await asyncio.sleep(1.2)
            await caller.call("POST", "/plain/1", want=503, headers=bearer("shop-1"))
            store.error_status = 0
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))

    asyncio.run(body())
