"""The lines of one answer, kept so that every reader sees them all and in order."""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable
from typing import Final

from ..errors import ErrorKind, RequestError
from ._call import AnswerLine, Span, merge_spans

LINE_OVERHEAD_BYTES: Final = 500
SizeListener = Callable[["AnswerLog", int], None]


def _ignore_size(_log: "AnswerLog", _grown_bytes: int) -> None:
    return


class AnswerLog:
    """Collects an answer from its run and replays it to any number of readers.

    The run never waits for a reader, so that a caller who reads slowly or goes
    away holds up nobody. What bounds the memory is the
    :class:`~samphirecleat.requests.AnswerStore` that made the log: it hears of
    each change in size and may discard the lines of an answer that has ended.
    """

    def __init__(self, on_size: SizeListener = _ignore_size) -> None:
        """Start with no line and not closed; tell ``on_size`` of every change."""
        self._on_size = on_size
        self._lines: list[AnswerLine] = []
        self._error: RequestError | None = None
        self._closed = False
        self._discarded_lines = 0
        self._added = 0
        self._grew = asyncio.Event()
        self.readers = 0
        self.size_bytes = 0
        self.target = ""
        """The target that the run is at, or was last."""

    @property
    def closed(self) -> bool:
        """Whether the answer is whole or has failed."""
        return self._closed

    @property
    def error(self) -> RequestError | None:
        """The error that ended the answer, None while it has none."""
        return self._error

    @property
    def started(self) -> bool:
        """Whether a reader may have seen a part of it."""
        return self._added > 0

    @property
    def lines_added(self) -> int:
        """How many lines the run has added so far."""
        return self._added

    def add(self, line: AnswerLine) -> None:
        """Add a line."""
        self._lines.append(line)
        self._added += 1
        self._resize(self.size_bytes + estimate_bytes(line))
        self._wake()

    def close(self, error: RequestError | None = None) -> None:
        """End the answer, whole or with an error; the first end counts."""
        if self._closed:
            return
        self._closed = True
        self._error = error
        self._compact()
        self._on_size(self, 0)
        self._wake()

    def discard(self) -> None:
        """Drop the lines of an ended answer; who reads it later is told so."""
        if self._closed and self._lines:
            self._discarded_lines = len(self._lines)
            self._lines.clear()
            self._resize(0)

    async def read(self, give_up_at_s: float | None = None) -> AsyncGenerator[AnswerLine, None]:
        """Yield every line from the first to the last, waiting for those to come.

        :raises samphirecleat.errors.RequestError: where the answer failed, or with
            ANSWER_DISCARDED, or with DEADLINE_EXCEEDED when the loop's clock
            reaches ``give_up_at_s`` before the end.
        """
        self.readers += 1
        try:
            index = 0
            while True:
                while index < len(self._lines):
                    yield self._lines[index]
                    index += 1
                if self._closed:
                    break
                await self._wait(give_up_at_s)
            if self._error is not None:
                raise self._error
            self._check_kept(index)
        finally:
            self.readers -= 1
            self._compact()

    def _check_kept(self, lines_read: int) -> None:
        if lines_read < self._discarded_lines:
            raise RequestError(
                ErrorKind.ANSWER_DISCARDED,
                "the request ran and its answer is no longer kept",
            )

    async def _wait(self, give_up_at_s: float | None) -> None:
        grew = self._grew
        try:
            async with asyncio.timeout_at(give_up_at_s):
                await grew.wait()
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED, "the run has not ended within this deadline"
            ) from error

    def _compact(self) -> None:
        """Join the lines of an ended answer while nobody reads it."""
        if self._closed and not self.readers and len(self._lines) > 1:
            joined = join_lines(self._lines)
            self._lines = [joined]
            self._resize(estimate_bytes(joined))

    def _resize(self, size_bytes: int) -> None:
        grown_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        self._on_size(self, grown_bytes)

    def _wake(self) -> None:
        self._grew.set()
        self._grew = asyncio.Event()


def join_lines(lines: list[AnswerLine]) -> AnswerLine:
    """Return one line that says all that the given ones say together."""
    joined: AnswerLine = {}
    spans: list[Span] = []
    for line in lines:
        joined.update(line)
        spans.extend(line.get("spans", ()))
    if any("text" in line for line in lines):
        joined["text"] = "".join(line.get("text", "") for line in lines)
    if spans:
        joined["spans"] = merge_spans(spans)
    return joined


def estimate_bytes(line: AnswerLine) -> int:
    """Return about how much memory a line holds, a little too much if anything."""
    result = json.dumps(line["result"]) if "result" in line else ""
    spans = line.get("spans", ())
    return LINE_OVERHEAD_BYTES + len(line.get("text", "")) + 2 * len(result) + 100 * len(spans)
