"""Drafts: partial texts of items, and complete ones that are not scored yet.

A draft outlives its run and its step. An interrupted run is resumed on another engine after the
last received event, and an item that returns in a later step starts from its draft.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Drafts are kept for items that may return; a step has some hundred items.
MAX_DRAFTS: Final = 2048


class DraftPart(NamedTuple):
    """Consecutive events of one run of an item, from ``first_event_id`` on, as saved in the log.

    The run ``run_id`` resumed after event ``resumed_after``. ``complete`` tells whether the text
    ends after these events.
    """

    item_id: str
    first_event_id: int
    event_data: Sequence[str]
    versions: Sequence[int]
    complete: bool
    run_id: str
    resumed_after: int


@dataclass
class SavedRun:
    """The joined saved parts of one run; its first event is ``first_event_id``."""

    run_id: str
    resumed_after: int
    first_event_id: int
    event_data: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    complete: bool = False

    @classmethod
    def of(cls, part: DraftPart) -> "SavedRun":
        """Return an empty run with the metadata of a part."""
        return cls(part.run_id, part.resumed_after, part.first_event_id)

    def extend(self, part: DraftPart) -> None:
        """Append the new events of a part; ignored if events before it are missing.

        A part may repeat events: it is saved again if its append got no response.
        """
        repeated = self.first_event_id + len(self.event_data) - part.first_event_id
        if not 0 <= repeated <= len(part.event_data):
            return
        self.event_data.extend(part.event_data[repeated:])
        self.versions.extend(part.versions[repeated:])
        self.complete = part.complete


class _RunStart(NamedTuple):
    """The run ``run_id`` generated the text from the event following ``after``."""

    after: int
    run_id: str


@dataclass
class Draft:
    """The text of one item so far; the data of event n is ``event_data[n - 1]``."""

    item_id: str
    event_data: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    complete: bool = False
    _run_starts: list[_RunStart] = field(default_factory=list)
    _saved: int = 0
    _saved_complete: bool = False

    @property
    def last_event_id(self) -> int:
        """The ID of the last event, 0 for none."""
        return len(self.event_data)

    def begin_run(self, run_id: str) -> None:
        """Record that a new run resumes after the last event."""
        if self._run_starts and self._run_starts[-1].after == len(self.event_data):
            # The previous run produced no events.
            self._run_starts.pop()
        self._run_starts.append(_RunStart(len(self.event_data), run_id))

    def add(self, event_id: int, data: str, version: int) -> bool:
        """Append an event; return False without a change if it is not the next one."""
        if event_id != len(self.event_data) + 1:
            return False
        self.event_data.append(data)
        self.versions.append(version)
        return True

    def text(self) -> str:
        """Return the data of all events, in order."""
        return "\n".join(self.event_data)

    def version_set(self) -> Sequence[int]:
        """Return the distinct versions of all events in ascending order."""
        return sorted(set(self.versions))

    def fits(self, min_version: int, *, single_version: bool) -> bool:
        """Return whether a step that allows these versions may use the draft."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(set(self.versions)) <= 1

    def clear(self) -> None:
        """Discard the text and its runs."""
        self.event_data.clear()
        self.versions.clear()
        self.complete = False
        self._run_starts.clear()
        self._saved = 0
        self._saved_complete = False

    def take_unsaved(self) -> Sequence[DraftPart]:
        """Return the events since the last call, one part per run, and mark them as saved."""
        if not self._run_starts or (
            self._saved == len(self.event_data) and self._saved_complete == self.complete
        ):
            return []
        ends = [*(start.after for start in self._run_starts[1:]), len(self.event_data)]
        parts = []
        for start, end in zip(self._run_starts, ends, strict=True):
            is_last = start is self._run_starts[-1]
            first = max(start.after, self._saved)
            if first < end or (is_last and self.complete):
                parts.append(self._part(start, first, end, complete=is_last and self.complete))
        self._saved = len(self.event_data)
        self._saved_complete = self.complete
        return parts

    def put_back(self, parts: Sequence[DraftPart]) -> None:
        """Mark parts of this draft as not saved, after an append of them failed."""
        if parts:
            self._saved = min(self._saved, parts[0].first_event_id - 1)
            self._saved_complete = False

    def adopt(self, run: SavedRun) -> bool:
        """Adopt the events of a run if that makes the text longer or complete.

        The text is truncated at the event after which the run resumed. Joined at any other point,
        the result would be a text that no engine generated.

        Returns whether the run was adopted.
        """
        beginning = run.first_event_id - 1
        same_run = bool(self._run_starts) and self._run_starts[-1].run_id == run.run_id
        if beginning > len(self.event_data) or not (same_run or beginning == run.resumed_after):
            return False
        length = beginning + len(run.event_data)
        if (length, run.complete) <= (len(self.event_data), self.complete):
            return False
        del self.event_data[beginning:]
        del self.versions[beginning:]
        if not same_run:
            self._run_starts = [start for start in self._run_starts if start.after < beginning]
            self._run_starts.append(_RunStart(beginning, run.run_id))
        self.event_data.extend(run.event_data)
        self.versions.extend(run.versions)
        self.complete = run.complete
        self._saved = len(self.event_data)
        self._saved_complete = self.complete
        return True

    def _part(self, start: _RunStart, first: int, end: int, *, complete: bool) -> DraftPart:
        event_data, versions = self.event_data[first:end], self.versions[first:end]
        return DraftPart(
            self.item_id, first + 1, event_data, versions, complete, start.run_id, start.after
        )


class DraftStore:
    """Drafts by item, with least recently used eviction."""

    def __init__(self) -> None:
        """Start empty."""
        self._drafts: OrderedDict[str, Draft] = OrderedDict()

    def get(self, item_id: str) -> Draft:
        """Return an item's draft, creating an empty one if necessary."""
        draft = self._drafts.get(item_id)
        if draft is None:
            draft = self._drafts[item_id] = Draft(item_id)
            while len(self._drafts) > MAX_DRAFTS:
                self._drafts.popitem(last=False)
        self._drafts.move_to_end(item_id)
        return draft

    def find(self, item_id: str) -> Draft | None:
        """Return an item's draft, or None."""
        return self._drafts.get(item_id)

    def restore(self, parts: Iterable[DraftPart]) -> int:
        """Restore drafts from saved parts, given in the order of saving.

        A run whose first parts were trimmed from the log can only extend a draft that already
        holds events of the same run. Returns how many runs were adopted.
        """
        runs: dict[tuple[str, str], SavedRun] = {}
        for part in parts:
            run = runs.setdefault((part.item_id, part.run_id), SavedRun.of(part))
            run.extend(part)
        return sum(self.get(item_id).adopt(run) for (item_id, _), run in runs.items())
