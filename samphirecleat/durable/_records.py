"""Records of the step log, and their encoding as log entries of bounded size.

Every entry has a unique key: a record that is appended again because the response was lost
gets a new key. Reading the newest entry of each key therefore returns the whole history, and
sorting it by offset restores the order of the appends.
"""

import hashlib
import zlib
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import msgspec

from .._decoding import MalformedError, decode_msgpack, decoding

# The log accepts records of up to 262,143 bytes. Half of that leaves room for the key and
# prevents one large text from filling an append.
PART_BYTES: Final = 131_072
_PART_HEADER_BYTES: Final = 4
# Length of the incarnation prefix that begins each writer ID and is therefore part of each key.
INCARNATION_PREFIX_CHARS: Final = 8
# The fastest level; it reduces texts by a third and takes 20 ms per megabyte.
_ZLIB_LEVEL: Final = 1


class RewardSpec(NamedTuple):
    """The call that scores the text of an item."""

    request_id: str
    host: str
    raw_path: str
    body: bytes


class ItemSpec(NamedTuple):
    """One item of a step: a generation and the call that scores it.

    Lengths are in tokens. ``max_tokens`` limits the generated text; ``estimated_tokens`` is the
    trainer's estimate of its length, 0 if there is none.
    """

    item_id: str
    raw_path: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    prompt_tokens: int
    max_tokens: int
    estimated_tokens: int
    group: str
    reward: RewardSpec | None = None


class StepRequest(NamedTuple):
    """A step as submitted by its trainer.

    ``accepted_at_ms`` is the wall-clock time of the accepting node; it only limits how long
    the step is kept. ``workspace`` owns the API key of the submission, "" without a key.
    """

    step_id: str
    host: str
    raw_path: str
    number: int
    model: str
    min_version: int
    target_groups: int
    accepted_at_ms: int
    items: Sequence[ItemSpec]
    workspace: str = ""


class TextRef(NamedTuple):
    """The location of a text: ``entries`` entries of a text topic, starting at ``offset``.

    ``key`` is the key of its entries without the part number. ``packed_bytes`` is the
    compressed size, ``text_bytes`` the length in UTF-8.
    """

    shard: int
    offset: int
    entries: int
    key: str
    packed_bytes: int
    text_bytes: int


class StepAccepted(NamedTuple):
    """A step that has been accepted and must be kept.

    In a large fleet the item specifications are stored separately, at ``items_at``: every node
    folds every step, but only the node that runs it needs the requests to its engines, which
    make up nearly all of its size. In a small fleet ``items`` holds them, which saves a second
    call to the log.

    A step belongs to a ``workspace``, not to an API key: revoking a key does not end its steps.
    """

    step_id: str
    host: str
    raw_path: str
    number: int
    model: str
    min_version: int
    target_groups: int
    accepted_at_ms: int
    item_ids: Sequence[str]
    items_at: TextRef | None
    items: Sequence[ItemSpec] = ()
    workspace: str = ""


def accepted_record(request: StepRequest, items_at: TextRef | None) -> StepAccepted:
    """Return the record of a step; it holds the items itself if ``items_at`` is None."""
    return StepAccepted(
        request.step_id,
        request.host,
        request.raw_path,
        request.number,
        request.model,
        request.min_version,
        request.target_groups,
        request.accepted_at_ms,
        [item.item_id for item in request.items],
        items_at,
        request.items if items_at is None else [],
        request.workspace,
    )


class ItemListed(NamedTuple):
    """The result of an item; ``text`` is None if the item was given up."""

    item_id: str
    versions: Sequence[int]
    score: str
    text: TextRef | None

    @property
    def completed(self) -> bool:
        """Whether the item has a text."""
        return self.text is not None


class ResultsListed(NamedTuple):
    """Results of a step, in the order of their positions.

    The position of a result is its index among all results of the step in the log. Texts are
    stored separately: every node folds every result, but few nodes have to serve a given text.
    """

    step_id: str
    results: Sequence[ItemListed]


class FinishedItem(NamedTuple):
    """The outcome of an item before it is listed; ``text`` is None if it was given up."""

    step_id: str
    item_id: str
    text: str | None
    versions: Sequence[int]
    score: str


class StepEnded(NamedTuple):
    """The trainer has ended a step and needs no further results."""

    step_id: str


class RunnerClaimed(NamedTuple):
    """An incarnation takes over the work of a service.

    The claim is valid only if the claim at offset ``replaces`` (-1: none) is in force at this
    record's place in the log, so a delayed append has no effect. The offset of this record
    is the fencing number of the orders that the runner issues.
    """

    service: str
    node_id: str
    incarnation: str
    replaces: int


Record = StepAccepted | ResultsListed | StepEnded | RunnerClaimed
_TYPE_BY_TAG: Final[dict[int, type[Any]]] = {
    1: StepAccepted,
    2: ResultsListed,
    3: StepEnded,
    4: RunnerClaimed,
}
_TAG_BY_TYPE: Final = {kind: tag for tag, kind in _TYPE_BY_TAG.items()}
_DECODER_BY_TAG: Final = {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _TYPE_BY_TAG.items()}


def encode_record(record: Record) -> bytes:
    """Return the encoded form of a record: its type tag and its compressed content."""
    return bytes([_TAG_BY_TYPE[type(record)]]) + compress(msgspec.msgpack.encode(record))


def compress(content: bytes) -> bytes:
    """Return content in the compressed form that is written to the log."""
    return zlib.compress(content, _ZLIB_LEVEL)


def decompress(blob: bytes) -> bytes:
    """Return the content of a compressed blob.

    :raises MalformedError: when the blob is not valid compressed data.
    """
    with decoding("compressed blob"):
        return zlib.decompress(blob)


def decode_record(blob: bytes) -> Record:
    """Decode a record.

    :raises MalformedError: when the tag is unknown or the content cannot be decoded.
    """
    decoder = _DECODER_BY_TAG.get(blob[0]) if blob else None
    if decoder is None:
        raise MalformedError(f"unknown record tag {blob[:1]!r}")
    record: Record = decode_msgpack(decoder, decompress(blob[1:]))
    return record


def split_record(record: Record, key: str) -> Sequence[tuple[str, bytes]]:
    """Split a record into log entries under ``key``, which must not have been used before."""
    return split_blob(encode_record(record), key)


def split_blob(blob: bytes, key: str) -> Sequence[tuple[str, bytes]]:
    """Split a blob into log entries under ``key``, which must not have been used before."""
    chunks = [blob[at : at + PART_BYTES] for at in range(0, len(blob), PART_BYTES)]
    count = len(chunks)
    return [
        (f"{key}.{part}", part.to_bytes(2) + count.to_bytes(2) + chunk)
        for part, chunk in enumerate(chunks)
    ]


def join_blob(values: Sequence[bytes]) -> bytes:
    """Join the values of the entries of one blob, given in the order of their parts."""
    return b"".join(value[_PART_HEADER_BYTES:] for value in values)


class RecordAssembler:
    """Reassembles records from entries in offset order.

    A record takes effect at the offset of its last part. Parts of records that were never
    completed stay in memory; they are few and small compared with the other state.
    """

    def __init__(self) -> None:
        """Create an assembler without pending parts."""
        self._parts: dict[str, dict[int, bytes]] = {}

    def add(self, key: str, value: bytes) -> Record | None:
        """Add an entry; return the record that it completes, if any.

        :raises MalformedError: when the completed record cannot be decoded.
        """
        if len(value) <= _PART_HEADER_BYTES:
            return None
        part, count = int.from_bytes(value[:2]), int.from_bytes(value[2:_PART_HEADER_BYTES])
        if count <= 1:
            return decode_record(value[_PART_HEADER_BYTES:])
        name = key.rpartition(".")[0]
        parts = self._parts.setdefault(name, {})
        parts[part] = value[_PART_HEADER_BYTES:]
        if len(parts) < count:
            return None
        del self._parts[name]
        return decode_record(b"".join(parts[at] for at in range(count)))


def key_prefix(subject: str) -> str:
    """Return the key prefix of a step or service: a hash of fixed length, whatever the ID."""
    return hashlib.blake2b(subject.encode(), digest_size=10).hexdigest()


def subject_prefix(key: str) -> str:
    """Return the part of an entry's key that :func:`key_prefix` made of its subject."""
    return key.partition("/")[0]


def writer_incarnation(key: str) -> str:
    """Return the incarnation prefix of an entry's writer, "" if the key has another format."""
    parts = key.split("/")
    return incarnation_prefix(parts[1]) if len(parts) > 1 else ""


def incarnation_prefix(writer: str) -> str:
    """Return the prefix that an incarnation shares with the IDs of its writers."""
    return writer[:INCARNATION_PREFIX_CHARS]
