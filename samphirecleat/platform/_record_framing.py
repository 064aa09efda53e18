"""Encoding of records, record keys and short JSON responses of the platform's store."""

from base64 import b64decode
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from .._decoding import (
    MalformedError,
    check_integer,
    decode_json,
    decode_json_with_any_text,
    decoding,
)
from ..durable import LogEntry

_LENGTH_BYTES: Final = 4
# An entry whose key can't be read. No reader finds anything under this key, and the entry deletes
# nothing.
UNREADABLE_KEY: Final = ""


class NewestPage(NamedTuple):
    """A page of the newest entries; ``last_key`` is where the next page begins, "" if unknown."""

    entries: Sequence[LogEntry]
    unreadable_count: int
    end: int
    truncated: bool
    last_key: str


def encode_records(records: Iterable[bytes]) -> bytes:
    """Return a request body of records, each preceded by its length."""
    return b"".join(len(record).to_bytes(_LENGTH_BYTES) + record for record in records)


def decode_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a response body.

    :raises MalformedError: when the last record is truncated.
    """
    position = 0
    while position < len(body):
        size = int.from_bytes(body[position : position + _LENGTH_BYTES])
        position += _LENGTH_BYTES
        if position + size > len(body):
            raise MalformedError("truncated record")
        yield body[position : position + size]
        position += size


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return the record of a key and a value."""
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def decode_keyed_record(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a record.

    :raises MalformedError: when the record is empty, or its key is incomplete or not valid UTF-8.
    """
    with decoding("record"):
        size = record[0]
        if len(record) <= size:
            raise MalformedError(f"expected a key of {size} bytes, got {len(record) - 1}")
        return record[1 : 1 + size].decode(), record[1 + size :]


def decode_newest_page(body: bytes) -> NewestPage:
    """Return a page of the newest entries; unreadable rows are left out and counted.

    :raises MalformedError: when the page as a whole is malformed.
    """
    with decoding("page"):
        page: Mapping[str, Any] = decode_json_with_any_text(body)
        rows = page["items"]
        entries = []
        for row in rows:
            try:
                entries.append(_decode_row(row))
            except MalformedError:
                continue
        return NewestPage(
            entries,
            len(rows) - len(entries),
            check_integer(page["end"], "end"),
            bool(page["truncated"]),
            entries[-1].key if entries else "",
        )


def _decode_row(row: Any) -> LogEntry:
    """Return the entry of a row.

    :raises MalformedError: when the row is malformed or its key is no text.
    """
    with decoding("row"):
        key = row["key"]
        key.encode()
        if "\ufffd" in key:
            raise MalformedError("the key has bytes that are no text")
        value = b64decode(row["value"] or "", validate=True)
        return LogEntry(check_integer(row["offset"], "offset"), key, value)


def parse_append_offset(body: bytes) -> int:
    """Return the offset in the response to an append, -1 if there is none."""
    return _parse_integer(body, "offset")


def parse_first_offset(body: bytes) -> int:
    """Return the first retained offset in a response, -1 if there is none."""
    return _parse_integer(body, "first")


def _parse_integer(body: bytes, name: str) -> int:
    try:
        with decoding("response"):
            return check_integer(decode_json(body)[name], name)
    except MalformedError:
        return -1
