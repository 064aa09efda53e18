"""Requests that crash the targets that run them, resent with new ids at other nodes."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import pytest

from .nodes import Caller, Nodes, config_document, config_with_keys, running_nodes
from .standin_crashing import CrashingTarget, crashing_targets

# Time within which every connected node learns of a crash.
GOSSIP_S = 3.0
# Crashes that are needed before a request is refused, and the most that retries may add.
CRASH_LIMIT = 3
MAX_LATER_CRASHES = 3
GATEWAY_ERRORS = (502, 503, 504)
CRASH_PATH = "/plain/poison"
BODY = b"the same body"


async def send(
    session: aiohttp.ClientSession,
    nodes: Nodes,
    number: int,
    *,
    path: str = CRASH_PATH,
    key: str = "",
) -> int:
    """Send the same request with a new id to the nodes in turn; return the status."""
    host = nodes.hosts[number % len(nodes.hosts)]
    headers = {"Host": "h.example", "X-Request-Id": f"again-{number}", "X-Deadline-Ms": "2000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    url = f"http://{host}:{nodes.front}{path}"
    async with session.post(url, data=BODY, headers=headers) as response:
        await response.read()
        return response.status


async def await_ready(nodes: Nodes, caller: Caller) -> None:
    """Wait until every node serves."""
    for host in nodes.hosts:
        await caller.call("POST", "/plain/1", host=host, headers={"X-Request-Id": f"r-{host}"})


def crash_count(targets: Sequence[CrashingTarget]) -> int:
    """Return how often the request crashed a target."""
    return sum(len(target.crash_request_ids) for target in targets)


def slow_call_count(targets: Sequence[CrashingTarget]) -> int:
    """Return how many slow calls targets have started since the counters were reset."""
    return sum(target.slow_calls for target in targets)


async def crash_targets(
    session: aiohttp.ClientSession,
    nodes: Nodes,
    targets: Sequence[CrashingTarget],
    *,
    path: str = CRASH_PATH,
    key: str = "",
) -> None:
    """Send until three targets have crashed, and wait until every connected node knows."""
    number = 0
    async with asyncio.timeout(30.0):
        while crash_count(targets) < CRASH_LIMIT:
            await send(session, nodes, number, path=path, key=key)
            number += 1
            await asyncio.sleep(0.1)
    await asyncio.sleep(GOSSIP_S)


def test_request_that_crashed_three_targets_reaches_at_most_three_more(tmp_path: Path) -> None:
    """A request crashes each target that starts it, and its caller resends it at every node.

    Guards against a limit per sending: each sending crashed as many targets as its route allows
    attempts, so a service lost all its targets each time, and every other caller its response.
    """

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, CRASH_PATH) as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            await crash_targets(session, nodes, targets)
            before = crash_count(targets)
            for number in range(100, 112):
                await send(session, nodes, number)
                await asyncio.sleep(0.2)
            assert crash_count(targets) - before <= MAX_LATER_CRASHES, nodes.logs()

    asyncio.run(body())


def test_request_leaves_a_service_of_three_two_targets(tmp_path: Path) -> None:
    """The caller resends a request that crashes targets to other nodes, 20 ms after each error.

    Guards against a small service that loses all targets before heartbeats report the first crash.
    """

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 3, CRASH_PATH) as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            for number in range(8):
                assert await send(session, nodes, number) in GATEWAY_ERRORS
                await asyncio.sleep(0.02)
            assert crash_count(targets) <= 2, nodes.logs()
            assert min(target.least_up for target in targets) == 2, nodes.logs()
            answer = await caller.call("POST", "/plain/1", headers={"X-Request-Id": "after"})
            assert answer == b"answer to after"

    asyncio.run(body())


def test_refused_request_stays_refused_after_all_nodes_restart(tmp_path: Path) -> None:
    """All nodes restart, and none of them has seen a target crash.

    Guards against crashes that are kept in memory only: after each restart the request would crash
    targets again as if it were new.
    """

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, CRASH_PATH) as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            await crash_targets(session, nodes, targets)
            before = crash_count(targets)
            for _ in range(2):
                await nodes.kill_all()
                await nodes.start()
                await await_ready(nodes, caller)
                for number in range(200, 206):
                    await send(session, nodes, number)
            assert crash_count(targets) - before <= MAX_LATER_CRASHES, nodes.logs()

    asyncio.run(body())


def test_crashes_seen_by_different_nodes_are_counted_together(tmp_path: Path) -> None:
    """Each sending of a non-idempotent request, at another node each time, crashes one target."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, "/once/poison") as targets,
            aiohttp.ClientSession() as session,
        ):
            store.put("keyed.op", "config", config_with_non_idempotent_route())
            await await_ready(nodes, caller)
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"o-{host}"}
                await caller.call("POST", "/once/1", host=host, headers=headers)
            await crash_targets(session, nodes, targets, path="/once/poison")
            before = crash_count(targets)
            for number in range(100, 109):
                status = await send(session, nodes, number, path="/once/poison")
                assert status in GATEWAY_ERRORS
            assert crash_count(targets) - before <= MAX_LATER_CRASHES, nodes.logs()

    asyncio.run(body())


@pytest.mark.parametrize("path", ["/run/poison", "/run/once/poison"])
def test_stream_that_crashed_engines_is_opened_at_most_at_three_more(
    tmp_path: Path, path: str
) -> None:
    """A broken stream resumes at another engine, and its caller sends it again."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, path, service="engine") as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            await crash_targets(session, nodes, targets, path=path)
            before = crash_count(targets)
            for number in range(100, 109):
                assert await send(session, nodes, number, path=path) in GATEWAY_ERRORS
            assert crash_count(targets) - before <= MAX_LATER_CRASHES, nodes.logs()

    asyncio.run(body())


def test_request_running_on_targets_that_crash_for_other_reasons_is_served(
    tmp_path: Path,
) -> None:
    """A zone fails with all targets that run the same request of several callers."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 3, "/plain/never") as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            for target in targets:
                target.resume.set()
            for number, _host in enumerate(nodes.hosts):
                assert await send(session, nodes, 90 + number, path="/plain/slow") == 200
            for again in range(3):
                for target in targets:
                    target.resume.clear()
                    target.slow_calls = 0
                first = 10 * again
                sent = [
                    asyncio.ensure_future(send(session, nodes, first + n, path="/plain/slow"))
                    for n in range(6)
                ]
                async with asyncio.timeout(10.0):
                    while slow_call_count(targets) + sum(call.done() for call in sent) < len(sent):
                        await asyncio.sleep(0.01)
                for target in targets:
                    target.crash()
                    target.resume.set()
                statuses = await asyncio.gather(*sent)
                assert set(statuses) <= {200, *GATEWAY_ERRORS}
                await await_ready(nodes, caller)
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"after-{host}"}
                answer = await caller.call(
                    "POST", "/plain/slow", host=host, body=BODY, headers=headers
                )
                assert answer == b"answer to after-" + host.encode()
            assert "refused evidence=" not in nodes.logs()

    asyncio.run(body())


def test_request_running_beside_one_that_crashes_targets_is_served(tmp_path: Path) -> None:
    """Each crash of a target also loses the calls of other callers, which resend them."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, CRASH_PATH) as targets,
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            for number in range(6):
                beside = [send(session, nodes, n, path="/plain/beside") for n in range(6)]
                await asyncio.gather(send(session, nodes, number), *beside)
                await asyncio.sleep(0.3)
            assert crash_count(targets) >= CRASH_LIMIT
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"b-{host}"}
                await caller.call("POST", "/plain/beside", host=host, body=BODY, headers=headers)
            assert "refused evidence=" in nodes.logs()

    asyncio.run(body())


def test_connections_reset_by_live_targets_cause_no_refusal(tmp_path: Path) -> None:
    """A faulty target or network keeps resetting the connections of one request."""

    async def body() -> None:
        async with (
            running_nodes(1, tmp_path) as (nodes, caller, _store, targets),
            aiohttp.ClientSession() as session,
        ):
            await await_ready(nodes, caller)
            targets[1].answers = ["reset"] * 12
            for number in range(6):
                assert await send(session, nodes, number, path="/plain/reset") == 502
            assert await send(session, nodes, 7, path="/plain/reset") == 200

    asyncio.run(body())


def test_request_refused_for_one_workspace_is_served_for_another(tmp_path: Path) -> None:
    """Equal requests of different callers count apart; no caller can get another's refused."""

    async def body() -> None:
        async with (
            running_nodes(2, tmp_path) as (nodes, caller, store, _),
            crashing_targets(store, 4, CRASH_PATH) as targets,
            aiohttp.ClientSession() as session,
        ):
            store.put("keyed.op", "config", config_with_keys(2, {"a": ["ka"], "b": ["kb"]}))
            for host in nodes.hosts:
                headers = {"Authorization": "Bearer ka", "X-Request-Id": f"k-{host}"}
                await caller.call("POST", "/plain/1", host=host, headers=headers)
            await crash_targets(session, nodes, targets, key="ka")
            before = crash_count(targets)
            for target in targets:
                target.crash_path = "/nowhere"
            headers = {"Authorization": "Bearer kb", "X-Request-Id": "b"}
            answer = await caller.call("POST", CRASH_PATH, body=BODY, headers=headers)
            assert answer == b"answer to b"
            assert await send(session, nodes, 300, key="ka") == 502
            assert crash_count(targets) == before

    asyncio.run(body())


def config_with_non_idempotent_route() -> dict[str, object]:
    """Return the configuration with a route for non-idempotent calls."""
    document = {**config_document(), "version": 2}
    routes = list(document["routes"])  # type: ignore[call-overload]
    plain = next(route for route in routes if route["name"] == "plain")
    once = {**plain, "name": "once", "pathPrefix": "/once/", "kind": "non_idempotent"}
    document["routes"] = [*routes, once]
    return document
