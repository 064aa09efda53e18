"""Records of the usage topic: counts added by a node, and the final counts of a window.

Each record has a unique key that is never reused. A record whose response was lost is written again
with the same key and counts only once.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec

from .._decoding import MalformedError, decode_msgpack, decoding

WindowCounts = Mapping[str, int]
"""Number of calls started in a window, by workspace."""


class CountsAdded(NamedTuple):
    """Calls started through one node since its previous record."""

    window: int
    counts: WindowCounts


class CountsFinalized(NamedTuple):
    """The final counts of a window for its report; only the first record of a window is valid."""

    window: int
    counts: WindowCounts


UsageRecord = CountsAdded | CountsFinalized
_RECORD_TYPES: Final[Mapping[str, type[Any]]] = {"counts": CountsAdded, "report": CountsFinalized}
_NAMES_BY_TYPE: Final = {record_type: name for name, record_type in _RECORD_TYPES.items()}
_DECODERS: Final = {
    name: msgspec.msgpack.Decoder(record_type) for name, record_type in _RECORD_TYPES.items()
}


def encode_entry(record: UsageRecord, unique_id: str) -> tuple[str, bytes]:
    """Return the key and the value of a record; ``unique_id`` must never be reused."""
    key = f"{_NAMES_BY_TYPE[type(record)]}/{record.window}/{unique_id}"
    return key, msgspec.msgpack.encode(record)


def decode_entry(key: str, value: bytes) -> UsageRecord:
    """Return the record of an entry.

    :raises MalformedError: when the entry is malformed.
    """
    decoder = _DECODERS.get(key.partition("/")[0])
    if decoder is None:
        raise MalformedError(f"unknown record type in key {key!r}")
    with decoding(f"key {key!r}"):
        record: UsageRecord = decode_msgpack(decoder, value)
    return record


def deletion_entries(keys: Sequence[str]) -> Sequence[tuple[str, bytes]]:
    """Return the entries that delete ``keys``."""
    return [(key, b"") for key in keys]
