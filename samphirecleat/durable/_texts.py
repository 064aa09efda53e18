"""Stores result texts in topics separate from the step log; they are read on request.

A fleet generates one megabyte of text per second, and every node folds every step. If the step
log held the texts, each node would read all of them continuously and, after a power loss, all at
once before it could serve requests. From a few dozen nodes on, that exceeds the bandwidth of
the store.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise
from typing import Final

from .._decoding import MalformedError, decoding
from ..observe import Observer
from ._ports import AppendOutcome, HistoryGoneError, KeyedLog, LogUnavailableError, PeerTexts
from ._records import (
    FinishedItem,
    TextRef,
    compress,
    decompress,
    join_blob,
    key_prefix,
    split_blob,
    writer_incarnation,
)

# The log processes the appends of a topic one at a time; with several topics, the appends of
# different steps rarely wait for each other.
SHARDS: Final = 8
# Size of a node's cache of texts that it wrote or read: a few steps, far below its memory.
CACHE_BYTES: Final = 4_000_000
# The texts of one step are adjacent except for interleaved texts of other steps; reading a few of
# these costs less than another call.
MAX_GAP_ENTRIES: Final = 3
# Key and length fields of an entry, to estimate the size of a read.
_ENTRY_OVERHEAD_BYTES: Final = 80


class _NoPeers:
    """No peers; returns no texts."""

    async def fetch(self, incarnation: str, keys: Sequence[str]) -> Mapping[str, bytes]:
        del incarnation, keys
        return {}


NO_PEERS: Final = _NoPeers()


class TextStore:
    """Writes and reads texts; every node has one instance."""

    def __init__(
        self,
        log: KeyedLog,
        writer_id: str,
        observer: Observer,
        peers: PeerTexts = NO_PEERS,
    ) -> None:
        """Create a store whose keys contain ``writer_id``.

        The writer ID must be unique to the process and begin with its incarnation. Texts that
        the log cannot return are requested from ``peers``.
        """
        self._log = log
        self._peers = peers
        self._writer_id = writer_id
        self._observer = observer
        self._logger = observer.log("texts")
        self._next_key = 0
        self._cache_by_key: OrderedDict[str, bytes] = OrderedDict()
        self._cached_bytes = 0

    async def write(
        self, step_id: str, items: Sequence[FinishedItem]
    ) -> Mapping[str, TextRef] | None:
        """Write the texts of items; return their locations by item ID, None unless confirmed."""
        texts = {item.item_id: item.text.encode() for item in items if item.text is not None}
        return await self.write_blobs(step_id, texts)

    async def write_blobs(
        self, step_id: str, contents: Mapping[str, bytes]
    ) -> Mapping[str, TextRef] | None:
        """Write blobs of a step; return their locations by name, None unless confirmed.

        After None the caller writes the blobs again, under new keys: entries that the first
        attempt may have left in the log are never referenced.
        """
        shard = shard_of(step_id)
        entries: list[tuple[str, bytes]] = []
        refs: dict[str, TextRef] = {}
        for name, content in contents.items():
            packed = compress(content)
            key = self._new_key(step_id)
            rows = split_blob(packed, key)
            refs[name] = TextRef(shard, len(entries), len(rows), key, len(packed), len(content))
            entries.extend(rows)
            self._cache(key, packed)
        if not entries:
            return refs
        result = await self._log.append(topic_of(shard), entries)
        if result.outcome is not AppendOutcome.APPENDED or result.offset < 0:
            self._logger.warning(
                "step=%s texts=%d outcome=%s detail=%s",
                step_id,
                len(refs),
                result.outcome.value,
                result.detail,
            )
            return None
        return {name: ref._replace(offset=ref.offset + result.offset) for name, ref in refs.items()}

    async def read(self, refs: Sequence[TextRef]) -> Mapping[str, str]:
        """Return texts by key.

        :raises LogUnavailableError: when one of them cannot be read now.
        """
        blobs = await self.read_blobs(refs)
        try:
            with decoding("text"):
                return {key: blob.decode() for key, blob in blobs.items()}
        except MalformedError as error:
            raise LogUnavailableError(str(error)) from error

    async def read_blobs(self, refs: Sequence[TextRef]) -> Mapping[str, bytes]:
        """Return decompressed blobs by key.

        :raises LogUnavailableError: when one of them cannot be read now.
        """
        # Copied first: caching what is read below may evict these entries.
        found = {
            ref.key: self._cache_by_key[ref.key] for ref in refs if ref.key in self._cache_by_key
        }
        missing = sorted({ref for ref in refs if ref.key not in found})
        self._observer.counters["texts_cached"] += len(refs) - len(missing)
        for group in _group_adjacent(missing):
            found.update(await self._fetch_with_fallback(group))
        lost = [ref.key for ref in refs if ref.key not in found]
        if lost:
            raise LogUnavailableError(f"texts {lost[:3]} are not in the log")
        try:
            blobs = {key: decompress(packed) for key, packed in found.items()}
        except MalformedError as error:
            raise LogUnavailableError(str(error)) from error
        for key, packed in found.items():
            self._cache(key, packed)
        return blobs

    def cached(self, keys: Sequence[str]) -> Mapping[str, bytes]:
        """Return the compressed texts of those keys that are in the cache."""
        return {key: self._cache_by_key[key] for key in keys if key in self._cache_by_key}

    async def _fetch_with_fallback(self, group: Sequence[TextRef]) -> Mapping[str, bytes]:
        """Return texts from the log, or from their writers while the log is unavailable.

        A store that sheds load refuses reads of listed texts that their writers still have cached.
        """
        try:
            return await self._fetch_from_log(group)
        except LogUnavailableError as error:
            found = await self._fetch_from_writers(group)
            if len(found) < len(group):
                raise
            self._observer.counters["texts_from_peers"] += len(found)
            self._logger.info(
                "texts=%d read from their writers; log unavailable: %s", len(found), error
            )
            return found

    async def _fetch_from_writers(self, group: Sequence[TextRef]) -> Mapping[str, bytes]:
        by_writer: dict[str, list[str]] = {}
        for ref in group:
            by_writer.setdefault(writer_incarnation(ref.key), []).append(ref.key)
        found: dict[str, bytes] = {}
        for incarnation, keys in by_writer.items():
            found.update(await self._peers.fetch(incarnation, keys))
        wanted = {ref.key: ref for ref in group}
        return {key: packed for key, packed in found.items() if _fits(packed, wanted.get(key))}

    async def drop(self, step_id: str) -> bool:
        """Delete all texts of a step; return False if that could not be confirmed."""
        return await drop_prefix(self._log, topic_of(shard_of(step_id)), key_prefix(step_id))

    async def _fetch_from_log(self, group: Sequence[TextRef]) -> Mapping[str, bytes]:
        """Return the compressed texts of one range of the log."""
        topic = topic_of(group[0].shard)
        self._observer.counters["texts_fetched"] += len(group)
        try:
            values = await self._read_range(topic, group)
        except HistoryGoneError:
            # The log retains the newest entry of each key; keys are unique, so no entry is lost.
            values = await self._read_newest(topic, group)
        found = {}
        for ref in group:
            parts = [values.get(f"{ref.key}.{part}") for part in range(ref.entries)]
            if all(part is not None for part in parts):
                found[ref.key] = join_blob([part for part in parts if part is not None])
        return found

    async def _read_range(self, topic: str, group: Sequence[TextRef]) -> Mapping[str, bytes]:
        end = group[-1].offset + group[-1].entries
        at = group[0].offset
        values: dict[str, bytes] = {}
        while at < end:
            wanted_bytes = sum(
                ref.packed_bytes + ref.entries * _ENTRY_OVERHEAD_BYTES
                for ref in group
                if ref.offset + ref.entries > at
            )
            chunk = await self._log.read(topic, at, 0.0, max_bytes=wanted_bytes)
            if not chunk.entries:
                raise LogUnavailableError(f"{topic} ends at offset {chunk.end}; expected {end}")
            values.update({entry.key: entry.value for entry in chunk.entries})
            at = chunk.entries[-1].offset + 1
        return values

    async def _read_newest(self, topic: str, group: Sequence[TextRef]) -> Mapping[str, bytes]:
        values: dict[str, bytes] = {}
        for prefix in sorted({ref.key.partition("/")[0] for ref in group}):
            newest = await self._log.newest(topic, prefix)
            values.update({entry.key: entry.value for entry in newest.entries})
        return values

    def _cache(self, key: str, packed: bytes) -> None:
        known = self._cache_by_key.pop(key, b"")
        self._cache_by_key[key] = packed
        self._cached_bytes += len(packed) - len(known)
        while self._cached_bytes > CACHE_BYTES:
            _key, dropped = self._cache_by_key.popitem(last=False)
            self._cached_bytes -= len(dropped)

    def _new_key(self, step_id: str) -> str:
        self._next_key += 1
        return f"{key_prefix(step_id)}/{self._writer_id}/{self._next_key}"


def _fits(packed: bytes, ref: TextRef | None) -> bool:
    """Return whether a peer's text is the one that was requested, as far as its size tells."""
    try:
        return ref is not None and len(decompress(packed)) == ref.text_bytes
    except MalformedError:
        return False


def shard_of(step_id: str) -> int:
    """Return the shard of a step's texts, that is the number of their topic."""
    return hashlib.blake2b(step_id.encode(), digest_size=2).digest()[0] % SHARDS


def topic_of(shard: int) -> str:
    """Return the topic of a shard."""
    return f"keyed.texts.{shard}"


async def drop_prefix(log: KeyedLog, topic: str, prefix: str) -> bool:
    """Delete all keys with a prefix from a topic; return False if that could not be confirmed."""
    try:
        kept = await log.newest(topic, prefix)
    except LogUnavailableError:
        return False
    if not kept.entries:
        return True
    result = await log.append(topic, [(entry.key, b"") for entry in kept.entries])
    return result.outcome is AppendOutcome.APPENDED


def _group_adjacent(refs: Iterable[TextRef]) -> Sequence[Sequence[TextRef]]:
    """Group references, sorted by location, into ranges that are read in one call each."""
    ordered = list(refs)
    groups = [[ref] for ref in ordered[:1]]
    for before, ref in pairwise(ordered):
        gap = ref.offset - before.offset - before.entries
        if ref.shard == before.shard and gap <= MAX_GAP_ENTRIES:
            groups[-1].append(ref)
        else:
            groups.append([ref])
    return groups
