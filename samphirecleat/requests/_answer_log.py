"""The lines of one answer, kept so that every reader sees them all and in order."""

import asyncio
from collections.abc import AsyncIterator

from ..errors import RequestError
from ._call import AnswerLine


class AnswerLog:
    """Collects an answer from its run and replays it to any number of readers.

    The run never waits for a reader, so that a caller who reads slowly or goes
    away holds up nobody; memory is bounded by the longest answer.
    """

    def __init__(self) -> None:
        """Start with no line and not closed."""
        self._lines: list[AnswerLine] = []
        self._error: RequestError | None = None
        self._closed = False
        self._discarded = False
        self._grew = asyncio.Event()
        self.target = ""
        """The target that the run is at, or was last."""

    @property
    def closed(self) -> bool:
        """Whether the answer is whole or has failed."""
        return self._closed

    @property
    def started(self) -> bool:
        """Whether a reader may have seen a part of it."""
        return bool(self._lines)

    def add(self, line: AnswerLine) -> None:
        """Add a line."""
        self._lines.append(line)
        self._wake()

    def close(self, error: RequestError | None = None) -> None:
        """End the answer, whole or with an error; the first end counts."""
        if not self._closed:
            self._closed = True
            self._error = error
            self._wake()

    async def read(self) -> AsyncIterator[AnswerLine]:
        """Yield every line from the first to the last, waiting for those to come.

        :raises samphirecleat.errors.RequestError: where the answer failed.
        """
        index = 0
        while True:
            while index < len(self._lines):
                yield self._lines[index]
                index += 1
            if self._closed:
                break
            await self._grew.wait()
        if self._error is not None:
            raise self._error

    def _wake(self) -> None:
        self._grew.set()
        self._grew = asyncio.Event()
