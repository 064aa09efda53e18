"""Tests of drafts: appending events, saving parts, restoring runs."""

from samphirecleat.durable._drafts import Draft, DraftPart, DraftStore


def make_draft(item_id: str, events: int, version: int = 1) -> Draft:
    draft = Draft(item_id)
    draft.begin_run("r1")
    for number in range(1, events + 1):
        assert draft.add(number, f"e{number}", version)
    return draft


def part(first: int, event_data: list[str], run: str = "r1", after: int = 0) -> DraftPart:
    return DraftPart("i", first, event_data, [1] * len(event_data), False, run, after)


def test_an_event_out_of_order_is_rejected() -> None:
    draft = make_draft("i", 2)
    assert not draft.add(2, "again", 1)
    assert not draft.add(4, "gap", 1)
    assert draft.text() == "e1\ne2"


def test_a_draft_fits_only_steps_that_allow_its_versions() -> None:
    draft = make_draft("i", 1, version=3)
    draft.add(2, "e2", 4)
    assert draft.fits(3, single_version=False)
    assert not draft.fits(4, single_version=False)
    assert not draft.fits(3, single_version=True)
    assert list(draft.version_set()) == [3, 4]


def test_saved_parts_restore_the_text_on_another_node() -> None:
    draft, store = make_draft("i", 2), DraftStore()
    parts = [*draft.take_unsaved()]
    assert draft.take_unsaved() == []
    draft.add(3, "e3", 2)
    draft.begin_run("r2")
    draft.add(4, "e4", 2)
    draft.complete = True
    parts.extend(draft.take_unsaved())
    assert store.restore(parts) == 2
    restored = store.get("i")
    assert (restored.text(), restored.complete, restored.versions) == (
        "e1\ne2\ne3\ne4",
        True,
        [1, 1, 2, 2],
    )


def test_parts_without_their_beginning_are_dropped() -> None:
    """Old records are trimmed from the log; a text without its first events is unusable."""
    store = DraftStore()
    assert store.restore([part(3, ["e3"])]) == 0
    assert store.get("i").last_event_id == 0


def test_a_restarted_text_replaces_only_a_shorter_one() -> None:
    store = DraftStore()
    store.restore([part(1, ["a", "b"])])
    store.restore([part(1, ["x"], "r2")])
    assert store.get("i").text() == "a\nb"
    store.restore([part(1, ["x", "y", "z"], "r3")])
    assert store.get("i").text() == "x\ny\nz"


def test_the_runs_of_two_nodes_are_never_spliced() -> None:
    """A runner is paused, another one resumes its saved drafts, and the first one continues.

    Both save parts of the same item for a short time, and a third node restores it. Joining two
    runs at a point where neither resumed the other gives a text that no engine generated.
    """
    store = DraftStore()
    store.restore(
        [
            part(1, ["a1", "a2"], "frozen"),
            part(3, ["a3"], "frozen"),
            part(3, ["b3"], "successor", 2),
            part(4, ["b4"], "successor", 2),
            part(4, ["a4"], "frozen"),
        ]
    )
    assert store.get("i").text() == "a1\na2\na3\na4"
    store.restore([part(5, ["c5"], "third", 4), part(5, ["b5"], "successor", 2)])
    assert store.get("i").text() == "a1\na2\na3\na4\nc5"


def test_the_longer_of_two_runs_is_joined_where_it_resumed() -> None:
    """A paused runner holds three events; its successor resumed after two and reached five."""
    store = DraftStore()
    store.restore([part(1, ["a1", "a2", "a3"], "frozen")])
    store.restore(
        [
            part(1, ["a1", "a2"], "frozen"),
            part(3, ["b3", "b4"], "successor", 2),
            part(5, ["b5"], "successor", 2),
        ]
    )
    assert store.get("i").text() == "a1\na2\nb3\nb4\nb5"


def test_a_completion_counts_only_for_its_own_run() -> None:
    store = DraftStore()
    store.restore([part(1, ["a1"], "one"), part(2, [], "two", 0)._replace(complete=True)])
    assert not store.get("i").complete
    store.restore([part(2, [], "one")._replace(complete=True)])
    assert store.get("i").complete
