"""Tests of a single run: which events enter the draft, and when the run ends early."""

import asyncio
from collections.abc import AsyncGenerator, Sequence

import pytest

from samphirecleat.durable import (
    GenerationCall,
    GenerationError,
    GenerationEvent,
    GenerationFailure,
)
from samphirecleat.durable._drafts import Draft
from samphirecleat.durable._engine_stats import EngineStats
from samphirecleat.durable._fold import StepFold
from samphirecleat.durable._item_run import ItemRun, stream_item
from samphirecleat.durable._open_item import OpenItem
from samphirecleat.serving import CallKind, Route, Target

from .steps import accepted, step


class OneStream:
    """Streams the given events; records the calls and whether the stream was closed."""

    def __init__(self, events: Sequence[GenerationEvent]) -> None:
        self.events = events
        self.calls: list[GenerationCall] = []
        self.closed = False

    def generate(
        self, call: GenerationCall, target: Target
    ) -> AsyncGenerator[GenerationEvent, None]:
        del target
        self.calls.append(call)
        return self._stream()

    async def _stream(self) -> AsyncGenerator[GenerationEvent, None]:
        try:
            for event in self.events:
                await asyncio.sleep(0.001)
                yield event
        finally:
            self.closed = True


def make_run(*, min_version: int = 1, single_version: bool = False) -> ItemRun:
    fold = StepFold()
    request = step(items=1, min_version=min_version)
    fold.apply(accepted(request), 0, 0.0)
    state = fold.steps["s1"]
    state.set_items({item.item_id: item for item in request.items})
    route = Route("r", "host.example", "/run/", CallKind.ROLLOUT, [], single_version=single_version)
    target = Target("e1", "svc", "127.0.0.1:1", "z", 9, False)
    return ItemRun(OpenItem(state, state.items["s1-0"], route), target, Draft("s1-0"), 1)


def stream(run: ItemRun, engine: OneStream, stats: EngineStats | None = None) -> None:
    asyncio.run(stream_item(run, engine, stats or EngineStats()))


def events(*versions: int, first: int = 1) -> Sequence[GenerationEvent]:
    return [
        GenerationEvent(first + at, f"{first + at}", version) for at, version in enumerate(versions)
    ]


def test_a_complete_stream_fills_the_draft_and_the_engine_statistics() -> None:
    run, stats, engine = make_run(), EngineStats(), OneStream(events(3, 3, 4))
    stream(run, engine, stats)
    assert run.draft.complete
    assert run.draft.text() == "1\n2\n3"
    assert run.draft.version_set() == [3, 4]
    assert stats.versions == {"m": 4}
    assert stats.lasting_interval_s > 0.0
    assert engine.closed


def test_a_run_resumes_after_the_last_event() -> None:
    run = make_run()
    run.draft.begin_run("r0")
    run.draft.add(1, "1", 1)
    engine = OneStream(events(1, 1, first=2))
    stream(run, engine)
    assert engine.calls[0].last_event_id == 1
    assert run.draft.text() == "1\n2\n3"


@pytest.mark.parametrize(
    ("sent", "min_version", "single_version", "kept"),
    [
        # A sample must not contain events of weights older than its step allows.
        (events(2, 1), 2, False, "1"),
        # A gap or a duplicate event must not enter the text.
        ([*events(1), *events(1, first=3)], 1, False, "1"),
        ([*events(1), *events(1)], 1, False, "1"),
        # The weights change within a text that requires a single version: discarded.
        (events(1, 2), 1, True, ""),
        ([], 1, False, ""),
    ],
)
def test_an_invalid_stream_ends_the_run(
    sent: Sequence[GenerationEvent], min_version: int, single_version: bool, kept: str
) -> None:
    run = make_run(min_version=min_version, single_version=single_version)
    engine = OneStream(sent)
    with pytest.raises(GenerationError) as caught:
        stream(run, engine)
    assert caught.value.reason is GenerationFailure.BROKEN
    assert run.draft.text() == kept
    assert not run.draft.complete
    assert engine.closed


def test_a_run_with_a_requested_move_ends_at_its_next_event() -> None:
    run, engine = make_run(), OneStream(events(1, 1, 1, 1))
    run.move_requested = True
    with pytest.raises(GenerationError):
        stream(run, engine)
    assert run.draft.text() == "1"
    assert engine.closed
