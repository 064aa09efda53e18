"""Reads the bodies of targets' answers within the memory for answers that arrive."""

from time import monotonic
from typing import Final

import aiohttp

from ..connections import ByteBudget, ByteLease
from ..observe import Observer

# The part of each answer that needs no room, so that ordinary answers are never refused.
UNCOUNTED_BYTES: Final = 65_536
DEFAULT_LIMIT_BYTES: Final = 32_000_000


class AnswerTooLargeError(aiohttp.ClientError):
    """An answer has more bytes than there is room for; its connection is closed."""


class AnswerBytes:
    """Counts what has arrived of all answers, until each of them is complete.

    A target in trouble may send a body without end. Only the time that its caller has left would
    bound the bytes of such an answer, and nothing those of many of them together.
    """

    def __init__(self, observer: Observer, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Hold up to ``limit_bytes`` of all answers together, and as many of a single one.

        ``observer`` counts the answers that were cut.
        """
        self.budget = ByteBudget(limit_bytes, monotonic)
        self._counters = observer.counters

    async def read(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the body of an answer.

        :raises AnswerTooLargeError: if there is no room for it.
        :raises aiohttp.ClientError: if it does not arrive completely.
        """
        if (response.content_length or 0) > self.budget.limit_bytes:
            raise self._refuse(response)
        chunks: list[bytes] = []
        size_bytes = 0
        with ByteLease(self.budget) as lease:
            async for chunk in response.content.iter_any():
                size_bytes += len(chunk)
                if not self._has_room(lease, size_bytes):
                    raise self._refuse(response)
                chunks.append(chunk)
        return b"".join(chunks)

    def _has_room(self, lease: ByteLease, size_bytes: int) -> bool:
        """Hold an answer of which ``size_bytes`` have arrived; return whether it fits."""
        new_bytes = size_bytes - UNCOUNTED_BYTES - lease.held_bytes
        if new_bytes <= 0:
            return True
        return size_bytes <= self.budget.limit_bytes and lease.try_hold(new_bytes)

    def _refuse(self, response: aiohttp.ClientResponse) -> AnswerTooLargeError:
        response.close()
        self._counters["answers_cut"] += 1
        return AnswerTooLargeError("the answer has more bytes than there is room for")
