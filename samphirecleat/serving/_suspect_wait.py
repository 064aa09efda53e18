"""Lets a call wait, or end, while its service can't afford that it crashes another target."""

import asyncio
from collections.abc import Sequence
from functools import cached_property
from typing import Final

from ..crashes import CrashGuard
from ._crash_watch import call_digest
from ._types import Call

# A call that starts later than this before its deadline could rarely be answered, as calls take a
# few tens of milliseconds.
LAST_START_MARGIN_S: Final = 0.07
# Time that is left to return an error to the caller.
ERROR_MARGIN_S: Final = 0.02


class SuspectWait:
    """The waits of one call under which a target may have crashed."""

    def __init__(
        self, guard: CrashGuard | None, call: Call, services: Sequence[str], deadline_s: float
    ) -> None:
        """Wait no longer than until ``deadline_s``, on the loop's clock; without a guard, never."""
        self._guard = guard
        self._call = call
        self._service = services[0] if services else ""
        self._deadline_s = deadline_s

    @cached_property
    def _digest(self) -> bytes:
        return call_digest(self._call)

    async def may_send(self) -> bool:
        """Wait until the call may be sent; return False if that isn't possible in time.

        The caller selects a target without yielding in between.
        """
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return True
        return await guard.wait_for_turn(
            self._call.request_id,
            self._digest,
            self._service,
            self._deadline_s - LAST_START_MARGIN_S,
            owed=self._call.for_trainer,
        )

    def may_send_now(self) -> bool:
        """Whether the call may be sent without a wait, after it waited for something else."""
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return True
        return guard.may_start_suspect(self._digest, self._service, owed=self._call.for_trainer)

    def must_stop_others(self) -> bool:
        """Whether the call's other attempts must end, now that a target crashed under one."""
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return False
        return guard.must_stop_suspect(self._digest, self._service, owed=self._call.for_trainer)

    async def await_announcement(self) -> None:
        """Wait until other nodes know of a crash under the call, if its service is small.

        The caller may send the call again to another node as soon as it has this node's error.
        """
        guard = self._guard
        if guard is None or not guard.has_suspects:
            return
        now_s = asyncio.get_running_loop().time()
        announcing_s = guard.announcing_left_s(self._digest)
        left_s = self._deadline_s - ERROR_MARGIN_S - now_s
        await asyncio.sleep(max(0.0, min(announcing_s, left_s)))

    def retry_after_s(self) -> float:
        """Return the time after which a call that wasn't sent may be sent again."""
        return self._guard.retry_after_s(self._service) if self._guard is not None else 0.0
