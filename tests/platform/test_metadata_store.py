"""The metadata store client against a stand-in that fails in the documented ways."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from samphirecleat.durable import (
    AppendOutcome,
    HistoryGoneError,
    LogUnavailableError,
)
from samphirecleat.observe import Observer
from samphirecleat.platform import _metadata_store as store_module
from samphirecleat.platform._metadata_store import MetadataStore

from ..fleets import until
from .standin_store import StoreStandIn


@asynccontextmanager
async def store_client(
    peers: Callable[[], list[str]] = lambda: [],
) -> AsyncIterator[tuple[StoreStandIn, MetadataStore]]:
    store = StoreStandIn()
    await store.start()
    async with aiohttp.ClientSession() as session:
        yield store, MetadataStore(session, store.address, peers, Observer("n"), random.Random(1))
    await store.stop()


def test_topics_are_appended_and_read() -> None:
    async def body() -> None:
        async with store_client() as (stand_in, store):
            stand_in.page_rows = 2
            for number in range(5):
                await store.append("keyed.x", [(f"k{number}", b"v%d" % number)])
            await store.append("keyed.x", [("k1", b"new")])
            await store.append("keyed.x", [("k2", b"")])
            newest = await store.newest("keyed.x")
            assert [(e.key, e.value) for e in newest.entries] == [
                ("k0", b"v0"),
                ("k1", b"new"),
                ("k3", b"v3"),
                ("k4", b"v4"),
            ]
            assert newest.end == 7
            tail = await store.read("keyed.x", 5, 0.0)
            assert [(e.offset, e.key, e.value) for e in tail.entries] == [
                (5, "k1", b"new"),
                (6, "k2", b""),
            ]
            stand_in.trim_history("keyed.x")
            with pytest.raises(HistoryGoneError):
                await store.read("keyed.x", 5, 0.0)

    asyncio.run(body())


@pytest.mark.parametrize(
    ("answer", "at", "expected", "appended"),
    [
        ("", -1, AppendOutcome.APPENDED, 1),
        ("", 0, AppendOutcome.APPENDED, 1),
        ("", 4, AppendOutcome.CONDITION_FAILED, 0),
        (503, -1, AppendOutcome.NOT_APPENDED, 0),
        (429, -1, AppendOutcome.NOT_APPENDED, 0),
        (507, -1, AppendOutcome.NOT_APPENDED, 0),
        (500, -1, AppendOutcome.UNKNOWN, 0),
        ("lost", -1, AppendOutcome.UNKNOWN, 1),
        ("late", -1, AppendOutcome.UNKNOWN, 0),
    ],
)
def test_the_outcome_of_an_append_follows_from_its_response(
    answer: str | int, at: int, expected: AppendOutcome, appended: int
) -> None:
    async def body() -> None:
        async with store_client() as (stand_in, store):
            stand_in.answers = [answer] if answer else []
            result = await store.append("keyed.x", [("k", b"v")], at)
            assert (result.outcome, len(stand_in.topics["keyed.x"])) == (expected, appended)

    asyncio.run(body())


def test_an_unreachable_store_is_reported_as_unavailable() -> None:
    async def body() -> None:
        async with store_client() as (stand_in, store):
            stand_in.error_status = 503
            with pytest.raises(LogUnavailableError):
                await store.newest("keyed.x")
            await stand_in.stop()
            with pytest.raises(LogUnavailableError):
                await store.read("keyed.x", 0, 0.0)
            result = await store.append("keyed.x", [("k", b"v")])
            assert result.outcome is AppendOutcome.NOT_APPENDED

    asyncio.run(body())


def test_peers_are_listed_only_when_the_store_fails() -> None:
    """Guards against listing all nodes for every call.

    In a fleet of hundreds of nodes, that took longer than the call itself.
    """
    peer_listings: list[int] = []

    def peers() -> list[str]:
        peer_listings.append(1)
        return []

    async def body() -> None:
        async with store_client(peers) as (_stand_in, store):
            await store.read("keyed.x", 0, 0.0)

    asyncio.run(body())
    assert not peer_listings


class SilentServer:
    """Accepts connections and never responds."""

    def __init__(self) -> None:
        self.connections = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def stop(self) -> None:
        self._server.close()

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        await reader.read()
        writer.close()


class RelayStandIn(StoreStandIn):
    """A peer that forwards calls to the store."""

    def add_routes(self, router: web.UrlDispatcher) -> None:
        router.add_post("/relay/v1/log-append", self._append)
        router.add_get("/relay/v1/log-read", self._read)


def test_calls_use_a_peer_while_the_store_does_not_respond_to_this_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against results that wait for a store that doesn't respond to this node.

    The store stops responding to a third of the nodes, including the runner of a service. If
    every call tried the direct route first, each would wait for its timeout, and the results of
    all steps with it, although peers reach the store.
    """
    monkeypatch.setattr(store_module, "MIN_TIMEOUT_S", 0.2)
    monkeypatch.setattr(store_module, "PROBE_INTERVAL_S", 0.05)
    monkeypatch.setattr(store_module, "PROBE_TIMEOUT_S", 30.0)

    async def body() -> None:
        silent, peer = SilentServer(), RelayStandIn()
        address = await silent.start()
        await peer.start()
        async with aiohttp.ClientSession() as session:
            store = MetadataStore(
                session, address, lambda: [peer.address], Observer("n"), random.Random(1)
            )
            # Only the first call and one probe use the direct route.
            await store.read("keyed.x", 0, 0.0)
            for number in range(20):
                result = await store.append("keyed.x", [("k", b"%d" % number)])
                assert result.outcome is AppendOutcome.APPENDED
            await asyncio.sleep(0.2)
            assert silent.connections == 2
            assert len(peer.topics["keyed.x"]) == 20
            store.close()
        await peer.stop()
        await silent.stop()

    asyncio.run(body())


def test_the_direct_route_is_used_again_after_a_successful_probe(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(store_module, "PROBE_INTERVAL_S", 0.02)

    async def body() -> None:
        async with store_client() as (stand_in, store):
            stand_in.error_status = 503
            with pytest.raises(LogUnavailableError):
                await store.read("keyed.x", 0, 0.0)
            assert not store.reachable
            stand_in.error_status = 0
            await until(lambda: store.reachable)
            store.close()

    asyncio.run(body())


@pytest.mark.parametrize("key", [b"\xff\xfe", b"\xed\xa0\x80"])
def test_an_entry_whose_key_is_no_text_hides_no_other_entry(key: bytes) -> None:
    """Guards against a topic that nobody can read while one key of another writer stands in it."""

    async def body() -> None:
        async with store_client() as (stand_in, store):
            stand_in.page_rows = 2
            stand_in.put("keyed.x", "a", 1)
            stand_in._append_records("keyed.x", [bytes([len(key)]) + key + b"value"])
            stand_in._append_records("keyed.x", [b"", b"\x09short"])
            stand_in.put("keyed.x", "b", 2)
            read = await store.read("keyed.x", 0, 0.0)
            assert [entry.offset for entry in read.entries] == [0, 1, 2, 3, 4]
            assert [entry.key for entry in read.entries if entry.value] == ["a", "b"]
            del stand_in.topics["keyed.x"][2:4]
            stand_in.put("keyed.x", "c", 3)
            newest = await store.newest("keyed.x")
            assert [entry.key for entry in newest.entries] == ["a", "b", "c"]

    asyncio.run(body())
