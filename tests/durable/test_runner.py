"""The work of a service: runs, scores and listing, with engines that fail."""

import asyncio

import pytest

from samphirecleat.crashes import FREE_ENDS, CrashLedger
from samphirecleat.durable import GenerationFailure
from samphirecleat.durable._item_bound import BARRED_REST_S

from ..crashes.guards import make_guard
from ..fleets import until
from .runner_stage import EVENTS, RunnerStage, play
from .steps import finished, step


def test_a_step_is_made_scored_and_listed_once() -> None:
    async def body(stage: RunnerStage) -> None:
        await stage.accept(step(items=6, reward=True))
        await stage.listed(6)

    stage = play(["e1", "e2"], body)
    assert all(stage.results().values())
    assert sorted(stage.scorer.scored) == sorted(stage.results())
    assert len(stage.engines.calls) == 6


def test_a_reported_version_gives_waiting_items_their_place() -> None:
    """Engines load a version, and their registrations say so only seconds later.

    While the store is away they do not at all. The items that wait for the version would wait
    with it: a step stands still although every engine could make it.
    """

    async def body(stage: RunnerStage) -> None:
        stage.engines.versions["e1"] = 2
        await stage.accept(step(items=2, min_version=2))
        await asyncio.sleep(0.2)
        assert not stage.engines.calls
        stage.work.note_version("e1", "m", 2)
        await stage.listed(2)

    stage = play(["e1", "e2"], body)
    assert {engine for engine, _call in stage.engines.calls} == {"e1"}


def test_no_item_goes_where_its_model_is_being_loaded() -> None:
    """An engine refuses the items of a model that it loads, for about a second.

    Items placed there lose that second, and their step is late.
    """

    async def body(stage: RunnerStage) -> None:
        stage.work.load_started("e1", "m")
        await stage.accept(step(items=2))
        await stage.listed(2)
        assert {engine for engine, _call in stage.engines.calls} == {"e2"}
        stage.work.load_finished("e1", "m")
        await stage.accept(step("s2", items=8))
        await stage.listed(8, "s2")

    stage = play(["e1", "e2"], body)
    assert {engine for engine, _call in stage.engines.calls} == {"e1", "e2"}


def test_a_run_on_an_engine_that_turned_slow_goes_on_elsewhere() -> None:
    """An engine turns ten times slower while it makes a text.

    The whole step waits for that text unless it goes on, from where it is, at an engine with a free
    place.
    """

    async def body(stage: RunnerStage) -> None:
        stage.engines.events = 60
        for name in ("e1", "e2", "e3"):
            for _ in range(8):
                stage.work.paces.of(name).note_pause(0.002)
        stage.engines.event_s["e1"] = 0.04
        await stage.accept(step(items=6))
        await stage.listed(6)

    stage = play(["e1", "e2", "e3"], body)
    moved = [call for engine, call in stage.engines.calls if call.last_event_id > 0]
    assert moved
    assert all(stage.engines.engines_of(call.item_id)[0] == "e1" for call in moved)
    assert all(stage.engines.engines_of(call.item_id)[-1] != "e1" for call in moved)


@pytest.fixture
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """No run is given up for its silence."""
    monkeypatch.setattr("samphirecleat.durable._item_run.FIRST_EVENT_S", 1e6)


@pytest.mark.parametrize(
    "end",
    [
        GenerationFailure.BROKEN,
        GenerationFailure.REFUSED,
        GenerationFailure.FAILED,
        GenerationFailure.SILENT,
    ],
)
def test_an_item_goes_on_after_a_run_that_ended_early(
    end: GenerationFailure, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An engine refuses an item, fails it, breaks it off or falls silent.

    A trainer that waits for the item must get it all the same, with no event missing or twice.
    """
    monkeypatch.setattr("samphirecleat.durable._item_run.FIRST_EVENT_S", 0.1)

    async def body(stage: RunnerStage) -> None:
        stage.engines.ends["e1"] = [end]
        await stage.accept(step(items=2))
        await stage.listed(2)

    stage = play(["e1", "e2"], body)
    assert all(stage.results().values())
    texts = [stage.drafts.get(item_id).text() for item_id in stage.results()]
    assert texts == ["\n".join(str(n) for n in range(1, EVENTS + 1))] * 2


def test_an_engine_that_fell_silent_gets_nothing_for_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A silent engine takes every item that is sent there and answers none.

    Without a rest it would get the same item again at once, and the step would never end.
    """
    monkeypatch.setattr("samphirecleat.durable._item_run.FIRST_EVENT_S", 0.1)
    monkeypatch.setattr("samphirecleat.durable._item_decisions.ENGINE_REST_S", 30.0)

    async def body(stage: RunnerStage) -> None:
        stage.engines.ends["e1"] = [GenerationFailure.SILENT] * 9
        await stage.accept(step(items=2))
        await stage.listed(2)
        await stage.accept(step("s2", items=4))
        await stage.listed(4, "s2")

    stage = play(["e1", "e2"], body, places=8)
    assert [engine for engine, _call in stage.engines.calls].count("e1") <= 2


@pytest.mark.parametrize(
    ("end", "times", "dead"),
    [
        (GenerationFailure.FAILED, 3, True),
        (GenerationFailure.FAILED, 2, False),
        (GenerationFailure.IMPOSSIBLE, 1, True),
    ],
)
def test_an_item_is_dead_only_after_what_allows_it(
    end: GenerationFailure, times: int, dead: bool
) -> None:
    async def body(stage: RunnerStage) -> None:
        stage.engines.ends["e1"] = [end] * times
        await stage.accept(step(items=1))
        await stage.listed(1)

    stage = play(["e1"], body)
    assert stage.results() == {"s1-0": not dead}


def test_an_item_is_dead_when_its_reward_failed_for_good() -> None:
    async def body(stage: RunnerStage) -> None:
        stage.scorer.signature = ""
        await stage.accept(step(items=2, reward=True))
        await stage.listed(2)

    assert not any(play(["e1"], body).results().values())


def test_an_item_that_may_be_given_up_is() -> None:
    async def body(stage: RunnerStage) -> None:
        stage.offer([])
        await stage.accept(step(items=2))
        await stage.listed(2)

    stage = play(["e1"], body, retention_s=0.2)
    assert not any(stage.results().values())
    assert not stage.engines.calls


def test_runs_and_scores_of_an_ended_step_end_with_it(patient: None) -> None:
    """A trainer has enough and ends its step.

    What still runs for it would take places and time from the next step, and a target must not get
    work of an ended step.
    """

    async def body(stage: RunnerStage) -> None:
        stage.scorer.open.clear()
        stage.engines.event_s["e2"] = 1e6
        await stage.accept(step(items=2, reward=True))
        await until(lambda: bool(stage.work.scoring) and bool(stage.work.runs))
        await stage.step_log.end("s1")
        await until(lambda: not stage.work.scoring and not stage.work.runs)
        assert stage.engines.closed.count("e2") == 1

    stage = play(["e1", "e2"], body, places=1)
    assert not stage.scorer.scored


def test_a_text_that_was_whole_before_the_runner_came_is_only_scored() -> None:
    """A runner is lost after a text was whole and saved.

    Its heir that made the text again would cost the step the whole length of the text.
    """

    async def body(stage: RunnerStage) -> None:
        draft = stage.drafts.get("s1-0")
        draft.begin_run("r")
        draft.add(1, "saved", 1)
        draft.whole = True
        await stage.accept(step(items=1, reward=True))
        await stage.listed(1)

    stage = play(["e1"], body)
    assert not stage.engines.calls
    assert stage.scorer.scored == ["s1-0"]


def test_a_draft_of_weights_that_the_step_does_not_allow_is_made_anew() -> None:
    """A group comes again in a later step, which wants newer weights than its text has.

    Going on with it would deliver a sample that is too old.
    """

    async def body(stage: RunnerStage) -> None:
        draft = stage.drafts.get("s1-0")
        draft.begin_run("r")
        draft.add(1, "old", 1)
        stage.engines.versions["e1"] = 2
        stage.work.note_version("e1", "m", 2)
        await stage.accept(step(items=1, min_version=2))
        await stage.listed(1)

    stage = play(["e1"], body)
    assert stage.engines.calls[0][1].last_event_id == 0
    assert list(stage.step_log.fold.steps["s1"].results[0].versions) == [2]


def test_what_found_no_place_is_told_to_the_loads_of_weights() -> None:
    async def body(stage: RunnerStage) -> None:
        await stage.accept(step(items=2, min_version=5))
        await until(lambda: bool(stage.work.short))
        assert stage.work.demand("m", 6).waits
        stage.work.note_version("e1", "m", 5)
        stage.engines.versions["e1"] = 5
        await stage.listed(2)
        await until(lambda: not stage.work.short)
        assert not stage.work.demand("m", 6).waits

    play(["e1"], body)


def test_a_runner_that_ends_closes_its_runs(patient: None) -> None:
    """The claim of a service goes to another node.

    Runs that went on here would hold places at the engines beside the runs of the new one.
    """

    async def body(stage: RunnerStage) -> None:
        stage.engines.event_s["e1"] = 1e6
        await stage.accept(step(items=3))
        await until(lambda: len(stage.work.runs) == 3)
        stage.planning.cancel()
        await until(lambda: not stage.work.runs)
        assert stage.engines.closed == ["e1"] * 3

    play(["e1"], body)


def test_an_engine_that_is_slow_is_not_counted_on() -> None:
    """An engine at a third of the others' pace makes no text of the next step in time.

    If it counted as ready for a version, no faster engine would be brought to that version.
    """

    async def body(stage: RunnerStage) -> None:
        for name, pause_s in (("e1", 0.12), ("e2", 0.04), ("e3", 0.04)):
            stage.work.paces.of(name).note_pause(pause_s)
        assert [stage.work.is_slow(name) for name in ("e1", "e2", "e3")] == [True, False, False]
        await asyncio.sleep(0.0)

    play(["e1", "e2", "e3"], body)


def test_an_item_listed_elsewhere_is_not_run_on(patient: None) -> None:
    """Two nodes run a service for a moment, and the other one lists an item first.

    Its run here would hold a place for a text that nobody wants.
    """

    async def body(stage: RunnerStage) -> None:
        stage.engines.event_s["e1"] = 1e6
        await stage.accept(step(items=2))
        await until(lambda: len(stage.work.runs) == 2)
        stage.step_log.list_result(finished("s1", "s1-0"))
        await until(lambda: len(stage.work.runs) == 1)

    play(["e1"], body)


def test_an_item_that_ends_its_engines_runs_seldom_and_the_others_are_made() -> None:
    """An item's prompt crashes each engine that begins to run it, and the item can't be given up.

    Made anew at the next engine at once, it took all engines of its service down, again and again.
    """

    async def body(stage: RunnerStage) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stage.engines.ends_on.add("s1-0")
        await stage.accept(step(items=4))
        await stage.listed(3)
        await asyncio.sleep(2.5)
        rests = (loop.time() - began_s) / BARRED_REST_S
        assert FREE_ENDS <= len(stage.engines.engines_of("s1-0")) <= FREE_ENDS + 1 + rests
        stage.engines.ends_on.clear()
        await stage.listed(4)

    ledger = CrashLedger()
    stage = play(["e1", "e2", "e3", "e4"], body, guard=make_guard(ledger))
    assert all(stage.results().values())
    assert not any(suspect.ends for suspect in ledger.suspects.values())
