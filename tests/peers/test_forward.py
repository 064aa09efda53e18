"""Calls that one node forwards to another, over real connections that fail."""

import asyncio
import json
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest
from grpclib.server import Server

from samphirecleat.blackboard import Member
from samphirecleat.config import ConfigState
from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.peers import PeerClient, PeerServer
from samphirecleat.peers.peers_pb2 import ForwardRequest
from samphirecleat.requests import AnswerLine, Call, RequestStatus, RunState, WorkClass
from samphirecleat.trial import free_port
from tests.fleets import TcpProxy, until

SHARED_KEY = "a-shared-key-of-two-nodes"
PERIOD_S = 0.4


class Owner:
    """The node that owns the key; its answer has two lines, with a wait between them."""

    def __init__(self) -> None:
        self.resume = asyncio.Event()
        self.error: RequestError | None = None
        self.state = RunState.RUNNING
        self.deadlines_s: list[float] = []

    async def serve(self, request: ForwardRequest) -> AsyncGenerator[AnswerLine, None]:
        """Answer a forwarded call."""
        self.deadlines_s.append(request.deadline_in_s)
        if self.error is not None:
            raise self.error
        yield {"text": "a", "spans": []}
        await self.resume.wait()
        yield {"text": json.loads(request.body)["prompt"], "end": "stop"}

    def status(self, _key: str) -> RequestStatus:
        """Return the progress of the key."""
        return RequestStatus(self.state, 1)


class Pair(NamedTuple):
    """The client of a forwarding node, and the key's owner behind a relay."""

    client: PeerClient
    owner: Owner
    relay: TcpProxy
    server: Server

    async def forward(self, deadline_in_s: float = 5.0) -> Sequence[AnswerLine]:
        """Forward one call and return the lines of its answer."""
        member = Member("n2", "bb", 0, "z", "", self.relay.address, 1, False, True, 0, 0, 0)
        now_s = asyncio.get_running_loop().time()
        body = {"prompt": "b", "stream": True}
        call = Call(
            "cotizador",
            "price",
            body,
            now_s + deadline_in_s,
            5,
            False,
            "n2.bb.0.k",
            WorkClass.CALLER,
        )
        return [line async for line in self.client.forward(member, call, now_s)]


@asynccontextmanager
async def make_pair(client_key: str = SHARED_KEY) -> AsyncIterator[Pair]:
    owner = Owner()
    server = Server([PeerServer(SHARED_KEY, owner.serve, owner.status, ConfigState, dict, list)])
    port = free_port()
    await server.start("127.0.0.1", port)
    relay = TcpProxy(f"127.0.0.1:{port}")
    await relay.start()
    client = PeerClient(client_key, PERIOD_S)
    yield Pair(client, owner, relay, server)
    client.close()
    await relay.stop()
    server.close()
    await server.wait_closed()


async def error_of(forwarding: "asyncio.Task[Sequence[AnswerLine]]") -> tuple[ErrorKind, Ran]:
    with pytest.raises(RequestError) as caught:
        await forwarding
    return caught.value.kind, caught.value.ran


def test_slow_owner_is_awaited_and_receives_the_deadline() -> None:
    async def scenario() -> None:
        async with make_pair() as pair:
            forwarding = asyncio.create_task(pair.forward(deadline_in_s=4.0))
            await until(lambda: pair.relay.bytes_to_client > 0)
            await asyncio.sleep(3 * PERIOD_S)
            pair.owner.resume.set()
            assert [line["text"] for line in await forwarding] == ["a", "b"]
            (deadline_in_s,) = pair.owner.deadlines_s
            assert 0.0 < deadline_in_s <= 4.0

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["cut", "silent", "gone", "stranger"])
def test_lost_owner_leaves_the_outcome_unknown(how: str) -> None:
    """The owner can't be reached, rejects the shared key, or its connection breaks.

    Even if no byte of this request reached the owner, an earlier copy of it may have, so
    the forwarding node never reports that it was not run.
    """

    async def scenario() -> None:
        async with make_pair("another-shared-key" if how == "stranger" else SHARED_KEY) as pair:
            if how == "gone":
                await pair.relay.stop()
            forwarding = asyncio.create_task(pair.forward())
            if how in ("cut", "silent"):
                await until(lambda: len(pair.owner.deadlines_s) == 1)
                await asyncio.sleep(0.05)
            if how == "cut":
                pair.relay.abort_connections()
            if how == "silent":
                pair.relay.stall_connections()
                pair.owner.state = RunState.ENDED
                pair.owner.resume.set()
            assert await error_of(forwarding) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "error",
    [
        RequestError(ErrorKind.OVERLOADED, "", retry_after_s=2.0),
        RequestError(ErrorKind.KEY_EXPIRED, ""),
        RequestError(ErrorKind.ANSWER_DISCARDED, ""),
    ],
)
def test_error_of_the_owner_is_returned_unchanged(error: RequestError) -> None:
    async def scenario() -> None:
        async with make_pair() as pair:
            pair.owner.error = error
            forwarding = asyncio.create_task(pair.forward())
            assert await error_of(forwarding) == (error.kind, error.ran)

    asyncio.run(scenario())


def test_forwarded_call_ends_at_its_deadline() -> None:
    """The owner hangs; the caller's deadline still ends the wait of the forwarding node."""

    async def scenario() -> None:
        async with make_pair() as pair:
            forwarding = asyncio.create_task(pair.forward(deadline_in_s=0.1))
            assert await error_of(forwarding) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)

    asyncio.run(scenario())
