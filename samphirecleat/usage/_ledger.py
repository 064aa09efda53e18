"""Aggregates the usage topic: counts by window, and the final counts of reports."""

from collections import Counter
from collections.abc import Collection, Sequence

from ..durable import EntryApplier, LogEntry
from ..observe import Observer
from ._counter import USAGE_TOPIC
from ._records import CountsAdded, CountsFinalized, WindowCounts, decode_entry


class UsageLedger:
    """Usage records of the log; the result doesn't depend on the order in which nodes wrote."""

    def __init__(self, observer: Observer) -> None:
        """Start from an empty log."""
        self._applier = EntryApplier(USAGE_TOPIC, self._apply_one, observer)
        self._counts: dict[int, Counter[str]] = {}
        self._reports: dict[int, tuple[int, WindowCounts]] = {}
        self._keys: dict[str, int] = {}

    def apply(self, entries: Sequence[LogEntry], newest: bool) -> None:
        """Apply entries of the topic; an entry whose key was seen before is ignored."""
        del newest
        self._applier.apply(entries)

    def counts(self, window: int) -> WindowCounts:
        """Return the counts of a window that nodes have written so far."""
        return dict(self._counts.get(window, {}))

    def report(self, window: int) -> WindowCounts | None:
        """Return the final counts of a window, None if there are none yet."""
        finalized = self._reports.get(window)
        return finalized[1] if finalized is not None else None

    def remove_before(self, window: int) -> Collection[str]:
        """Remove the windows before ``window``; return the keys to delete from the log."""
        old_keys = [key for key, key_window in self._keys.items() if key_window < window]
        for key in old_keys:
            del self._keys[key]
        for old_window in [counted for counted in self._counts if counted < window]:
            del self._counts[old_window]
        for old_window in [reported for reported in self._reports if reported < window]:
            del self._reports[old_window]
        return old_keys

    def _apply_one(self, entry: LogEntry) -> None:
        if not entry.value or entry.key in self._keys:
            return
        record = decode_entry(entry.key, entry.value)
        self._keys[entry.key] = record.window
        match record:
            case CountsAdded():
                self._counts.setdefault(record.window, Counter()).update(record.counts)
            case CountsFinalized():
                self._finalize(record, entry.offset)

    def _finalize(self, record: CountsFinalized, offset: int) -> None:
        """Apply final counts; the record with the lowest offset is binding, in any order."""
        finalized = self._reports.get(record.window)
        if finalized is None or offset < finalized[0]:
            self._reports[record.window] = (offset, record.counts)
