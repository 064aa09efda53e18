"""The request key table and the answers that it retains."""

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


def make_table(max_keys: int = 100, max_bytes: int = 1_000_000) -> RequestKeyTable:
    store = AnswerStore(max_bytes)
    return RequestKeyTable("n1", "aa", store, epoch_s=EPOCH_S, max_keys=max_keys, now_s=0.0)


def key(unique: str = "k", epoch: int = 0) -> RequestKey:
    return RequestKey("n1", "aa", epoch, unique)


def start(table: RequestKeyTable, request_key: RequestKey, now_s: float = 0.0) -> AnswerLog:
    binding = table.bind(request_key, BODY, now_s)
    assert isinstance(binding, StartHere)
    return binding.answer


async def read_all(answer: AnswerLog, deadline_at_s: float | None = None) -> Sequence[AnswerLine]:
    return [line async for line in answer.read(deadline_at_s)]


@pytest.mark.parametrize(
    ("epoch", "now_s", "kind", "ran"),
    [
        (0, 2 * EPOCH_S, ErrorKind.KEY_EXPIRED, Ran.UNKNOWN),
        (3, 0.0, ErrorKind.KEY_MALFORMED, Ran.UNKNOWN),
    ],
)
def test_only_keys_of_the_current_and_previous_epoch_start(
    epoch: int, now_s: float, kind: ErrorKind, ran: Ran
) -> None:
    with pytest.raises(RequestError) as caught:
        make_table().bind(key(epoch=epoch), BODY, now_s)
    assert (caught.value.kind, caught.value.ran) == (kind, ran)


def test_running_request_is_joined_after_its_key_expired() -> None:
    """A run outlasts the epochs in which its key could start it.

    A retry with that key must get the answer of the run and not KEY_EXPIRED.
    """
    table = make_table()
    answer = start(table, key())
    binding = table.bind(key(), BODY, 10 * EPOCH_S)
    assert isinstance(binding, JoinHere)
    assert binding.answer is answer


def test_key_of_an_ended_request_is_kept_one_epoch_longer_than_it_may_start() -> None:
    table = make_table()
    start(table, key()).close()
    assert isinstance(table.bind(key(), BODY, 2.5 * EPOCH_S), JoinHere)
    with pytest.raises(RequestError, match="too old"):
        table.bind(key(), BODY, 3 * EPOCH_S)
    assert len(table) == 0


def test_key_with_a_different_body_is_refused_as_unknown_whether_run() -> None:
    table = make_table()
    start(table, key())
    with pytest.raises(RequestError) as caught:
        table.bind(key(), {"prompt": "another quote"}, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_CONFLICT, Ran.UNKNOWN)


def test_refused_key_never_starts_when_a_delayed_copy_arrives() -> None:
    """A full table refuses a request as not run while a copy of it is in transit.

    The copy arrives when there is room again. If it ran, the caller would have been
    told "not run" about a request that ran.
    """
    table = make_table(max_keys=1)
    answer = start(table, key("first"))
    with pytest.raises(RequestError):
        table.bind(key("second"), BODY, 0.0)
    assert table.refuse(key("second"), 0.0) is Ran.NO
    answer.close()
    with pytest.raises(RequestError) as caught:
        table.bind(key("second"), BODY, EPOCH_S)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_CONFLICT, Ran.NO)


def test_full_table_refuses_new_keys_and_keeps_old_ones() -> None:
    """More keys arrive within two epochs than the table may hold.

    If an old key were evicted, a copy of its request would run a second time.
    """
    table = make_table(max_keys=2)
    for unique in ("first", "second"):
        start(table, key(unique)).close()
    with pytest.raises(RequestError) as caught:
        table.bind(key("third"), BODY, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_TABLE_FULL, Ran.NO)
    assert caught.value.retry_after_s > 0.0
    assert isinstance(table.bind(key("first"), BODY, 0.0), JoinHere)


def test_started_key_is_never_reported_as_not_run() -> None:
    """A request that ran is sent again with an invalid header, which is refused."""
    table = make_table()
    start(table, key()).close()
    assert table.refuse(key(), 0.0) is Ran.UNKNOWN
    assert table.refuse(RequestKey("n2", "bb", 0, "k"), 0.0) is Ran.UNKNOWN


def test_answers_above_the_byte_limit_are_discarded_and_their_keys_kept() -> None:
    """Many large answers end within the time for which their keys are kept.

    Without a limit in bytes the node would run out of memory. Without the keys it
    would run retried requests a second time.
    """

    async def scenario() -> None:
        table = make_table(max_bytes=10_000)
        for number in range(5):
            answer = start(table, key(str(number)))
            answer.add({"text": "x" * 3_000, "end": "stop"})
            answer.close()
        first = table.bind(key("0"), BODY, 0.0)
        last = table.bind(key("4"), BODY, 0.0)
        assert isinstance(first, JoinHere)
        assert isinstance(last, JoinHere)
        assert len(await read_all(last.answer)) == 1
        with pytest.raises(RequestError) as caught:
            await read_all(first.answer)
        assert (caught.value.kind, caught.value.ran) == (ErrorKind.ANSWER_DISCARDED, Ran.YES)

    asyncio.run(scenario())


def test_open_answers_are_never_discarded_and_block_new_requests_above_the_limit() -> None:
    table = make_table(max_bytes=1_000)
    answer = start(table, key("running"))
    answer.add({"text": "x" * 2_000})
    with pytest.raises(RequestError) as caught:
        table.bind(key("next"), BODY, 0.0)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_TABLE_FULL, Ran.NO)
    assert answer.size_bytes > 2_000


def test_slow_reader_and_late_reader_get_the_same_answer() -> None:
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


def test_reader_deadline_does_not_affect_the_run() -> None:
    async def scenario() -> None:
        answer = AnswerStore(1_000_000).create_log()
        with pytest.raises(RequestError) as caught:
            await read_all(answer, asyncio.get_running_loop().time())
        assert (caught.value.kind, caught.value.ran) == (ErrorKind.DEADLINE_EXCEEDED, Ran.UNKNOWN)
        answer.add({"end": "stop"})
        answer.close()
        assert len(await read_all(answer)) == 1

    asyncio.run(scenario())


def test_store_size_is_zero_after_all_answers_are_released() -> None:
    store = AnswerStore(100_000)
    logs = [store.create_log() for _ in range(3)]
    for log in logs:
        log.add({"text": "x" * 100, "spans": [Span(1, 1)]})
        log.add({"text": "y" * 100, "spans": [Span(1, 1)], "end": "stop"})
        log.close()
    for log in logs:
        store.release(log)
    assert store.total_bytes == 0


def test_refused_keys_have_no_false_negatives_and_few_false_positives() -> None:
    refused = RefusedKeys()
    added = [f"n1.aa.0.{number}" for number in range(20_000)]
    for text in added:
        refused.add(text)
    assert all(text in refused for text in added)
    false_positives = sum(f"n1.aa.0.other{number}" in refused for number in range(20_000))
    assert false_positives < 60


@pytest.mark.parametrize(
    "text", ["", "a", "n1.aa.0", "n1.aa.x.k", "n1.AA.0.k", "n1.aa.0.k.k", "n1.aa.0." + "k" * 65]
)
def test_malformed_keys_are_refused(text: str) -> None:
    with pytest.raises(RequestError) as caught:
        parse_key(text)
    assert (caught.value.kind, caught.value.ran) == (ErrorKind.KEY_MALFORMED, Ran.NO)
