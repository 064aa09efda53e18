"""Encoding of records, record keys and short JSON responses of the platform's store."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

from ._answers import RESPONSE_ERRORS

_LENGTH_BYTES: Final = 4


def encode_records(records: Iterable[bytes]) -> bytes:
    """Return a request body of records, each preceded by its length."""
    return b"".join(len(record).to_bytes(_LENGTH_BYTES) + record for record in records)


def decode_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a response body.

    :raises ValueError: when the last record is truncated.
    """
    position = 0
    while position < len(body):
        size = int.from_bytes(body[position : position + _LENGTH_BYTES])
        position += _LENGTH_BYTES
        if position + size > len(body):
            raise ValueError("truncated record")
        yield body[position : position + size]
        position += size


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return the record of a key and a value."""
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def decode_keyed_record(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a record.

    :raises IndexError: when the record is empty.
    :raises UnicodeDecodeError: when the key is not valid UTF-8.
    """
    size = record[0]
    return record[1 : 1 + size].decode(), record[1 + size :]


def parse_append_offset(body: bytes) -> int:
    """Return the offset in the response to an append, -1 if there is none."""
    return _parse_integer(body, "offset")


def parse_first_offset(body: bytes) -> int:
    """Return the first retained offset in a response, -1 if there is none."""
    return _parse_integer(body, "first")


def _parse_integer(body: bytes, name: str) -> int:
    try:
        number: Any = msgspec.json.decode(body)[name]
        return int(number)
    except RESPONSE_ERRORS:
        return -1
