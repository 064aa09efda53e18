"""Ends transfers to callers that stop reading while memory is short."""

import asyncio
from collections.abc import Callable
from typing import Final

from ..connections import unread_bytes

# A transfer without progress for this long is ended while memory is short. Within it, even a slow
# reader's kernel announces free space in its receive buffer.
STALL_S: Final = 2.0
# Part of the stall time between two looks at the transfers in progress.
_CHECK_FRACTION: Final = 0.125


class _Transfer:
    """One write to a caller, and when the caller last took something of it."""

    __slots__ = ("progressed_at_s", "transport", "unread_bytes")

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.unread_bytes = -1
        self.progressed_at_s = 0.0

    def update(self, now_s: float) -> None:
        unread = unread_bytes(self.transport)
        if unread != self.unread_bytes:
            self.unread_bytes = unread
            self.progressed_at_s = now_s


class TransferWatch:
    """Looks at all writes in progress at short intervals, and aborts connections that stall."""

    def __init__(
        self, must_end: Callable[[], bool], on_ended: Callable[[], None], stall_s: float = STALL_S
    ) -> None:
        """End transfers without progress for ``stall_s`` while ``must_end`` returns True.

        ``on_ended`` is called once for each. The connection is aborted, so that a response cut
        short never looks complete.
        """
        self._must_end = must_end
        self._on_ended = on_ended
        self._stall_s = stall_s
        self._transfers: set[_Transfer] = set()
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, transport: asyncio.Transport) -> _Transfer:
        """Watch a write from now on, until it is passed to :meth:`end`."""
        transfer = _Transfer(transport)
        self._transfers.add(transfer)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._stall_s * _CHECK_FRACTION, self._check, loop)
        return transfer

    def end(self, transfer: _Transfer) -> None:
        """Stop watching a write, whether it was completed or not."""
        self._transfers.discard(transfer)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        self._timer = None
        if not self._transfers:
            return
        now_s = loop.time()
        must_end = self._must_end()
        for transfer in list(self._transfers):
            transfer.update(now_s)
            if must_end and now_s - transfer.progressed_at_s >= self._stall_s:
                self._transfers.discard(transfer)
                self._on_ended()
                transfer.transport.abort()
        self._timer = loop.call_later(self._stall_s * _CHECK_FRACTION, self._check, loop)
