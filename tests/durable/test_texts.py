"""Texts kept apart from the steps: found again whole, whatever the log loses or forgets."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence

import pytest

from samphirecleat.durable import LogUnavailableError, TextRef, TextStore
from samphirecleat.durable import _texts as texts_module
from samphirecleat.observe import Observer

from .memory_log import MemoryLog, MemoryTopic
from .steps import finished
from .test_records import noise


def shelf_of(log: MemoryLog, writer_id: str = "w1") -> TextStore:
    return TextStore(log, writer_id, Observer("n1"))


def topic_of(log: MemoryLog, step_id: str) -> MemoryTopic:
    return log.topics[texts_module.topic_of(texts_module.shard_of(step_id))]


def run(body: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(body())  # type: ignore[arg-type]


async def written(shelf: TextStore, step_id: str, **texts: str) -> dict[str, TextRef]:
    refs = await shelf.write(step_id, [finished(step_id, n, t) for n, t in texts.items()])
    assert refs is not None
    return dict(refs)


@pytest.mark.parametrize("forgotten", [False, True], ids=["history kept", "history gone"])
@pytest.mark.parametrize("large", [False, True], ids=["small", "in several entries"])
def test_texts_are_read_at_another_node(forgotten: bool, large: bool) -> None:
    """A trainer asks a node that did not make the texts, at once or long after.

    The log sends the records of a stretch while it has them, and the newest of each key
    later; either way a reader must get what was written, byte for byte.
    """
    texts = {"a": noise(300_000) if large else "äöü\n x", "b": "", "c": "z"}

    async def body() -> None:
        log = MemoryLog()
        refs = await written(shelf_of(log), "s1", **texts)
        await written(shelf_of(log, "w2"), "s1", d="of another writer")
        more = await written(shelf_of(log, "w3"), "s1", e="later")
        if forgotten:
            topic_of(log, "s1").compact()
        wanted = [*refs.values(), more["e"]]
        read = await shelf_of(log, "w4").read(wanted)
        assert [read[ref.key] for ref in wanted] == [*texts.values(), "later"]

    run(body)


def test_the_texts_of_one_answer_are_read_in_one_call_and_once() -> None:
    async def body() -> None:
        log = MemoryLog()
        refs = list((await written(shelf_of(log), "s1", a="1", b="2", c="3")).values())
        reader = shelf_of(log, "w2")
        await reader.read(refs)
        assert topic_of(log, "s1").reads == 1
        await reader.read(refs[1:])
        assert topic_of(log, "s1").reads == 1

    run(body)


@pytest.mark.parametrize(("answer", "kept"), [("refused", 0), ("lost", 1), ("late", 0)])
def test_a_text_that_may_not_be_kept_is_written_again(answer: str, kept: int) -> None:
    """The log's answer to an append of texts is lost.

    A result whose text is not surely there is not listed. The second try has a key of its
    own, so that a first one that takes effect late can't change a text that was read.
    """

    async def body() -> None:
        log = MemoryLog()
        shelf = shelf_of(log)
        topic = topic_of(log, "s1")
        topic.answers = [answer]
        assert await shelf.write("s1", [finished("s1", "a", "first")]) is None
        assert len(topic.entries) == kept
        refs = await written(shelf, "s1", a="second")
        topic.catch_up()
        topic.compact()
        assert await shelf_of(log, "w2").read([refs["a"]]) == {refs["a"].key: "second"}

    run(body)


def test_a_text_that_cannot_be_had_is_no_empty_text() -> None:
    async def body() -> None:
        log = MemoryLog()
        refs = await written(shelf_of(log), "s1", a="1")
        reader = shelf_of(log, "w2")
        log.down = True
        with pytest.raises(LogUnavailableError):
            await reader.read(list(refs.values()))
        log.down = False
        with pytest.raises(LogUnavailableError):
            await reader.read([refs["a"]._replace(key="0/x/1")])
        with pytest.raises(LogUnavailableError):
            await reader.read([refs["a"]._replace(offset=9)])

    run(body)


def test_what_is_cached_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(texts_module, "CACHE_BYTES", 200)

    async def body() -> None:
        log = MemoryLog()
        shelf = shelf_of(log)
        refs = {}
        for number in range(20):
            refs.update(await written(shelf, "s1", **{f"i{number}": f"text {number}"}))
        assert 0 < shelf._cached_bytes <= 200
        assert sum(len(packed) for packed in shelf._cache_by_key.values()) == shelf._cached_bytes
        read = await shelf.read(list(refs.values()))
        assert [read[ref.key] for ref in refs.values()] == [f"text {n}" for n in range(20)]

    run(body)


def test_the_texts_of_a_step_are_dropped_and_no_others() -> None:
    async def body() -> None:
        log = MemoryLog()
        shelf = shelf_of(log)
        await written(shelf, "s1", a="1", b="2")
        others = {name: await written(shelf, name, a=name) for name in ("s2", "s3", "s4")}
        assert await shelf.drop("s1")
        assert not (await topic_of(log, "s1").newest(texts_module.key_prefix("s1"))).entries
        for topic in log.topics.values():
            topic.compact()
        reader = shelf_of(log, "w2")
        for name, refs in others.items():
            assert await reader.read(list(refs.values())) == {refs["a"].key: name}

    run(body)


class FakePeers:
    """Other nodes' shelves by incarnation."""

    def __init__(self, shelves: dict[str, TextStore]) -> None:
        self.shelves = shelves

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        shelf = self.shelves.get(incarnation)
        return shelf.cached(keys) if shelf is not None else {}


def test_what_the_log_sheds_is_had_from_the_node_that_wrote_it() -> None:
    """Guards against listed results that can't be read although their writer still has them."""

    async def body() -> None:
        log = MemoryLog()
        writer = shelf_of(log, "inc00001ab")
        refs = await written(writer, "s1", a="text a", b="text b")
        peers = FakePeers({"inc00001": writer})
        reader = TextStore(log, "inc00002cd", Observer("n2"), peers)
        log.down = True
        topic_of(log, "s1").down = True
        read = await reader.read(list(refs.values()))
        assert sorted(read.values()) == ["text a", "text b"]
        stranger = TextStore(log, "inc00003ef", Observer("n3"), FakePeers({}))
        with pytest.raises(LogUnavailableError):
            await stranger.read(list(refs.values()))

    run(body)
