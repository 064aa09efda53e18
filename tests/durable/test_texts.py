"""Tests of the text store: lost responses, compaction, caching and peers as a fallback."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

import pytest

from samphirecleat.durable import LogUnavailableError, TextRef, TextStore
from samphirecleat.durable import _texts as texts_module
from samphirecleat.durable._records import compress
from samphirecleat.observe import Observer

from .memory_log import MemoryLog, MemoryTopic
from .steps import finished
from .test_records import incompressible_text


def make_store(log: MemoryLog, writer_id: str = "w1") -> TextStore:
    return TextStore(log, writer_id, Observer("n1"))


def topic_of(log: MemoryLog, step_id: str) -> MemoryTopic:
    return log.topics[texts_module.topic_of(texts_module.shard_of(step_id))]


def run_async(body: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(body())  # type: ignore[arg-type]


async def write_texts(store: TextStore, step_id: str, **texts: str) -> dict[str, TextRef]:
    refs = await store.write(step_id, [finished(step_id, n, t) for n, t in texts.items()])
    assert refs is not None
    return dict(refs)


@pytest.mark.parametrize("compacted", [False, True], ids=["history kept", "history compacted"])
@pytest.mark.parametrize("large", [False, True], ids=["small", "in several entries"])
def test_texts_are_read_at_another_node(compacted: bool, large: bool) -> None:
    """A trainer reads texts at a node that did not write them, immediately or much later.

    The log returns a range of records while it retains them, and later the newest entry of each
    key. Either way the reader must get the written bytes unchanged.
    """
    texts = {"a": incompressible_text(300_000) if large else "äöü\n x", "b": "", "c": "z"}

    async def body() -> None:
        log = MemoryLog()
        refs = await write_texts(make_store(log), "s1", **texts)
        await write_texts(make_store(log, "w2"), "s1", d="of another writer")
        more = await write_texts(make_store(log, "w3"), "s1", e="later")
        if compacted:
            topic_of(log, "s1").compact()
        wanted = [*refs.values(), more["e"]]
        read = await make_store(log, "w4").read(wanted)
        assert [read[ref.key] for ref in wanted] == [*texts.values(), "later"]

    run_async(body)


def test_adjacent_texts_are_read_in_one_call_and_cached() -> None:
    async def body() -> None:
        log = MemoryLog()
        refs = list((await write_texts(make_store(log), "s1", a="1", b="2", c="3")).values())
        reader = make_store(log, "w2")
        await reader.read(refs)
        assert topic_of(log, "s1").reads == 1
        await reader.read(refs[1:])
        assert topic_of(log, "s1").reads == 1

    run_async(body)


@pytest.mark.parametrize(("answer", "kept"), [("refused", 0), ("lost", 1), ("late", 0)])
def test_unconfirmed_text_is_written_again(answer: str, kept: int) -> None:
    """The response to an append of texts is lost.

    A result is not listed unless its text is known to be stored. The second attempt uses a new
    key, so that a delayed first attempt cannot change a text that was read already.
    """

    async def body() -> None:
        log = MemoryLog()
        store = make_store(log)
        topic = topic_of(log, "s1")
        topic.answers = [answer]
        assert await store.write("s1", [finished("s1", "a", "first")]) is None
        assert len(topic.entries) == kept
        refs = await write_texts(store, "s1", a="second")
        topic.apply_delayed()
        topic.compact()
        assert await make_store(log, "w2").read([refs["a"]]) == {refs["a"].key: "second"}

    run_async(body)


def test_unavailable_text_raises_an_error() -> None:
    async def body() -> None:
        log = MemoryLog()
        refs = await write_texts(make_store(log), "s1", a="1")
        reader = make_store(log, "w2")
        log.down = True
        with pytest.raises(LogUnavailableError):
            await reader.read(list(refs.values()))
        log.down = False
        with pytest.raises(LogUnavailableError):
            await reader.read([refs["a"]._replace(key="0/x/1")])
        with pytest.raises(LogUnavailableError):
            await reader.read([refs["a"]._replace(offset=9)])

    run_async(body)


def test_cache_size_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(texts_module, "CACHE_BYTES", 200)

    async def body() -> None:
        log = MemoryLog()
        store = make_store(log)
        refs = {}
        for number in range(20):
            refs.update(await write_texts(store, "s1", **{f"i{number}": f"text {number}"}))
        assert 0 < store._cached_bytes <= 200
        assert sum(len(packed) for packed in store._cache_by_key.values()) == store._cached_bytes
        read = await store.read(list(refs.values()))
        assert [read[ref.key] for ref in refs.values()] == [f"text {n}" for n in range(20)]

    run_async(body)


def test_drop_deletes_only_the_texts_of_the_step() -> None:
    async def body() -> None:
        log = MemoryLog()
        store = make_store(log)
        await write_texts(store, "s1", a="1", b="2")
        others = {name: await write_texts(store, name, a=name) for name in ("s2", "s3", "s4")}
        assert await store.drop("s1")
        assert not (await topic_of(log, "s1").newest(texts_module.key_prefix("s1"))).entries
        for topic in log.topics.values():
            topic.compact()
        reader = make_store(log, "w2")
        for name, refs in others.items():
            assert await reader.read(list(refs.values())) == {refs["a"].key: name}

    run_async(body)


class FakePeers:
    """Text stores of other nodes by incarnation prefix."""

    def __init__(self, stores: dict[str, TextStore]) -> None:
        self.stores = stores

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        store = self.stores.get(incarnation)
        return store.cached(keys) if store is not None else {}


def test_texts_refused_by_the_log_are_read_from_their_writer() -> None:
    """Guards against listed results that cannot be read although their writer has them cached."""

    async def body() -> None:
        log = MemoryLog()
        writer = make_store(log, "inc00001ab")
        refs = await write_texts(writer, "s1", a="text a", b="text b")
        peers = FakePeers({"inc00001": writer})
        reader = TextStore(log, "inc00002cd", Observer("n2"), peers)
        log.down = True
        topic_of(log, "s1").down = True
        read = await reader.read(list(refs.values()))
        assert sorted(read.values()) == ["text a", "text b"]
        reader_without_peers = TextStore(log, "inc00003ef", Observer("n3"), FakePeers({}))
        with pytest.raises(LogUnavailableError):
            await reader_without_peers.read(list(refs.values()))

    run_async(body)


@pytest.mark.parametrize("answer", [b"no compressed text", compress(b"another text"), b""])
def test_a_malformed_text_of_a_peer_is_not_used(answer: bytes) -> None:
    """Guards against a peer's bytes that end the reader, or are listed as an item's text."""

    async def body() -> None:
        log = MemoryLog()
        refs = await write_texts(make_store(log, "inc00001ab"), "s1", a="text of a")
        log.down = True
        topic_of(log, "s1").down = True

        class MalformedPeers:
            async def fetch(self, _incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
                return dict.fromkeys(keys, answer)

        reader = TextStore(log, "inc00002cd", Observer("n2"), MalformedPeers())
        for _ in range(2):
            with pytest.raises(LogUnavailableError):
                await reader.read(list(refs.values()))

    run_async(body)
