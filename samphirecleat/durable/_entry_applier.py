"""Applies the entries of a topic one by one, so that a bad one stops neither others nor the reader.

Other writers may put anything under a key. If the error of one entry ended the reader, a node would
never notice a later change of the topic, and a node that starts while the entry is the newest of
its key would never be ready.
"""

from collections.abc import Callable, Sequence
from typing import Final

from .._boot_clock import boot_time_s
from .._decoding import MAX_DETAIL_CHARS, MalformedError
from ..observe import Observer
from ._ports import LogEntry

# A key that is written again and again is logged once in this time.
LOG_INTERVAL_S: Final = 60.0
# Keys whose last log line is remembered.
MAX_LOGGED_KEYS: Final = 256
LOGGED_KEY_CHARS: Final = 80


def ignore_entry(_entry: LogEntry) -> None:
    """Do nothing with an entry that was passed over."""


class EntryApplier:
    """Applies entries by a callback; entries that can't be applied are passed over and counted."""

    def __init__(
        self,
        topic: str,
        apply: Callable[[LogEntry], None],
        observer: Observer,
        on_passed_over: Callable[[LogEntry], None] = ignore_entry,
    ) -> None:
        """Apply the entries of ``topic`` with ``apply``, which must raise for a bad entry.

        ``on_passed_over`` gets each entry that raised.
        """
        self._topic = topic
        self._apply = apply
        self._on_passed_over = on_passed_over
        self._observer = observer
        self._logger = observer.log("follow")
        self._logged_at_s: dict[str, float] = {}

    def apply(self, entries: Sequence[LogEntry]) -> None:
        """Apply each entry, whatever becomes of the others."""
        for entry in entries:
            try:
                self._apply(entry)
            except MalformedError as error:
                self._pass_over(entry, error, is_malformed=True)
            except Exception as error:
                # A decoder let something through that the reader can't handle. The reader of every
                # node would fail at this entry, now and after each restart.
                self._pass_over(entry, error, is_malformed=False)

    def _pass_over(self, entry: LogEntry, error: Exception, *, is_malformed: bool) -> None:
        self._observer.counters[f"entries_passed_over_{self._topic}"] += 1
        if self._may_log(entry.key):
            self._logger.error(
                "topic=%s key=%s offset=%d bytes=%d entry passed over: %s",
                self._topic,
                entry.key[:LOGGED_KEY_CHARS],
                entry.offset,
                len(entry.value),
                f"{error}"[:MAX_DETAIL_CHARS] or type(error).__name__,
                exc_info=None if is_malformed else error,
            )
        self._on_passed_over(entry)

    def _may_log(self, key: str) -> bool:
        now_s = boot_time_s()
        if now_s - self._logged_at_s.get(key, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return False
        if len(self._logged_at_s) >= MAX_LOGGED_KEYS:
            self._logged_at_s.clear()
        self._logged_at_s[key] = now_s
        return True
