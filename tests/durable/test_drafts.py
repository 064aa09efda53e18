"""Texts in the making: kept event by event, saved in parts, restored in order."""

from samphirecleat.durable._drafts import Draft, DraftPart, DraftShelf


def grown(item_id: str, events: int, version: int = 1) -> Draft:
    draft = Draft(item_id)
    for number in range(1, events + 1):
        assert draft.add(number, f"e{number}", version)
    return draft


def test_an_event_that_is_not_the_next_is_not_taken() -> None:
    draft = grown("i", 2)
    assert not draft.add(2, "again", 1)
    assert not draft.add(4, "gap", 1)
    assert draft.text() == "e1\ne2"


def test_a_text_fits_only_steps_that_allow_its_versions() -> None:
    draft = grown("i", 1, version=3)
    draft.add(2, "e2", 4)
    assert draft.fits(3, single_version=False)
    assert not draft.fits(4, single_version=False)
    assert not draft.fits(3, single_version=True)
    assert list(draft.version_set()) == [3, 4]


def test_saved_parts_put_the_text_together_at_another_node() -> None:
    draft, shelf = grown("i", 2), DraftShelf()
    parts = [draft.unsaved()]
    assert draft.unsaved() is None
    draft.add(3, "e3", 2)
    draft.whole = True
    parts.append(draft.unsaved())
    assert shelf.restore([part for part in parts if part is not None]) == 2
    restored = shelf.get("i")
    assert (restored.text(), restored.whole, restored.versions) == ("e1\ne2\ne3", True, [1, 1, 2])


def test_parts_without_their_beginning_are_dropped() -> None:
    """Old records vanish from the log; a text that lacks its first events is no text."""
    shelf = DraftShelf()
    assert shelf.restore([DraftPart("i", 3, ["e3"], [1], False)]) == 0
    assert shelf.get("i").last_event_id == 0


def test_a_text_started_anew_replaces_only_a_shorter_one() -> None:
    shelf = DraftShelf()
    shelf.restore([DraftPart("i", 1, ["a", "b"], [1, 1], False)])
    shelf.restore([DraftPart("i", 1, ["x"], [2], False)])
    assert shelf.get("i").text() == "a\nb"
    shelf.restore([DraftPart("i", 1, ["x", "y", "z"], [2, 2, 2], False)])
    assert shelf.get("i").text() == "x\ny\nz"
