"""Nodes as real processes over a stand-in of the store: killed together, ended, cut off."""

import asyncio
import gzip
import json
from pathlib import Path

from .nodes import Nodes, job, running_nodes


def text_of(events: int) -> str:
    return "\n".join(f"{number}.{events}" for number in range(1, events + 1))


def test_a_step_is_whole_after_every_node_was_killed_right_after_its_202(tmp_path: Path) -> None:
    """All processes die in the moment in which a trainer is told that its step is kept.

    Hosts have no disks. What the log does not hold by then is lost, and the trainer waits
    for a step that nobody knows.
    """

    async def body() -> None:
        async with running_nodes(3, tmp_path) as (nodes, caller, _store, targets):
            await caller.call(
                "POST", "/jobs/1", want=202, body=job(6), headers={"X-Request-Id": "j1"}
            )
            await nodes.kill_all()
            await nodes.start()
            rows = await read_all(nodes, caller, 6)
            assert {row["id"] for row in rows} == {f"i{n}" for n in range(6)}
            assert {row["state"] for row in rows} == {"completed"}
            assert {row["text"] for row in rows} == {text_of(8)}
            assert all(row["score"] == f"p-1.r{row['id'][1:]}" for row in rows)
            assert all(row["versions"] == [1] for row in rows)
            for host in nodes.hosts:
                await read_same(caller, host, rows)
            assert targets[0].runs
            body_bytes = await caller.call("GET", "/v1/items/j1?id=i3", host=nodes.hosts[2])
            assert body_bytes == b"prompt"

    asyncio.run(body())


async def read_all(nodes: Nodes, caller: object, items: int) -> list[dict[str, object]]:
    """Read a job in turn at every node until all results are listed."""
    rows: list[dict[str, object]] = []
    turn = 0
    async with asyncio.timeout(30.0):
        while len(rows) < items:
            host = nodes.hosts[turn % len(nodes.hosts)]
            turn += 1
            page = json.loads(
                await caller.call(  # type: ignore[attr-defined]
                    "GET", f"/v1/lots/j1?after={len(rows)}", host=host, headers={"X-Wait-Ms": "200"}
                )
            )
            assert page["total"] == items
            rows.extend(page["results"])
            assert page["nextToken"] == len(rows)
    return rows


async def read_same(caller: object, host: str, rows: list[dict[str, object]]) -> None:
    """Read a job from its start at a node until it has all results, each where it was before."""
    seen: list[dict[str, object]] = []
    async with asyncio.timeout(30.0):
        while len(seen) < len(rows):
            page = json.loads(await caller.call("GET", "/v1/lots/j1?after=0", host=host))  # type: ignore[attr-defined]
            seen = page["results"]
            assert seen == rows[: len(seen)]


def test_a_job_is_kept_once_however_often_and_wherever_it_is_submitted(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(2, tmp_path) as (nodes, caller, store, _targets):
            submit = {"want": 202, "body": job(2), "headers": {"X-Request-Id": "j1"}}
            await caller.call("POST", "/jobs/1", **submit)  # type: ignore[arg-type]
            store.answers = ["lost"]
            await caller.call("POST", "/jobs/1", host=nodes.hosts[1], **submit)  # type: ignore[arg-type]
            rows = await read_all(nodes, caller, 2)
            assert len({row["id"] for row in rows}) == 2
            for host in nodes.hosts:
                await caller.call("DELETE", "/v1/lots/j1", host=host)
            for host in nodes.hosts:
                await read_same(caller, host, rows)

    asyncio.run(body())


def test_a_call_is_answered_whole_and_an_unknown_route_is_denied(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(1, tmp_path) as (_nodes, caller, _store, _targets):
            headers = {"X-Request-Id": "q1", "X-Deadline-Ms": "5000"}
            answer = await caller.call("POST", "/plain/1?x=%2F", body=b"quote", headers=headers)
            assert answer == b"answer to q1"
            await caller.call("POST", "/nowhere/", want=404, headers=headers)
            await caller.call("GET", "/v1/lots/unknown", want=404)
            await caller.call("POST", "/jobs/1", want=400, body=b"{", headers=headers)

    asyncio.run(body())


def test_a_node_that_ends_leaves_the_directory_and_cuts_nothing_off(tmp_path: Path) -> None:
    """A host is replaced in planned work while its node answers a slow call.

    Cut off, the caller would not know whether its quote was made.
    """

    async def body() -> None:
        async with running_nodes(2, tmp_path) as (nodes, caller, _store, _targets):
            first, second = nodes.hosts
            query = "/v1/resolve?name=h.example&region=r&zone=z"
            async with asyncio.timeout(30.0):
                while len(await entries(nodes, caller, second, query)) < 2:
                    await asyncio.sleep(0.05)
            await caller.call(
                "POST", "/jobs/1", host=first, want=202, body=job(2), headers={"X-Request-Id": "j1"}
            )
            waiting = asyncio.ensure_future(
                caller.call("GET", "/v1/lots/j1?after=0", host=first, headers={"X-Wait-Ms": "1000"})
            )
            await asyncio.sleep(0.05)
            ended = asyncio.ensure_future(nodes.end(first))
            async with asyncio.timeout(30.0):
                while len(await entries(nodes, caller, second, query)) > 1:
                    await asyncio.sleep(0.05)
            assert json.loads(await waiting)["total"] == 2
            assert await ended == 0
            page = json.loads(await caller.call("GET", "/v1/lots/j1?after=0", host=second))
            assert page["total"] == 2

    asyncio.run(body())


async def entries(nodes: Nodes, caller: object, host: str, query: str) -> list[str]:
    body = await caller.call("GET", query, host=host, port=nodes.directory)  # type: ignore[attr-defined]
    addresses: list[str] = json.loads(body)["addresses"]
    return addresses


def test_without_the_store_what_is_known_is_served_and_nothing_is_promised(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(1, tmp_path) as (_nodes, caller, store, _targets):
            headers = {"X-Request-Id": "j1"}
            await caller.call("POST", "/jobs/1", want=202, body=job(2), headers=headers)
            store.error_status = 503
            await caller.call("GET", "/v1/lots/unknown", want=503)
            await caller.call(
                "POST", "/jobs/2", want=503, body=job(2), headers={"X-Request-Id": "j2"}
            )
            answer = await caller.call("POST", "/plain/1", headers={"X-Request-Id": "q1"})
            assert answer == b"answer to q1"
            await caller.call("POST", "/jobs/1", want=202, body=job(2), headers=headers)
            store.error_status = 0
            await caller.call(
                "POST", "/jobs/2", want=202, body=job(2), headers={"X-Request-Id": "j2"}
            )

    asyncio.run(body())


def test_a_large_and_encoded_body_reaches_its_target_unchanged(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(1, tmp_path) as (_nodes, caller, _store, targets):
            content = bytes(range(256)) * 12_000
            headers = {"X-Request-Id": "q1", "Content-Encoding": "gzip"}
            packed = gzip.compress(content, compresslevel=0)
            await caller.call("POST", "/plain/1", body=packed, headers=headers)
            assert targets[1].seen[-1][3] == content

    asyncio.run(body())


def test_nodes_whose_seeds_are_all_dead_find_each_other_through_the_log(tmp_path: Path) -> None:
    """The hosts that a new node's settings name were replaced since.

    Alone, it would offer only itself to callers and run every step a second time.
    """

    async def body() -> None:
        async with running_nodes(2, tmp_path, seeds=["127.95.95.95"]) as (nodes, caller, _s, _t):
            query = "/v1/resolve?name=h.example&region=r&zone=z"
            async with asyncio.timeout(30.0):
                for host in nodes.hosts:
                    while len(await entries(nodes, caller, host, query)) < 2:
                        await asyncio.sleep(0.05)

    asyncio.run(body())


def test_settings_that_change_for_the_worse_leave_the_old_in_force(tmp_path: Path) -> None:
    async def body() -> None:
        async with running_nodes(1, tmp_path) as (nodes, caller, _store, _targets):
            headers = {"X-Request-Id": "q1"}
            await caller.call("POST", "/plain/1", headers=headers)
            host = nodes.hosts[0]
            nodes.write_settings(host, "nodeName = 5")
            async with asyncio.timeout(30.0):
                while "settings kept" not in nodes.logs():
                    await asyncio.sleep(0.05)
            nodes.write_settings(host, nodes.settings(host))
            async with asyncio.timeout(30.0):
                while "settings read again" not in nodes.logs():
                    await asyncio.sleep(0.05)
            await caller.call("POST", "/plain/2", headers=headers)

    asyncio.run(body())
