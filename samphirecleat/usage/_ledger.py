"""The usage topic folded: counts by window, and the figures that were fixed for reports."""

from collections import Counter
from collections.abc import Collection, Sequence

from ..durable import LogEntry
from ..observe import Observer
from ._records import CountsAdded, ReportFixed, UsageFormatError, WindowCounts, read_entry


class UsageLedger:
    """What the log holds of usage, whatever the order in which nodes wrote it."""

    def __init__(self, observer: Observer) -> None:
        """Start from an empty log."""
        self._logger = observer.log("usage")
        self._counts: dict[int, Counter[str]] = {}
        self._reports: dict[int, tuple[int, WindowCounts]] = {}
        self._keys: dict[str, int] = {}

    def take(self, entries: Sequence[LogEntry], newest: bool) -> None:
        """Take entries of the topic; one whose key was seen before changes nothing."""
        del newest
        for entry in entries:
            if not entry.value or entry.key in self._keys:
                continue
            try:
                record = read_entry(entry.key, entry.value)
            except UsageFormatError as error:
                self._logger.error("entry offset=%d not understood: %s", entry.offset, error)
                continue
            self._keys[entry.key] = record.window
            match record:
                case CountsAdded():
                    self._counts.setdefault(record.window, Counter()).update(record.counts)
                case ReportFixed():
                    self._fix(record, entry.offset)

    def counts(self, window: int) -> WindowCounts:
        """Return what was counted in a window, by all nodes that have written so far."""
        return dict(self._counts.get(window, {}))

    def report(self, window: int) -> WindowCounts | None:
        """Return the figures that hold for a window, None while none are fixed."""
        fixed = self._reports.get(window)
        return fixed[1] if fixed is not None else None

    def forget_before(self, window: int) -> Collection[str]:
        """Forget the windows before one; return the keys to drop from the log."""
        old = [key for key, of in self._keys.items() if of < window]
        for key in old:
            del self._keys[key]
        for of in [of for of in self._counts if of < window]:
            del self._counts[of]
        for of in [of for of in self._reports if of < window]:
            del self._reports[of]
        return old

    def _fix(self, record: ReportFixed, offset: int) -> None:
        """Take figures; the record that the log holds first counts, in whatever order they come."""
        fixed = self._reports.get(record.window)
        if fixed is None or offset < fixed[0]:
            self._reports[record.window] = (offset, record.counts)
