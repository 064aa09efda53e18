"""Replayable buffer for the lines of one answer."""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable
from typing import Final

from ..errors import ErrorKind, RequestError
from ._call import AnswerLine, Span, merge_spans

LINE_OVERHEAD_BYTES: Final = 500
ResizeCallback = Callable[["AnswerLog", int], None]


def _ignore_resize(_log: "AnswerLog", _delta_bytes: int) -> None:
    return


class AnswerLog:
    """Buffers the answer of a run and replays it to any number of readers.

    Every reader gets all lines in order. The run never blocks on a reader, so a
    slow or disconnected caller delays nobody. Memory is bounded by the
    :class:`~samphirecleat.requests.AnswerStore` that created the log: it is
    notified of each change in size and may discard the lines of a closed answer.
    """

    def __init__(self, on_resize: ResizeCallback = _ignore_resize) -> None:
        """Create an open, empty log that reports each change in size to ``on_resize``."""
        self._on_resize = on_resize
        self._lines: list[AnswerLine] = []
        self._error: RequestError | None = None
        self._closed = False
        self._discarded_lines = 0
        self._lines_added = 0
        self._changed = asyncio.Event()
        self.readers = 0
        self.size_bytes = 0
        self.target = ""
        """Address of the target that serves the run, or that served it last."""

    @property
    def closed(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self._closed

    @property
    def error(self) -> RequestError | None:
        """The error that the answer was closed with, or None."""
        return self._error

    @property
    def started(self) -> bool:
        """Whether a reader may have seen part of the answer."""
        return self._lines_added > 0

    @property
    def lines_added(self) -> int:
        """Number of lines added so far, including discarded ones."""
        return self._lines_added

    def add(self, line: AnswerLine) -> None:
        """Append a line and wake the readers."""
        self._lines.append(line)
        self._lines_added += 1
        self._resize(self.size_bytes + estimate_bytes(line))
        self._notify()

    def close(self, error: RequestError | None = None) -> None:
        """Close the answer, as complete or with an error; later calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._error = error
        self._compact()
        self._on_resize(self, 0)
        self._notify()

    def discard(self) -> None:
        """Drop the lines of a closed answer; later reads raise ANSWER_DISCARDED."""
        if self._closed and self._lines:
            self._discarded_lines = len(self._lines)
            self._lines.clear()
            self._resize(0)

    async def read(self, deadline_at_s: float | None = None) -> AsyncGenerator[AnswerLine, None]:
        """Yield every line in order, waiting for new ones until the answer is closed.

        :raises samphirecleat.errors.RequestError: the error of a failed answer;
            ANSWER_DISCARDED if lines were dropped before this reader got them;
            DEADLINE_EXCEEDED when the event loop's clock reaches ``deadline_at_s``
            before the answer is closed.
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
                await self._wait_for_line(deadline_at_s)
            if self._error is not None:
                raise self._error
            self._check_not_discarded(index)
        finally:
            self.readers -= 1
            self._compact()

    def _check_not_discarded(self, lines_read: int) -> None:
        if lines_read < self._discarded_lines:
            raise RequestError(
                ErrorKind.ANSWER_DISCARDED,
                "the request was executed but its answer has been discarded",
            )

    async def _wait_for_line(self, deadline_at_s: float | None) -> None:
        changed = self._changed
        try:
            async with asyncio.timeout_at(deadline_at_s):
                await changed.wait()
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED, "the run did not end before the deadline"
            ) from error

    def _compact(self) -> None:
        """Merge the lines of a closed answer into one while it has no readers."""
        if self._closed and not self.readers and len(self._lines) > 1:
            joined = join_lines(self._lines)
            self._lines = [joined]
            self._resize(estimate_bytes(joined))

    def _resize(self, size_bytes: int) -> None:
        delta_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        self._on_resize(self, delta_bytes)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def join_lines(lines: list[AnswerLine]) -> AnswerLine:
    """Merge lines into one: texts are concatenated, spans merged, other keys overwritten."""
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
    """Estimate the memory that a line occupies, erring on the high side."""
    result = json.dumps(line["result"]) if "result" in line else ""
    spans = line.get("spans", ())
    return LINE_OVERHEAD_BYTES + len(line.get("text", "")) + 2 * len(result) + 100 * len(spans)
