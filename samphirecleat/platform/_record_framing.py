"""How the platform's store frames records, keys and its short answers."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

from ._answers import RESPONSE_ERRORS

_LENGTH_BYTES: Final = 4


def join_records(records: Iterable[bytes]) -> bytes:
    """Return the body that carries records, each behind its length."""
    return b"".join(len(record).to_bytes(_LENGTH_BYTES) + record for record in records)


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a body.

    :raises ValueError: when the last one is cut short.
    """
    at = 0
    while at < len(body):
        size = int.from_bytes(body[at : at + _LENGTH_BYTES])
        at += _LENGTH_BYTES
        if at + size > len(body):
            raise ValueError("a record is cut short")
        yield body[at : at + size]
        at += size


def join_key(key: str, value: bytes) -> bytes:
    """Return the record that carries a value under a key."""
    encoded = key.encode()
    return bytes([len(encoded)]) + encoded + value


def split_key(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a record.

    :raises IndexError: when it has no key.
    :raises UnicodeDecodeError: when the key is no text.
    """
    size = record[0]
    return record[1 : 1 + size].decode(), record[1 + size :]


def offset_of(body: bytes) -> int:
    """Return the offset that an append was answered with, -1 for an answer without one."""
    return _number(body, "offset")


def first_kept(body: bytes) -> int:
    """Return the first offset that is still kept, -1 for an answer without one."""
    return _number(body, "first")


def _number(body: bytes, name: str) -> int:
    try:
        number: Any = msgspec.json.decode(body)[name]
        return int(number)
    except RESPONSE_ERRORS:
        return -1
