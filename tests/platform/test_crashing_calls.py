"""Requests that end the targets that run them, sent again with new ids at other nodes."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import aiohttp
import pytest

from .nodes import Caller, Nodes, config_document, config_with_keys, running_nodes
from .standin_ending import EndingTarget, ending_targets

# What all nodes in touch may take to hear of something.
TOUCH_S = 3.0
FREE = 3
RETRIES = 3
NO_ANSWER = (502, 503, 504)
POISON = "/plain/poison"
BODY = b"the same body"


async def send(
    session: aiohttp.ClientSession,
    nodes: Nodes,
    number: int,
    *,
    path: str = POISON,
    key: str = "",
) -> int:
    """Send the same request with a new id at one node in turn; return the status."""
    host = nodes.hosts[number % len(nodes.hosts)]
    headers = {"Host": "h.example", "X-Request-Id": f"again-{number}", "X-Deadline-Ms": "2000"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    url = f"http://{host}:{nodes.front}{path}"
    async with session.post(url, data=BODY, headers=headers) as response:
        await response.read()
        return response.status


async def ready(nodes: Nodes, caller: Caller) -> None:
    """Wait until every node serves."""
    for host in nodes.hosts:
        await caller.call("POST", "/plain/1", host=host, headers={"X-Request-Id": f"r-{host}"})


def ended(targets: Sequence[EndingTarget]) -> int:
    """Return how often a target ended under the request."""
    return sum(len(target.ended_under) for target in targets)


def under_way(targets: Sequence[EndingTarget]) -> int:
    """Return how many slow calls began to run at targets since they were last counted."""
    return sum(target.slow_calls for target in targets)


async def end_three(
    session: aiohttp.ClientSession,
    nodes: Nodes,
    targets: Sequence[EndingTarget],
    *,
    path: str = POISON,
    key: str = "",
) -> None:
    """Send until three targets ended, and let every node in touch hear of it."""
    number = 0
    async with asyncio.timeout(30.0):
        while ended(targets) < FREE:
            await send(session, nodes, number, path=path, key=key)
            number += 1
            await asyncio.sleep(0.1)
    await asyncio.sleep(TOUCH_S)


def test_a_request_that_ends_three_targets_reaches_three_more_at_most(tmp_path: Path) -> None:
    """A request crashes each target that begins to run it, and comes again at every node.

    Each sending kept a bound of its own and ended as many targets as its route allows attempts;
    a service lost all its targets each time, and every other caller its answer.
    """

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, POISON) as targets,
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
            await end_three(session, nodes, targets)
            before = ended(targets)
            for number in range(100, 112):
                await send(session, nodes, number)
                await asyncio.sleep(0.2)
            assert ended(targets) - before <= RETRIES, nodes.logs()

    asyncio.run(body())


def test_a_refused_request_stays_refused_after_all_nodes_lost_power(tmp_path: Path) -> None:
    """All nodes start again, and none of them has seen a target end.

    A node that knew nothing would let the request end its targets as if it came for the first
    time, after each restart.
    """

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, POISON) as targets,
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
            await end_three(session, nodes, targets)
            before = ended(targets)
            for _ in range(2):
                await nodes.kill_all()
                await nodes.start()
                await ready(nodes, caller)
                for number in range(200, 206):
                    await send(session, nodes, number)
            assert ended(targets) - before <= RETRIES, nodes.logs()

    asyncio.run(body())


def test_targets_that_one_node_each_saw_end_are_counted_together(tmp_path: Path) -> None:
    """A request that may not be repeated ends one target at each sending, each at another node."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, "/once/poison") as targets,
            aiohttp.ClientSession() as session,
        ):
            store.put("keyed.op", "config", config_with_once())
            await ready(nodes, caller)
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"o-{host}"}
                await caller.call("POST", "/once/1", host=host, headers=headers)
            await end_three(session, nodes, targets, path="/once/poison")
            before = ended(targets)
            for number in range(100, 109):
                status = await send(session, nodes, number, path="/once/poison")
                assert status in NO_ANSWER
            assert ended(targets) - before <= RETRIES, nodes.logs()

    asyncio.run(body())


@pytest.mark.parametrize("path", ["/run/poison", "/run/once/poison"])
def test_a_stream_that_ends_its_engines_is_opened_at_three_more_at_most(
    tmp_path: Path, path: str
) -> None:
    """A stream goes on at another engine where one breaks off, and its caller comes again."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, path, service="engine") as targets,
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
            await end_three(session, nodes, targets, path=path)
            before = ended(targets)
            for number in range(100, 109):
                assert await send(session, nodes, number, path=path) in NO_ANSWER
            assert ended(targets) - before <= RETRIES, nodes.logs()

    asyncio.run(body())


def test_a_request_under_way_at_targets_that_end_for_another_reason_is_served(
    tmp_path: Path,
) -> None:
    """A zone goes with all targets at which the same request of several callers is under way."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 3, "/plain/never") as targets,
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
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
                    while under_way(targets) + sum(call.done() for call in sent) < len(sent):
                        await asyncio.sleep(0.01)
                for target in targets:
                    target.end()
                    target.resume.set()
                statuses = await asyncio.gather(*sent)
                assert set(statuses) <= {200, *NO_ANSWER}
                await ready(nodes, caller)
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"after-{host}"}
                answer = await caller.call(
                    "POST", "/plain/slow", host=host, body=BODY, headers=headers
                )
                assert answer == b"answer to after-" + host.encode()
            assert "refused evidence=" not in nodes.logs()

    asyncio.run(body())


def test_a_request_beside_the_one_that_ends_targets_is_served(tmp_path: Path) -> None:
    """Other callers' calls are lost with each target that the request ends, and come again."""

    async def body() -> None:
        async with (
            running_nodes(3, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, POISON) as targets,
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
            for number in range(6):
                beside = [send(session, nodes, n, path="/plain/beside") for n in range(6)]
                await asyncio.gather(send(session, nodes, number), *beside)
                await asyncio.sleep(0.3)
            assert ended(targets) >= FREE
            for host in nodes.hosts:
                headers = {"X-Request-Id": f"b-{host}"}
                await caller.call("POST", "/plain/beside", host=host, body=BODY, headers=headers)
            assert "refused evidence=" in nodes.logs()

    asyncio.run(body())


def test_connections_that_targets_reset_while_they_live_refuse_nothing(tmp_path: Path) -> None:
    """A faulty target, or the way to it, resets connections of one request again and again."""

    async def body() -> None:
        async with (
            running_nodes(1, tmp_path) as (nodes, caller, _store, targets),
            aiohttp.ClientSession() as session,
        ):
            await ready(nodes, caller)
            targets[1].answers = ["reset"] * 12
            for number in range(6):
                assert await send(session, nodes, number, path="/plain/reset") == 502
            assert await send(session, nodes, 7, path="/plain/reset") == 200

    asyncio.run(body())


def test_a_refused_request_of_one_workspace_is_served_for_another(tmp_path: Path) -> None:
    """The same bytes of another caller are another request; nobody can have it refused."""

    async def body() -> None:
        async with (
            running_nodes(2, tmp_path) as (nodes, caller, store, _),
            ending_targets(store, 4, POISON) as targets,
            aiohttp.ClientSession() as session,
        ):
            store.put("keyed.op", "config", config_with_keys(2, {"a": ["ka"], "b": ["kb"]}))
            for host in nodes.hosts:
                headers = {"Authorization": "Bearer ka", "X-Request-Id": f"k-{host}"}
                await caller.call("POST", "/plain/1", host=host, headers=headers)
            await end_three(session, nodes, targets, key="ka")
            before = ended(targets)
            for target in targets:
                target.ends_on = "/nowhere"
            headers = {"Authorization": "Bearer kb", "X-Request-Id": "b"}
            answer = await caller.call("POST", POISON, body=BODY, headers=headers)
            assert answer == b"answer to b"
            assert await send(session, nodes, 300, key="ka") == 502
            assert ended(targets) == before

    asyncio.run(body())


def config_with_once() -> dict[str, object]:
    """Return the configuration with a route whose calls may not be repeated."""
    document = {**config_document(), "version": 2}
    routes = list(document["routes"])  # type: ignore[call-overload]
    plain = next(route for route in routes if route["name"] == "plain")
    once = {**plain, "name": "once", "pathPrefix": "/once/", "kind": "non_idempotent"}
    document["routes"] = [*routes, once]
    return document
