"""One item on one engine: its stream is taken into the item's draft, event by event."""

import asyncio
import secrets
from collections.abc import AsyncGenerator
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

from ..serving import MIDDLE_PRIORITY, Target
from ._drafts import Draft
from ._item_decisions import ItemName
from ._open_item import OpenItem
from ._paces import Pace
from ._ports import (
    GenerationCall,
    GenerationChannel,
    GenerationError,
    GenerationEvent,
    GenerationFailure,
)

# A run is given up after so long without an event. Engines make one in about 40 ms; one
# that takes new weights pauses for a second.
STALL_S: Final = 1.5
FIRST_EVENT_S: Final = 2.0
# What an engine is told of the time left where the route names no end.
UNBOUNDED_RUN_S: Final = 60.0


@dataclass
class ItemRun:
    """One run, at the priority of its workspace; ``move`` may be set to have it end soon."""

    open_item: OpenItem
    target: Target
    draft: Draft
    planned_tokens: int
    priority: int = MIDDLE_PRIORITY
    task: asyncio.Task[None] | None = None
    events: int = 0
    move: bool = False

    @property
    def name(self) -> ItemName:
        """The step's and the item's id."""
        return self.open_item.name


async def stream_item(run: ItemRun, engines: GenerationChannel, pace: Pace) -> None:
    """Take the events of one run into its draft, until the text is whole.

    :raises GenerationError: when the run ends before that, or the engine falls silent.
    """
    loop = asyncio.get_running_loop()
    spec = run.open_item.step.spec
    run.draft.begin_run(secrets.token_hex(6))
    stream = engines.generate(_call_of(run, loop.time()), run.target)
    last_s = loop.time()
    wait_s = FIRST_EVENT_S
    try:
        while True:
            piece = await _next_piece(stream, wait_s)
            if piece is None:
                break
            _take_piece(run, piece)
            pace.note_version(spec.model, piece.version)
            now_s = loop.time()
            run.events += 1
            if run.events > 1:
                pace.note_pause(now_s - last_s)
            last_s = now_s
            wait_s = STALL_S
            if run.move:
                raise GenerationError("a faster engine is free", GenerationFailure.REFUSED)
        if not run.draft.pieces:
            raise GenerationError("ended without an event", GenerationFailure.BROKEN)
        run.draft.whole = True
    finally:
        # The connection must be closed before the item goes on elsewhere.
        with suppress(GenerationError, asyncio.CancelledError):
            await stream.aclose()


async def _next_piece(
    stream: AsyncGenerator[GenerationEvent, None], wait_s: float
) -> GenerationEvent | None:
    """Return the next event, None at the end of the stream.

    :raises GenerationError: when none comes in time.
    """
    try:
        async with asyncio.timeout(wait_s):
            return await anext(stream, None)
    except TimeoutError as error:
        detail = f"no event for {wait_s} s; moved"
        raise GenerationError(detail, GenerationFailure.SILENT) from error


def _call_of(run: ItemRun, now_s: float) -> GenerationCall:
    step, item, route = run.open_item
    left_s = route.retention_s - (now_s - step.folded_at_s)
    return GenerationCall(
        item.item_id,
        step.spec.host,
        item.raw_path,
        item.headers,
        item.body,
        run.draft.last_event_id,
        max(1.0, left_s) if route.retention_s > 0.0 else UNBOUNDED_RUN_S,
        run.priority,
        step.spec.workspace,
    )


def _take_piece(run: ItemRun, piece: GenerationEvent) -> None:
    """Add an event to the draft.

    :raises GenerationError: when it does not belong there: made by weights that the step
        does not allow, or not the next event of the text.
    """
    spec, draft = run.open_item.step.spec, run.draft
    if piece.version < spec.min_version:
        raise GenerationError(f"made by version {piece.version}", GenerationFailure.BROKEN)
    if not draft.add(piece.event_id, piece.data, piece.version):
        detail = f"event {piece.event_id} after {draft.last_event_id}"
        raise GenerationError(detail, GenerationFailure.BROKEN)
    if not draft.fits(spec.min_version, single_version=run.open_item.route.single_version):
        draft.clear()
        raise GenerationError("a second version", GenerationFailure.BROKEN)
