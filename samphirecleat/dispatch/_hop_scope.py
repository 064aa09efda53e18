"""Limits what an owner may do for a call that another node sent it.

Load: an owner falls silent while it holds a call, and the call is sent to another owner. Both may
still run it. So that no more targets run it than its route allows, an owner starts each attempt
after the first only with the consent of the sender, which counts the attempts of all owners. For
the same reason only one of them counts the call for its workspace.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar

from ..errors import Ran
from ..serving import Call, CallChannel, Target, TargetAnswer, TargetFault, UsageMeter


class AttemptGrant:
    """The attempts that one hop of a call may still start."""

    def __init__(self, granted: int, ask: Callable[[], Awaitable[bool]]) -> None:
        """Start with ``granted`` attempts; ``ask`` returns whether the sender grants another."""
        self._left = granted
        self._ask = ask

    async def take(self) -> bool:
        """Use an attempt, asking the sender if none is left; return whether there is one."""
        if self._left > 0:
            self._left -= 1
            return True
        return await self._ask()

    def give_back(self) -> None:
        """Return an attempt that ran nowhere."""
        self._left += 1


_grant: ContextVar[AttemptGrant | None] = ContextVar("attempt_grant", default=None)
_counts_usage: ContextVar[bool] = ContextVar("counts_usage", default=True)


@contextmanager
def hop_scope(grant: AttemptGrant | None, *, counts_usage: bool) -> Iterator[None]:
    """Apply a grant to the calls that the current task and the tasks started in it forward."""
    grant_token, usage_token = _grant.set(grant), _counts_usage.set(counts_usage)
    try:
        yield
    finally:
        _grant.reset(grant_token)
        _counts_usage.reset(usage_token)


def count_usage_in_scope(meter: UsageMeter) -> UsageMeter:
    """Return a meter that passes on only the calls that this node counts."""

    def record(workspace: str, began_at_s: float) -> None:
        if _counts_usage.get():
            meter(workspace, began_at_s)

    return record


class GrantedChannel:
    """A channel that sends a call only if the current hop has an attempt left."""

    def __init__(self, channel: CallChannel) -> None:
        """Send through ``channel``."""
        self._channel = channel

    async def exchange(self, call: Call, target: Target, budget_s: float) -> TargetAnswer:
        """Return the checked answer of a target; see :class:`CallChannel`.

        Without consent or time left, nothing is sent and this waits until it is cancelled: the
        attempts that the hop started before may still be answered.
        """
        grant = _grant.get()
        if grant is None:
            return await self._channel.exchange(call, target, budget_s)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        granted = await grant.take()
        left_s = budget_s - (loop.time() - started_s)
        if not granted or left_s <= 0.0:
            await loop.create_future()
        try:
            return await self._channel.exchange(call, target, left_s)
        except TargetFault as fault:
            if fault.ran is Ran.NO:
                grant.give_back()
            raise
