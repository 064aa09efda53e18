"""The callers' client against real nodes that die, leave, or fall silent."""

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


class Setting(NamedTuple):
    """A fleet of three nodes, each behind a relay, and a client."""

    fleet: Fleet
    relays: dict[str, TcpProxy]
    client: CallerClient

    def runs(self) -> int:
        """Return how many calls truly ran, by the targets' own ledgers."""
        plain = sum(len(server.runs) for server in self.fleet.plain)
        return plain + sum(len(engine.runs) for engine in self.fleet.engines)

    def owner(self) -> Node:
        """Return the node that is working on the only call."""
        (node,) = [node for node in self.fleet.nodes if len(node.request_keys)]
        return node

    async def kill(self, node: Node) -> None:
        """End a node at once, with everything that it has in hand."""
        node_id = node.settings.node_id
        await self.relays[node_id].stop()
        self.fleet.nodes.remove(node)
        await node.stop()


@asynccontextmanager
async def make_setting() -> AsyncIterator[Setting]:
    async with running_fleet(3) as fleet, aiohttp.ClientSession() as session:
        relays = {}
        for node in fleet.nodes:
            relay = TcpProxy(node.settings.http_address)
            await relay.start()
            relays[node.settings.node_id] = relay
            node.board.identity = node.board.identity._replace(http_address=relay.address)
        addresses = {relay.address for relay in relays.values()}
        await until(lambda: all(knows(node, addresses) for node in fleet.nodes))
        client = CallerClient(session, fleet.bootstrap, seed=3, progress_timeout_s=0.3)
        yield Setting(fleet, relays, client)
        for relay in relays.values():
            await relay.stop()


def knows(node: Node, addresses: set[str]) -> bool:
    return {member.http_address for member in node.board.live_members()} == addresses


def slow_down(fleet: Fleet) -> None:
    for server in fleet.plain:
        server.call_s = 0.5
    for engine in fleet.engines:
        engine.token_s = 0.03


def call_once(setting: Setting, deadline_s: float = 8.0) -> "asyncio.Task[CallAnswer]":
    call = setting.client.call(
        "cotizador", "issue_quote", BODY, idempotent=False, deadline_s=deadline_s
    )
    return asyncio.create_task(call)


async def outcome_of(task: "asyncio.Task[CallAnswer]") -> CallAnswer | RequestError:
    try:
        return await task
    except RequestError as error:
        return error


async def break_owner(setting: Setting, how: str) -> None:
    await until(lambda: setting.runs() == 1)
    owner = setting.owner()
    relay = setting.relays[owner.settings.node_id]
    if how == "killed":
        await setting.kill(owner)
    elif how == "cut":
        relay.abort_connections()
    elif how == "silent":
        relay.stall_connections()
    elif how == "frozen":
        relay.freeze()
    elif how == "leaving":
        relay.abort_connections()
        setting.fleet.nodes.remove(owner)
        await owner.drain()
        await owner.stop()


@pytest.mark.parametrize("how", ["cut", "silent", "frozen", "leaving"])
def test_a_lost_answer_is_fetched_with_the_same_key(how: str) -> None:
    """The caller's connections close or fall silent while its order is being made.

    The order may not be made twice. Its answer comes through another node, which
    asks the one that the key names, also when that one is leaving.
    """

    async def scenario() -> None:
        async with make_setting() as setting:
            slow_down(setting.fleet)
            task = call_once(setting)
            await break_owner(setting, how)
            answer = await outcome_of(task)
            assert not isinstance(answer, RequestError), answer
            assert answer.body["result"]["echo"]["prompt"] == "a quote"
            assert setting.runs() == 1

    asyncio.run(scenario())


def test_an_owner_that_is_killed_leaves_the_outcome_unknown() -> None:
    """The node that makes an order dies; nobody else can tell whether it was made."""

    async def scenario() -> None:
        async with make_setting() as setting:
            slow_down(setting.fleet)
            task = call_once(setting)
            await break_owner(setting, "killed")
            error = await outcome_of(task)
            assert isinstance(error, RequestError)
            assert (error.kind, error.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
            assert setting.runs() == 1

    asyncio.run(scenario())


def test_an_idempotent_call_outlives_its_node() -> None:
    async def scenario() -> None:
        async with make_setting() as setting:
            slow_down(setting.fleet)
            task = asyncio.create_task(setting.client.call("asesor", "generate", BODY))
            await break_owner(setting, "killed")
            answer = await outcome_of(task)
            assert not isinstance(answer, RequestError), answer
            assert answer.body["spans"] == [[0, 20]]

    asyncio.run(scenario())


def test_a_node_that_cannot_be_reached_costs_nothing() -> None:
    """A node has died, and the caller's kept entry list still names it."""

    async def scenario() -> None:
        async with make_setting() as setting:
            await setting.client.call("cotizador", "price", BODY)
            runs = setting.runs()
            await setting.kill(setting.fleet.nodes[0])
            for _ in range(4):
                await call_once(setting)
            assert setting.runs() == runs + 4

    asyncio.run(scenario())


async def read_stream(setting: Setting, lines: list[Any]) -> None:
    async for line in setting.client.stream("asesor", "generate", BODY):
        lines.append(line)


@pytest.mark.parametrize("how", ["cut", "silent"])
def test_a_stream_goes_on_through_another_node_without_a_part_twice(how: str) -> None:
    """The connection breaks or falls silent in the middle of a streamed answer."""

    async def scenario() -> None:
        async with make_setting() as setting:
            slow_down(setting.fleet)
            lines: list[Any] = []
            task = asyncio.create_task(read_stream(setting, lines))
            await until(lambda: len(lines) >= 3)
            await break_owner(setting, how)
            await task
            (run,) = [run for engine in setting.fleet.engines for run in engine.runs]
            text = "".join(line.get("text", "") for line in lines)
            assert text.split() == [f"{run.prompt_digest}.{index}" for index in range(20)]
            assert sum(tokens for line in lines for _version, tokens in line.get("spans", ())) == 20
            assert lines[-1]["end"] == "stop"

    asyncio.run(scenario())


def test_a_stream_whose_node_dies_is_not_begun_again() -> None:
    """A part was passed on, and a second run would answer with other tokens."""

    async def scenario() -> None:
        async with make_setting() as setting:
            slow_down(setting.fleet)
            lines: list[Any] = []
            task = asyncio.create_task(read_stream(setting, lines))
            await until(lambda: len(lines) >= 3)
            await break_owner(setting, "killed")
            with pytest.raises(RequestError) as caught:
                await task
            assert caught.value.ran is Ran.UNKNOWN
            assert setting.runs() == 1

    asyncio.run(scenario())


async def stop_plain(setting: Setting) -> None:
    for server in setting.fleet.plain:
        await server.stop()


async def refuse_plain(setting: Setting) -> None:
    for server in setting.fleet.plain:
        server.next_faults = ["refuse"] * 9


async def lose_plain(setting: Setting) -> None:
    for server in setting.fleet.plain:
        server.next_faults = ["lose"]


@pytest.mark.parametrize(
    ("bring_about", "kind", "ran"),
    [
        (stop_plain, ErrorKind.NO_TARGET, Ran.NO),
        (refuse_plain, ErrorKind.TARGET_REFUSED, Ran.NO),
        (lose_plain, ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN),
    ],
)
def test_the_code_that_calls_learns_what_ran_and_when_to_come_back(
    bring_about: Callable[[Setting], Any], kind: ErrorKind, ran: Ran
) -> None:
    async def scenario() -> None:
        async with make_setting() as setting:
            await bring_about(setting)
            error = await outcome_of(call_once(setting))
            assert isinstance(error, RequestError)
            assert (error.kind, error.ran) == (kind, ran)
            assert (error.retry_after_s > 0.0) is (ran is Ran.NO)
            assert setting.runs() == (0 if ran is Ran.NO else 1)

    asyncio.run(scenario())


def test_without_any_node_the_call_was_not_run() -> None:
    async def scenario() -> None:
        async with aiohttp.ClientSession() as session:
            client = CallerClient(session, ["127.0.0.1:9"])
            with pytest.raises(RequestError) as caught:
                await client.call("cotizador", "price", BODY, deadline_s=1.0)
            assert caught.value.ran is Ran.NO

    asyncio.run(scenario())
