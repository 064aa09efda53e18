"""Texts that are not whole yet, and whole ones that wait for their score.

A text outlives its run and its step: a broken run goes on at another engine from the last
whole event, and an item that comes again in a later step starts from what was made.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

# Drafts kept for items that may come again; a step has some hundred items.
DRAFTS_KEPT: Final = 2048


class DraftPart(NamedTuple):
    """Some events of one run of an item, from ``first_event_id`` on, as written to the log.

    The run ``run_id`` was asked to go on after event ``run_after``. ``whole`` says that the
    run ended the text behind these events.
    """

    item_id: str
    first_event_id: int
    pieces: Sequence[str]
    versions: Sequence[int]
    whole: bool
    run_id: str
    run_after: int


@dataclass
class SavedRun:
    """The saved parts of one run, put together; its first event is ``first_event_id``."""

    run_id: str
    run_after: int
    first_event_id: int
    pieces: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    whole: bool = False

    @classmethod
    def of(cls, part: DraftPart) -> "SavedRun":
        """Return the run of a part, still without any event."""
        return cls(part.run_id, part.run_after, part.first_event_id)

    def extend(self, part: DraftPart) -> None:
        """Add a part, unless one before it is missing."""
        if part.first_event_id != self.first_event_id + len(self.pieces):
            return
        self.pieces.extend(part.pieces)
        self.versions.extend(part.versions)
        self.whole = part.whole


class _RunMark(NamedTuple):
    """From the event behind ``after`` on, a text was made by the run ``run_id``."""

    after: int
    run_id: str


@dataclass
class Draft:
    """The text of one item so far; event n is ``pieces[n - 1]``."""

    item_id: str
    pieces: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    whole: bool = False
    _marks: list[_RunMark] = field(default_factory=list)
    _saved: int = 0
    _saved_whole: bool = False

    @property
    def last_event_id(self) -> int:
        """The id of the last event, 0 for none."""
        return len(self.pieces)

    def begin_run(self, run_id: str) -> None:
        """Note that a run goes on behind the last event from now on."""
        if self._marks and self._marks[-1].after == len(self.pieces):
            # The run before made nothing.
            self._marks.pop()
        self._marks.append(_RunMark(len(self.pieces), run_id))

    def add(self, event_id: int, data: str, version: int) -> bool:
        """Take the next event; False if it is not the next."""
        if event_id != len(self.pieces) + 1:
            return False
        self.pieces.append(data)
        self.versions.append(version)
        return True

    def text(self) -> str:
        """Return the data of all events, in order."""
        return "\n".join(self.pieces)

    def version_set(self) -> Sequence[int]:
        """Return every version that made an event, lowest first."""
        return sorted(set(self.versions))

    def fits(self, min_version: int, *, single_version: bool) -> bool:
        """Whether the text so far may be used in a step."""
        if any(version < min_version for version in self.versions):
            return False
        return not single_version or len(set(self.versions)) <= 1

    def clear(self) -> None:
        """Start the text anew."""
        self.pieces.clear()
        self.versions.clear()
        self.whole = False
        self._marks.clear()
        self._saved = 0
        self._saved_whole = False

    def unsaved(self) -> Sequence[DraftPart]:
        """Return what was made since the last save, by run, and count it as saved."""
        if not self._marks or (self._saved == len(self.pieces) and self._saved_whole == self.whole):
            return []
        ends = [*(mark.after for mark in self._marks[1:]), len(self.pieces)]
        parts = []
        for mark, end in zip(self._marks, ends, strict=True):
            is_last = mark is self._marks[-1]
            first = max(mark.after, self._saved)
            if first < end or (is_last and self.whole):
                parts.append(self._part(mark, first, end, whole=is_last and self.whole))
        self._saved = len(self.pieces)
        self._saved_whole = self.whole
        return parts

    def adopt(self, run: SavedRun) -> bool:
        """Take over what a run made, if the text gets longer or whole by it.

        The text is cut where the run was asked to go on: an engine made what stands before,
        and the run what follows. Spliced in any other way it would be no engine's output.
        """
        beginning = run.first_event_id - 1
        same_run = bool(self._marks) and self._marks[-1].run_id == run.run_id
        if beginning > len(self.pieces) or not (same_run or beginning == run.run_after):
            return False
        length = beginning + len(run.pieces)
        if (length, run.whole) <= (len(self.pieces), self.whole):
            return False
        del self.pieces[beginning:]
        del self.versions[beginning:]
        if not same_run:
            self._marks = [mark for mark in self._marks if mark.after < beginning]
            self._marks.append(_RunMark(beginning, run.run_id))
        self.pieces.extend(run.pieces)
        self.versions.extend(run.versions)
        self.whole = run.whole
        self._saved = len(self.pieces)
        self._saved_whole = self.whole
        return True

    def _part(self, mark: _RunMark, first: int, end: int, *, whole: bool) -> DraftPart:
        pieces, versions = self.pieces[first:end], self.versions[first:end]
        return DraftPart(self.item_id, first + 1, pieces, versions, whole, mark.run_id, mark.after)


class DraftShelf:
    """Drafts by item, the ones used last kept longest."""

    def __init__(self) -> None:
        """Start empty."""
        self._drafts: OrderedDict[str, Draft] = OrderedDict()

    def get(self, item_id: str) -> Draft:
        """Return an item's draft, a new one if there is none."""
        draft = self._drafts.get(item_id)
        if draft is None:
            draft = self._drafts[item_id] = Draft(item_id)
            while len(self._drafts) > DRAFTS_KEPT:
                self._drafts.popitem(last=False)
        self._drafts.move_to_end(item_id)
        return draft

    def known(self, item_id: str) -> Draft | None:
        """Return an item's draft if there is one."""
        return self._drafts.get(item_id)

    def restore(self, parts: Iterable[DraftPart]) -> int:
        """Take what nodes saved, in the order of saving; return how many runs were used.

        A run whose beginning is no longer kept is of use only to the draft that it made.
        """
        runs: dict[tuple[str, str], SavedRun] = {}
        for part in parts:
            run = runs.setdefault((part.item_id, part.run_id), SavedRun.of(part))
            run.extend(part)
        return sum(self.get(item_id).adopt(run) for (item_id, _), run in runs.items())
