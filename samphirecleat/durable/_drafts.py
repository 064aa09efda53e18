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
    """Some events of an item's text, from ``first_event_id`` on, as written to the log."""

    item_id: str
    first_event_id: int
    pieces: Sequence[str]
    versions: Sequence[int]
    whole: bool


@dataclass
class Draft:
    """The text of one item so far; event n is ``pieces[n - 1]``."""

    item_id: str
    pieces: list[str] = field(default_factory=list)
    versions: list[int] = field(default_factory=list)
    whole: bool = False
    saved: int = 0
    saved_whole: bool = False

    @property
    def last_event_id(self) -> int:
        """The id of the last event, 0 for none."""
        return len(self.pieces)

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
        self.saved = 0
        self.saved_whole = False

    def unsaved(self) -> DraftPart | None:
        """Return what was made since the last save, or None, and count it as saved."""
        if self.saved == len(self.pieces) and self.saved_whole == self.whole:
            return None
        first = self.saved
        part = DraftPart(
            self.item_id, first + 1, self.pieces[first:], self.versions[first:], self.whole
        )
        self.saved = len(self.pieces)
        self.saved_whole = self.whole
        return part


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

    def drop(self, item_id: str) -> None:
        """Forget an item's draft."""
        self._drafts.pop(item_id, None)

    def restore(self, parts: Iterable[DraftPart]) -> int:
        """Take parts that another node saved, in the order of saving; return how many fit.

        A part that does not go on where the draft ends is dropped: it belongs to a text
        that was started anew, or its beginning is no longer kept.
        """
        taken = 0
        for part in parts:
            draft = self.get(part.item_id)
            if part.first_event_id == 1 and len(part.pieces) > draft.last_event_id:
                draft.clear()
            if part.first_event_id != draft.last_event_id + 1:
                continue
            draft.pieces.extend(part.pieces)
            draft.versions.extend(part.versions)
            draft.whole = part.whole
            draft.saved = len(draft.pieces)
            draft.saved_whole = draft.whole
            taken += 1
        return taken
