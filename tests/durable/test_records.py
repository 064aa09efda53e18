"""Tests of the record encoding: splitting into entries, reassembly and malformed input."""

import pytest

from samphirecleat._decoding import MalformedError
from samphirecleat.durable import ItemListed, ResultsListed
from samphirecleat.durable._records import (
    PART_BYTES,
    RecordAssembler,
    decode_record,
    encode_record,
    key_prefix,
    split_record,
)

from .steps import accepted, listed, step


def incompressible_text(size: int) -> str:
    """Return a text that hardly compresses."""
    words, state = [], 12345
    while len(words) < size:
        state = (state * 1103515245 + 12345) % (1 << 31)
        words.append(chr(33 + (state >> 8) % 90))
    return "".join(words)


@pytest.mark.parametrize(
    "record", [accepted(step("s", 6, reward=True)), listed("s", "i", "äöü \n x")]
)
def test_record_round_trip(record: object) -> None:
    assert decode_record(encode_record(record)) == record  # type: ignore[arg-type]


def test_large_record_is_split_and_completed_by_its_last_part() -> None:
    record = ResultsListed("s", [ItemListed("i", [1, 2], incompressible_text(400_000), None)])
    entries = split_record(record, "k/1")
    assert len(entries) > 2
    assert all(len(value) <= PART_BYTES + 4 for _key, value in entries)
    assembler = RecordAssembler()
    completed = [assembler.add(key, value) for key, value in entries]
    assert completed[:-1] == [None] * (len(entries) - 1)
    assert completed[-1] == record


@pytest.mark.parametrize(
    "blob", [b"", b"\x09abc", b"\x02not compressed", encode_record(listed("s", "i"))[:-4]]
)
def test_malformed_record_is_rejected(blob: bytes) -> None:
    with pytest.raises(MalformedError):
        decode_record(blob)


def test_key_prefix_has_fixed_length() -> None:
    assert len(key_prefix("x" * 100_000)) == 20
    assert key_prefix("a") != key_prefix("b")
