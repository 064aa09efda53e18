"""Tests of the callers' client against nodes that crash, drain or stop responding."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import pytest

from samphirecleat.client import CallAnswer, CallerClient
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.node import Node
from samphirecleat.trial._fleet import Fleet
from tests.fleets import TcpProxy, running_fleet, until

BODY = {"prompt": "a quote", "max_tokens": 20}


class Environment(NamedTuple):
    """A fleet of three nodes, each behind a proxy, and a client."""

    fleet: Fleet
    proxies: dict[str, TcpProxy]
    client: CallerClient

    def runs(self) -> int:
        """Return how many calls ran, as recorded by the targets."""
        plain = sum(len(server.runs) for server in self.fleet.plain)
        return plain + sum(len(engine.runs) for engine in self.fleet.engines)

    def owner(self) -> Node:
        """Return the node that owns the only call in progress."""
        (node,) = [node for node in self.fleet.nodes if len(node.request_keys)]
        return node

    async def kill(self, node: Node) -> None:
        """Stop a node immediately, losing its requests in flight."""
        node_id = node.settings.node_id
        await self.proxies[node_id].stop()
        self.fleet.nodes.remove(node)
        await node.stop()


@asynccontextmanager
async def make_environment() -> AsyncIterator[Environment]:
    async with running_fleet(3) as fleet, aiohttp.ClientSession() as session:
        proxies = {}
        for node in fleet.nodes:
            proxy = TcpProxy(node.settings.http_address)
            await proxy.start()
            proxies[node.settings.node_id] = proxy
            node.board.identity = node.board.identity._replace(http_address=proxy.address)
        addresses = {proxy.address for proxy in proxies.values()}
        await until(lambda: all(knows_addresses(node, addresses) for node in fleet.nodes))
        client = CallerClient(session, fleet.bootstrap, seed=3, progress_timeout_s=0.3)
        yield Environment(fleet, proxies, client)
        for proxy in proxies.values():
            await proxy.stop()


def knows_addresses(node: Node, addresses: set[str]) -> bool:
    return {member.http_address for member in node.board.live_members()} == addresses


def slow_down_targets(fleet: Fleet) -> None:
    for server in fleet.plain:
        server.call_s = 0.5
    for engine in fleet.engines:
        engine.token_s = 0.03


def call_once(environment: Environment, deadline_s: float = 8.0) -> "asyncio.Task[CallAnswer]":
    call = environment.client.call(
        "cotizador", "issue_quote", BODY, idempotent=False, deadline_s=deadline_s
    )
    return asyncio.create_task(call)


async def outcome_of(task: "asyncio.Task[CallAnswer]") -> CallAnswer | RequestError:
    try:
        return await task
    except RequestError as error:
        return error


async def break_owner(environment: Environment, how: str) -> None:
    await until(lambda: environment.runs() == 1)
    owner = environment.owner()
    proxy = environment.proxies[owner.settings.node_id]
    if how == "killed":
        await environment.kill(owner)
    elif how == "cut":
        proxy.abort_connections()
    elif how == "silent":
        proxy.stall_connections()
    elif how == "frozen":
        proxy.freeze()
    elif how == "leaving":
        proxy.abort_connections()
        environment.fleet.nodes.remove(owner)
        await owner.drain()
        await owner.stop()


@pytest.mark.parametrize("how", ["cut", "silent", "frozen", "leaving"])
def test_lost_response_is_fetched_with_the_same_key(how: str) -> None:
    """The connections of the caller close or fall silent during a non-idempotent call.

    The call must not run twice. Its answer comes through another node, which asks the
    owner of the key, even while the owner is draining.
    """

    async def scenario() -> None:
        async with make_environment() as environment:
            slow_down_targets(environment.fleet)
            task = call_once(environment)
            await break_owner(environment, how)
            answer = await outcome_of(task)
            assert not isinstance(answer, RequestError), answer
            assert answer.body["result"]["echo"]["prompt"] == "a quote"
            assert environment.runs() == 1

    asyncio.run(scenario())


def test_killed_owner_leaves_the_outcome_unknown() -> None:
    """The node that runs a call crashes; no other node knows whether the call ran."""

    async def scenario() -> None:
        async with make_environment() as environment:
            slow_down_targets(environment.fleet)
            task = call_once(environment)
            await break_owner(environment, "killed")
            error = await outcome_of(task)
            assert isinstance(error, RequestError)
            assert (error.kind, error.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert environment.runs() == 1

    asyncio.run(scenario())


def test_idempotent_call_is_retried_after_its_node_crashes() -> None:
    async def scenario() -> None:
        async with make_environment() as environment:
            slow_down_targets(environment.fleet)
            task = asyncio.create_task(environment.client.call("asesor", "generate", BODY))
            await break_owner(environment, "killed")
            answer = await outcome_of(task)
            assert not isinstance(answer, RequestError), answer
            assert answer.body["spans"] == [[0, 20]]

    asyncio.run(scenario())


def test_unreachable_node_does_not_fail_calls() -> None:
    """A node has crashed, but the cached entry list of the caller still contains it."""

    async def scenario() -> None:
        async with make_environment() as environment:
            await environment.client.call("cotizador", "price", BODY)
            runs = environment.runs()
            await environment.kill(environment.fleet.nodes[0])
            for _ in range(4):
                await call_once(environment)
            assert environment.runs() == runs + 4

    asyncio.run(scenario())


async def read_stream(environment: Environment, lines: list[Any]) -> None:
    async for line in environment.client.stream("asesor", "generate", BODY):
        lines.append(line)


@pytest.mark.parametrize("how", ["cut", "silent"])
def test_stream_resumes_on_another_node_without_duplicate_parts(how: str) -> None:
    """The connection closes or falls silent in the middle of a streamed answer."""

    async def scenario() -> None:
        async with make_environment() as environment:
            slow_down_targets(environment.fleet)
            lines: list[Any] = []
            task = asyncio.create_task(read_stream(environment, lines))
            await until(lambda: len(lines) >= 3)
            await break_owner(environment, how)
            await task
            (run,) = [run for engine in environment.fleet.engines for run in engine.runs]
            text = "".join(line.get("text", "") for line in lines)
            assert text.split() == [f"{run.prompt_digest}.{index}" for index in range(20)]
            assert sum(tokens for line in lines for _version, tokens in line.get("spans", ())) == 20
            assert lines[-1]["end"] == "stop"

    asyncio.run(scenario())


def test_stream_is_not_restarted_after_its_node_crashes() -> None:
    """A part was already yielded, and a second run would generate different tokens."""

    async def scenario() -> None:
        async with make_environment() as environment:
            slow_down_targets(environment.fleet)
            lines: list[Any] = []
            task = asyncio.create_task(read_stream(environment, lines))
            await until(lambda: len(lines) >= 3)
            await break_owner(environment, "killed")
            with pytest.raises(RequestError) as caught:
                await task
            assert caught.value.ran is Ran.UNKNOWN
            assert environment.runs() == 1

    asyncio.run(scenario())


async def stop_plain_servers(environment: Environment) -> None:
    for server in environment.fleet.plain:
        await server.stop()


async def refuse_next_calls(environment: Environment) -> None:
    for server in environment.fleet.plain:
        server.next_faults = ["refuse"] * 9


async def lose_next_answer(environment: Environment) -> None:
    for server in environment.fleet.plain:
        server.next_faults = ["lose"]


@pytest.mark.parametrize(
    ("inject_fault", "kind", "ran"),
    [
        (stop_plain_servers, ErrorKind.NO_TARGET, Ran.NO),
        (refuse_next_calls, ErrorKind.TARGET_REFUSED, Ran.NO),
        (lose_next_answer, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
    ],
)
def test_error_tells_whether_the_call_ran_and_when_to_retry(
    inject_fault: Callable[[Environment], Any], kind: ErrorKind, ran: Ran
) -> None:
    async def scenario() -> None:
        async with make_environment() as environment:
            await inject_fault(environment)
            error = await outcome_of(call_once(environment))
            assert isinstance(error, RequestError)
            assert (error.kind, error.ran) == (kind, ran)
            assert (error.retry_after_s > 0.0) is (ran is Ran.NO)
            assert environment.runs() == (0 if ran is Ran.NO else 1)

    asyncio.run(scenario())


def test_call_without_a_reachable_node_was_not_run() -> None:
    async def scenario() -> None:
        async with aiohttp.ClientSession() as session:
            client = CallerClient(session, ["127.0.0.1:9"])
            with pytest.raises(RequestError) as caught:
                await client.call("cotizador", "price", BODY, deadline_s=1.0)
            assert caught.value.ran is Ran.NO

    asyncio.run(scenario())
