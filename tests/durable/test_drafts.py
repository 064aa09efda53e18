"""Texts in the making: kept event by event, saved in parts, restored run by run."""

from samphirecleat.durable._drafts import Draft, DraftPart, DraftStore


def grown(item_id: str, events: int, version: int = 1) -> Draft:
    draft = Draft(item_id)
    draft.begin_run("r1")
    for number in range(1, events + 1):
        assert draft.add(number, f"e{number}", version)
    return draft


def part(first: int, pieces: list[str], run: str = "r1", after: int = 0) -> DraftPart:
    return DraftPart("i", first, pieces, [1] * len(pieces), False, run, after)


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
    draft, shelf = grown("i", 2), DraftStore()
    parts = [*draft.take_unsaved()]
    assert draft.take_unsaved() == []
    draft.add(3, "e3", 2)
    draft.begin_run("r2")
    draft.add(4, "e4", 2)
    draft.complete = True
    parts.extend(draft.take_unsaved())
    assert shelf.restore(parts) == 2
    restored = shelf.get("i")
    assert (restored.text(), restored.complete, restored.versions) == (
        "e1\ne2\ne3\ne4",
        True,
        [1, 1, 2, 2],
    )


def test_parts_without_their_beginning_are_dropped() -> None:
    """Old records vanish from the log; a text that lacks its first events is no text."""
    shelf = DraftStore()
    assert shelf.restore([part(3, ["e3"])]) == 0
    assert shelf.get("i").last_event_id == 0


def test_a_text_started_anew_replaces_only_a_shorter_one() -> None:
    shelf = DraftStore()
    shelf.restore([part(1, ["a", "b"])])
    shelf.restore([part(1, ["x"], "r2")])
    assert shelf.get("i").text() == "a\nb"
    shelf.restore([part(1, ["x", "y", "z"], "r3")])
    assert shelf.get("i").text() == "x\ny\nz"


def test_the_runs_of_two_nodes_are_never_spliced() -> None:
    """A runner stood still, another went on from what it had saved, and the first woke up.

    Both save the same item for a moment, and a third node restores it. A text that leaves one
    run in its middle for another that was not asked to go on there is no engine's output.
    """
    shelf = DraftStore()
    shelf.restore(
        [
            part(1, ["a1", "a2"], "frozen"),
            part(3, ["a3"], "frozen"),
            part(3, ["b3"], "heir", 2),
            part(4, ["b4"], "heir", 2),
            part(4, ["a4"], "frozen"),
        ]
    )
    assert shelf.get("i").text() == "a1\na2\na3\na4"
    shelf.restore([part(5, ["c5"], "third", 4), part(5, ["b5"], "heir", 2)])
    assert shelf.get("i").text() == "a1\na2\na3\na4\nc5"


def test_the_longer_of_two_runs_is_taken_from_where_it_went_on() -> None:
    """A runner that stood still holds three events; its heir made five from the second on."""
    shelf = DraftStore()
    shelf.restore([part(1, ["a1", "a2", "a3"], "frozen")])
    shelf.restore(
        [
            part(1, ["a1", "a2"], "frozen"),
            part(3, ["b3", "b4"], "heir", 2),
            part(5, ["b5"], "heir", 2),
        ]
    )
    assert shelf.get("i").text() == "a1\na2\nb3\nb4\nb5"


def test_an_end_counts_only_for_the_run_that_it_ends() -> None:
    shelf = DraftStore()
    shelf.restore([part(1, ["a1"], "one"), part(2, [], "two", 0)._replace(complete=True)])
    assert not shelf.get("i").complete
    shelf.restore([part(2, [], "one")._replace(complete=True)])
    assert shelf.get("i").complete
