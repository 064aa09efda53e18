"""What is written of usage: counts that a node adds, and the figures of a window's report.

Each record has a key of its own that is never used for another one. A record whose answer was lost
is sent again under the same key and counts once.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import msgspec

WindowCounts = Mapping[str, int]
"""Calls that began to run in a window, by workspace."""


class CountsAdded(NamedTuple):
    """Calls that began at targets by way of one node, beyond what it had written before."""

    window: int
    counts: WindowCounts


class ReportFixed(NamedTuple):
    """The figures of a window's report; the first such record of a window holds for good."""

    window: int
    counts: WindowCounts


UsageRecord = CountsAdded | ReportFixed
_KINDS: Final[Mapping[str, type[Any]]] = {"counts": CountsAdded, "report": ReportFixed}
_NAME_OF: Final = {kind: name for name, kind in _KINDS.items()}
_DECODERS: Final = {name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()}


class UsageFormatError(Exception):
    """An entry of the usage topic that is not understood; the text says which."""


def encode_entry(record: UsageRecord, unique: str) -> tuple[str, bytes]:
    """Return the key and the value that carry a record; ``unique`` is never used again."""
    key = f"{_NAME_OF[type(record)]}/{record.window}/{unique}"
    return key, msgspec.msgpack.encode(record)


def decode_entry(key: str, value: bytes) -> UsageRecord:
    """Return the record of an entry.

    :raises UsageFormatError: when it holds none.
    """
    decoder = _DECODERS.get(key.partition("/")[0])
    if decoder is None:
        raise UsageFormatError(f"key {key!r}")
    try:
        record: UsageRecord = decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise UsageFormatError(f"key {key!r}: {error}") from error
    return record


def drop_entries(keys: Sequence[str]) -> Sequence[tuple[str, bytes]]:
    """Return the entries that drop some keys."""
    return [(key, b"") for key in keys]
