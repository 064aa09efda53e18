"""API keys and workspaces at node processes: calls, steps, added and revoked keys."""

import asyncio
import json
from pathlib import Path

import pytest

from ..fleets import until
from .nodes import Caller, Nodes, config_with_keys, job, running_nodes
from .standin_store import StoreStandIn

KEYS = {"shop": ["shop-1", "shop-2"], "club": ["club-1"]}


def bearer(key: str, request_id: str = "q1") -> dict[str, str]:
    return {"Authorization": f"Bearer {key}", "X-Request-Id": request_id}


async def put_keys(
    nodes: Nodes, caller: Caller, store: StoreStandIn, version: int, keys: dict[str, list[str]]
) -> None:
    """Write a configuration, and wait until every node accepts a key that is new in it."""
    probe_key = f"mark-{version}"
    store.put("keyed.op", "config", config_with_keys(version, {**keys, "mark": [probe_key]}))
    for host in nodes.hosts:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    await caller.call(
                        "POST", "/plain/0", host=host, headers=bearer(probe_key, probe_key)
                    )
                    break
                except AssertionError:
                    await asyncio.sleep(0.05)


def seen_headers(target: object, request_id: str) -> dict[str, str]:
    """Return the headers that a target received with a request, with lower-case names."""
    for _method, _path, headers, _body in reversed(target.seen):  # type: ignore[attr-defined]
        lower = {name.lower(): value for name, value in headers.items()}
        if lower.get("x-request-id") == request_id:
            return lower
    raise AssertionError(f"{request_id} was not seen")


def test_target_receives_workspace_but_never_key(tmp_path: Path) -> None:
    """Guards against keys that leak to targets, and callers that choose their own workspace."""

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
            await caller.call("POST", "/plain/1", status=401, headers=bearer("nobody", "q3"))
            await caller.call("POST", "/plain/1", status=401, headers={"X-Request-Id": "q4"})
            assert "q3" not in targets[1].runs
            assert "q4" not in targets[1].runs
            logs = nodes.logs()
            assert "nobody" not in logs
            assert "shop-1" not in logs

    asyncio.run(body())


def test_step_belongs_to_its_workspace_and_outlives_revoked_key(tmp_path: Path) -> None:
    """Guards against a step that ends when its key is revoked, or that other workspaces can see."""

    async def body() -> None:
        async with running_nodes(2, tmp_path) as (nodes, caller, store, targets):
            await put_keys(nodes, caller, store, 2, KEYS)
            await caller.call(
                "POST", "/jobs/1", status=202, body=job(4), headers=bearer("shop-1", "j1")
            )
            await put_keys(nodes, caller, store, 3, {**KEYS, "shop": ["shop-2"]})
            calls = [("GET", "/v1/lots/j1?after=0"), ("GET", "/v1/items/j1?id=i0")]
            for method, path in [*calls, ("DELETE", "/v1/lots/j1")]:
                for host in nodes.hosts:
                    for headers, status in (
                        (bearer("shop-1"), 401),
                        ({}, 401),
                        (bearer("club-1"), 404),
                    ):
                        await caller.call(method, path, host=host, status=status, headers=headers)
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
            # The same id in another workspace is another step, which conflicts with the first.
            await caller.call(
                "POST", "/jobs/1", status=409, body=job(4), headers=bearer("club-1", "j1")
            )
            await caller.call("DELETE", "/v1/lots/j1", headers=bearer("shop-2"))

    asyncio.run(body())


@pytest.mark.parametrize("fails_closed", [False, True])
def test_keys_during_store_outage(fails_closed: bool, tmp_path: Path) -> None:
    """Guards against keys that fail with the store, or work longer than the operator allows."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, _targets):
            host = nodes.hosts[0]
            await put_keys(nodes, caller, store, 2, KEYS)
            await nodes.kill(host)
            flag = str(fails_closed).lower()
            nodes.extra_bounds = f"revokeFailClosed = {flag}\nrevocationMs = 1500"
            await nodes.start_one(host)
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))
            store.error_status = 503
            await asyncio.sleep(2.0)
            status = 503 if fails_closed else 200
            await caller.call("POST", "/plain/1", status=status, headers=bearer("shop-1"))
            await caller.call("POST", "/plain/1", status=503, headers=bearer("unheard-of"))
            store.error_status = 0
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))
            await caller.call("POST", "/plain/1", status=401, headers=bearer("unheard-of"))

    asyncio.run(body())


@pytest.mark.known_red
def test_changed_settings_apply_to_keys_without_restart(tmp_path: Path) -> None:
    """Guards against settings for key revocation that apply only after a restart."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, _targets):
            host = nodes.hosts[0]
            await put_keys(nodes, caller, store, 2, KEYS)
            nodes.extra_bounds = "revokeFailClosed = true\nrevocationMs = 700"
            nodes.write_settings(host, nodes.settings(host))
            await asyncio.sleep(0.5)
            store.error_status = 503
            await asyncio.sleep(1.2)
            await caller.call("POST", "/plain/1", status=503, headers=bearer("shop-1"))
            store.error_status = 0
            await caller.call("POST", "/plain/1", headers=bearer("shop-1"))

    asyncio.run(body())


def test_items_of_an_anonymous_job_name_no_workspace_at_the_engine(tmp_path: Path) -> None:
    """Guards against an anonymous caller whose items run in the name of another workspace."""

    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, store, targets):
            await put_keys(nodes, caller, store, 2, KEYS)
            document = config_with_keys(3, KEYS)
            routes = document["routes"]
            for route in routes:  # type: ignore[attr-defined]
                route["allowAnonymous"] = True
            store.put("keyed.op", "config", document)
            await until(lambda: "revision=3 in force" in nodes.logs())
            rows = json.loads(job(2))
            for item in rows["items"]:
                item["headers"] |= {"X-Tenant": "club", "authorization": "Bearer club-1"}
            headers = {"X-Request-Id": "j1"}
            body_bytes = json.dumps(rows).encode()
            await caller.call("POST", "/jobs/1", status=202, body=body_bytes, headers=headers)
            await until(lambda: targets[0].runs["i1"] > 0)
            seen = seen_headers(targets[0], "i1")
            assert not {"x-tenant", "authorization"} & seen.keys()
            assert seen["x-model"] == "m"

    asyncio.run(body())
