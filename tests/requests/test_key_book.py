"""The key book and the answers that it keeps."""

import asyncio
from collections.abc import Sequence

import pytest

from samphirecleat.errors import ErrorKind, Ran, RequestError
from samphirecleat.requests import (
    AnswerLine,
    AnswerLog,
    AnswerStore,
    JoinHere,
    RefusedKeys,
    RequestKey,
    RequestKeyTable,
    Span,
    StartHere,
    parse_key,
)

EPOCH_S = 60.0
BODY = {"prompt": "a quote"}


def make_book(max_keys: int = 100, max_bytes: int = 1_000_000) -> RequestKeyTable:
    store = AnswerStore(max_bytes)
    return RequestKeyTable("n1", "aa", store, epoch_s=EPOCH_S, max_keys=max_keys, now_s=0.0)


def key(unique: str = "k", epoch: int = 0) -> RequestKey:
    return RequestKey("n1", "aa", epoch, unique)


def start(book: RequestKeyTable, a_key: RequestKey, now_s: float = 0.0) -> AnswerLog:
    binding = book.bind(a_key, BODY, now_s)
    assert isinstance(binding, StartHere)
    return binding.answer


async def read_all(answer: AnswerLog, give_up_at_s: float | None = None) -> Sequence[AnswerLine]:
    return [line async for line in answer.read(give_up_at_s)]


@pytest.mark.parametrize(
    ("epoch", "now_s", "kind", "ran"),
    [
        (0, 2 * EPOCH_S, ErrorKind.KEY_EXPIRED, Ran.UNKNOWN),
        (3, 0.0, ErrorKind.KEY_MALFORMED, Ran.UNKNOWN),
    ],
)
def test_only_keys_of_the_present_and_previous_epoch_start(
    epoch: int, now_s: float, kind: ErrorKind, ran: Ran
) -> None:
    with pytest.raises(RequestError) as caught:
        make_book().bind(key(epoch=epoch), BODY, now_s)
    assert (caught.value.kind, caught.value.ran) == (kind, ran)


def test_a_running_key_is_joined_long_after_its_epoch() -> None:
    """A run outlives the epochs in which its key could start.

    A caller who asks again with the key must get that run's answer, not a word
    that it is too old to say.
    """
    book = make_book()
    answer = start(book, key())
    binding = book.bind(key(), BODY, 10 * EPOCH_S)
    assert isinstance(binding, JoinHere)
    assert binding.answer is answer


def test_an_ended_key_is_kept_an_epoch_longer_than_it_may_start() -> None:
    book = make_book()
    start(book, key()).close()
    assert isinstance(book.bind(key(), BODY, 2.5 * EPOCH_S), JoinHere)
    with pytest.raises(RequestError, match="too old"):
        book.bind(key(), BODY, 3 * EPOCH_S)
    assert len(book) == 0


def test_a_key_with_another_body_is_refused_without_a_word_on_its_run() -> None:
    book = make_book()
    start(book, key())
    with pytest.raises(RequestError) as caught:
        book.bind(key(), {"prompt": "another quote"}, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_CONFLICT, Ran.UNKNOWN)


def test_a_refused_key_never_starts_however_late_its_copy_comes() -> None:
    """A full table refuses a request as not run while a copy of it is on its way.

    When the copy arrives there is room again. If it ran, the caller would hold a
    refusal of a request that ran.
    """
    book = make_book(max_keys=1)
    answer = start(book, key("first"))
    with pytest.raises(RequestError):
        book.bind(key("second"), BODY, 0.0)
    assert book.refuse(key("second"), 0.0) is Ran.NO
    answer.close()
    with pytest.raises(RequestError) as caught:
        book.bind(key("second"), BODY, EPOCH_S)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_CONFLICT, Ran.NO)


def test_a_full_table_refuses_new_keys_and_keeps_the_old() -> None:
    """More keys come within two epochs than the table may hold.

    If an old one gave way, a copy of it would run a second time.
    """
    book = make_book(max_keys=2)
    for unique in ("first", "second"):
        start(book, key(unique)).close()
    with pytest.raises(RequestError) as caught:
        book.bind(key("third"), BODY, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_TABLE_FULL, Ran.NO)
    assert caught.value.retry_after_s > 0.0
    assert isinstance(book.bind(key("first"), BODY, 0.0), JoinHere)


def test_a_started_key_is_never_called_not_run() -> None:
    """A caller asks again for a request that ran, with a header that is refused."""
    book = make_book()
    start(book, key()).close()
    assert book.refuse(key(), 0.0) is Ran.UNKNOWN
    assert book.refuse(RequestKey("n2", "bb", 0, "k"), 0.0) is Ran.UNKNOWN


def test_answers_are_discarded_by_bytes_and_their_keys_stay() -> None:
    """Many large answers end within the time for which their keys are kept.

    Without a bound in bytes the node would run out of memory; without the key it
    would run a request again that is asked for again.
    """

    async def scenario() -> None:
        book = make_book(max_bytes=10_000)
        for number in range(5):
            answer = start(book, key(str(number)))
            answer.add({"text": "x" * 3_000, "end": "stop"})
            answer.close()
        first = book.bind(key("0"), BODY, 0.0)
        last = book.bind(key("4"), BODY, 0.0)
        assert isinstance(first, JoinHere)
        assert isinstance(last, JoinHere)
        assert len(await read_all(last.answer)) == 1
        with pytest.raises(RequestError) as caught:
            await read_all(first.answer)
        assert (caught.value.kind, caught.value.ran) == (ErrorKind.ANSWER_DISCARDED, Ran.YES)

    asyncio.run(scenario())


def test_running_answers_are_never_discarded_and_nothing_new_starts_beside_them() -> None:
    book = make_book(max_bytes=1_000)
    answer = start(book, key("running"))
    answer.add({"text": "x" * 2_000})
    with pytest.raises(RequestError) as caught:
        book.bind(key("next"), BODY, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_TABLE_FULL, Ran.NO)
    assert answer.size_bytes > 2_000


def test_a_slow_reader_and_a_late_joiner_get_the_same_answer() -> None:
    async def scenario() -> None:
        answer = AnswerStore(1_000_000).create_log()
        reader = answer.read()
        answer.add({"text": "a ", "spans": [Span(1, 1)]})
        first = await anext(reader)
        answer.add({"text": "b ", "spans": [Span(1, 1)]})
        answer.add({"text": "c", "spans": [Span(2, 1)], "end": "stop"})
        answer.close()
        rest = [line async for line in reader]
        (joined,) = await read_all(answer)
        assert "".join(str(line["text"]) for line in [first, *rest]) == joined["text"] == "a b c"
        assert joined["spans"] == [Span(1, 2), Span(2, 1)]
        assert joined["end"] == "stop"

    asyncio.run(scenario())


def test_a_reader_gives_up_at_its_own_deadline_and_the_run_goes_on() -> None:
    async def scenario() -> None:
        answer = AnswerStore(1_000_000).create_log()
        with pytest.raises(RequestError) as caught:
            await read_all(answer, asyncio.get_running_loop().time())
        assert (caught.value.kind, caught.value.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
        answer.add({"end": "stop"})
        answer.close()
        assert len(await read_all(answer)) == 1

    asyncio.run(scenario())


def test_the_store_counts_nothing_once_all_is_forgotten() -> None:
    store = AnswerStore(100_000)
    logs = [store.create_log() for _ in range(3)]
    for log in logs:
        log.add({"text": "x" * 100, "spans": [Span(1, 1)]})
        log.add({"text": "y" * 100, "spans": [Span(1, 1)], "end": "stop"})
        log.close()
    for log in logs:
        store.release(log)
    assert store.held_bytes == 0


def test_refused_keys_are_always_found_again() -> None:
    refused = RefusedKeys()
    added = [f"n1.aa.0.{number}" for number in range(20_000)]
    for text in added:
        refused.add(text)
    assert all(text in refused for text in added)
    mistaken = sum(f"n1.aa.0.other{number}" in refused for number in range(20_000))
    assert mistaken < 60


@pytest.mark.parametrize(
    "text", ["", "a", "n1.aa.0", "n1.aa.x.k", "n1.AA.0.k", "n1.aa.0.k.k", "n1.aa.0." + "k" * 65]
)
def test_malformed_keys_are_refused(text: str) -> None:
    with pytest.raises(RequestError) as caught:
        parse_key(text)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_MALFORMED, Ran.NO)
