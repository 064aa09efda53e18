"""What is written to the step log, and how one record becomes entries of bounded size.

Every entry has a key of its own that is never written twice: a record that is sent again
because its answer was lost gets a new key. So "the newest entry of each key" is the whole
history, and sorting it by offset gives the order in which it was appended.
"""

import hashlib
import zlib
from collections.abc import Sequence
from typing import Any, Final, NamedTuple

import msgspec

# The log takes records of up to 262,143 bytes; half of that leaves room for the key and
# keeps one large text from filling an append.
PART_BYTES: Final = 131_072
_PART_HEADER_BYTES: Final = 4
# A writer's id begins with its incarnation, of which this much stands in keys.
INCARNATION_PREFIX_CHARS: Final = 8
# Texts shrink by a third at the fastest level, which takes 20 ms a megabyte.
_ZLIB_LEVEL: Final = 1


class RewardSpec(NamedTuple):
    """The call that scores an item's text."""

    request_id: str
    host: str
    raw_path: str
    body: bytes


class ItemSpec(NamedTuple):
    """One item of a step: a generation, and the call that scores it.

    Lengths are in tokens: of the prompt, the most that may be made, and the trainer's
    estimate of what will be, 0 for none.
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

    @property
    def expected_tokens(self) -> int:
        """The trainer's estimate of what will be made, bounded by the most that may be."""
        if self.estimated_tokens <= 0:
            return self.max_tokens
        return min(self.max_tokens, self.estimated_tokens)


class StepRequest(NamedTuple):
    """A step as its trainer submits it.

    ``accepted_at_ms`` is the accepting node's time of day and only bounds how long
    the step is kept. ``workspace`` is whose key submitted it, "" without a key.
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
    """Where a text stands: ``entries`` entries from ``offset`` on of a text topic.

    ``key`` is the key of its entries without their number. ``packed_bytes`` is its size as
    written, ``text_bytes`` its length in UTF-8.
    """

    shard: int
    offset: int
    entries: int
    key: str
    packed_bytes: int
    text_bytes: int


class StepAccepted(NamedTuple):
    """A step that the system must keep from now on.

    In a large fleet what its items are made from stands apart, at ``items_at``: every node folds
    every step, and only the node that runs it needs what its engines are sent, which is nearly
    all of its size. In a small one ``items`` holds it, and no second call to the log is needed.

    A step belongs to a ``workspace`` and not to a key: one that is taken away ends no step.
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
    """Return the record of a step whose items are kept at ``items_at``, or in it without that."""
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
    """The result of an item; ``text`` is None for one that was given up."""

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

    The position of a result is its place among all such records in the log. Their texts
    stand elsewhere: every node folds every result, and few nodes are asked for any one text.
    """

    step_id: str
    results: Sequence[ItemListed]


class FinishedItem(NamedTuple):
    """The outcome of an item before it is written; ``text`` is None if it was given up."""

    step_id: str
    item_id: str
    text: str | None
    versions: Sequence[int]
    score: str


class StepEnded(NamedTuple):
    """The trainer wants nothing more of a step."""

    step_id: str


class RunnerClaimed(NamedTuple):
    """An incarnation takes over the work of a service.

    It counts only if the claim at the offset ``replaces`` (-1: none) is in force where it
    stands in the log, so that one which takes effect late changes nothing. The offset of
    this record is the fencing number of the orders that it gives.
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


class RecordFormatError(Exception):
    """An entry of the step log that this version does not understand."""


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record."""
    return bytes([_TAG_BY_TYPE[type(record)]]) + compress(msgspec.msgpack.encode(record))


def compress(content: bytes) -> bytes:
    """Return content in the compressed form in which it is written to the log."""
    return zlib.compress(content, _ZLIB_LEVEL)


def decompress(blob: bytes) -> bytes:
    """Return the content of a compressed form.

    :raises RecordFormatError: when it is none.
    """
    try:
        return zlib.decompress(blob)
    except zlib.error as error:
        raise RecordFormatError(str(error)) from error


def decode_record(blob: bytes) -> Record:
    """Return the record of some bytes.

    :raises RecordFormatError: when they hold none.
    """
    decoder = _DECODER_BY_TAG.get(blob[0]) if blob else None
    if decoder is None:
        raise RecordFormatError(f"tag {blob[:1]!r}")
    try:
        record: Record = decoder.decode(decompress(blob[1:]))
    except msgspec.MsgspecError as error:
        raise RecordFormatError(str(error)) from error
    return record


def split_record(record: Record, key: str) -> Sequence[tuple[str, bytes]]:
    """Return the entries that carry a record under ``key``, which must be new."""
    return split_blob(encode_record(record), key)


def split_blob(blob: bytes, key: str) -> Sequence[tuple[str, bytes]]:
    """Return the entries that carry some bytes under ``key``, which must be new."""
    chunks = [blob[at : at + PART_BYTES] for at in range(0, len(blob), PART_BYTES)]
    count = len(chunks)
    return [
        (f"{key}.{part}", part.to_bytes(2) + count.to_bytes(2) + chunk)
        for part, chunk in enumerate(chunks)
    ]


def join_blob(values: Sequence[bytes]) -> bytes:
    """Return the bytes that the values of consecutive entries carry."""
    return b"".join(value[_PART_HEADER_BYTES:] for value in values)


class RecordAssembler:
    """Puts records together again from entries in offset order.

    A record counts at the offset of its last part. Parts whose record was never
    finished wait in vain; they are few, and small beside what is kept anyway.
    """

    def __init__(self) -> None:
        """Start without any part."""
        self._parts: dict[str, dict[int, bytes]] = {}

    def add(self, key: str, value: bytes) -> Record | None:
        """Take an entry; return the record that it completes, if any.

        :raises RecordFormatError: for an entry that is not understood.
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
    """Return a short, fixed-length part of a key for an id of any length."""
    return hashlib.blake2b(subject.encode(), digest_size=10).hexdigest()


def writer_incarnation(key: str) -> str:
    """Return the beginning of the incarnation that wrote an entry, "" for a key of another form."""
    parts = key.split("/")
    return incarnation_prefix(parts[1]) if len(parts) > 1 else ""


def incarnation_prefix(writer: str) -> str:
    """Return what the ids of an incarnation and of its writers have in common: their beginning."""
    return writer[:INCARNATION_PREFIX_CHARS]
