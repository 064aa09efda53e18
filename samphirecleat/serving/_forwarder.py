"""Forwards a call to a target and returns its answer within the deadline and attempt limit.

A target may be slow, silent or full, return corrupt answers, or have been replaced at its address;
calls take a few tens of milliseconds. An idempotent call gets a hedged attempt if the first one is
late. Any other call is sent once, and again only after proof that it didn't run. A call under which
a target crashed is sent to one target at a time, and to none once it is known to crash its targets.
Calls to services that this node dispatches wait in a queue until a target has room for them.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final

from ..crashes import CrashGuard, CrashVerdict
from ..errors import ErrorKind, Ran, RequestError
from ._call_attempts import CallAttempts, finish_grant
from ._crash_watch import call_digest, target_start
from ._route_table import RouteTable
from ._suspect_wait import SuspectWait
from ._target_table import TargetTable, select_services
from ._types import (
    RETURN_MARGIN_S,
    Call,
    CallChannel,
    Route,
    SendOutcome,
    Target,
    TargetAnswer,
    TargetFault,
    effective_deadline_s,
)

if TYPE_CHECKING:
    from ..dispatch import Grant, SlotQueue

# Calls with larger bodies are hashed only while any call is suspect: hashing is expensive for them,
# and large bodies are rarely identical.
MAX_HASHED_BODY_BYTES: Final = 65536


UsageMeter = Callable[[str, float], None]
"""Receives a call's workspace and the time when the call began to run, on the loop's clock."""


def discard_usage(workspace: str, began_at_s: float) -> None:
    """Discard the usage record."""
    del workspace, began_at_s


class Forwarder:
    """Forwards calls along routes over a channel; there is one per process."""

    def __init__(
        self,
        routes: RouteTable,
        targets: TargetTable,
        channel: CallChannel,
        rng: random.Random,
        meter: UsageMeter = discard_usage,
        guard: CrashGuard | None = None,
        slots: "SlotQueue | None" = None,
    ) -> None:
        """Select from ``targets`` and send through ``channel``.

        ``meter`` is called once for each call of a workspace that began to run. ``guard`` blocks
        calls that crash their targets; without it, no call is blocked. ``slots`` grants the targets
        of the services to which it applies; without it, all calls are sent at once.
        """
        self.slots = slots
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._rng = rng
        self.meter = meter
        self._guard = guard

    async def forward(
        self, call: Call, route: Route, *, priority: int | None = None
    ) -> TargetAnswer:
        """Return the target's answer, whatever its status.

        ``priority`` overrides that of the call's workspace or route, for a call that another node
        received.

        :raises RequestError: when there is no answer to return; ``ran`` is NO only if no target can
            have run the call.
        """
        now_s = asyncio.get_running_loop().time()
        deadline_s = effective_deadline_s(call, route)
        if deadline_s - RETURN_MARGIN_S <= now_s:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED, "deadline passed before the call was sent", ran=Ran.NO
            )
        if priority is None:
            priority = self._routes.call_priority(call.workspace, route)
        run = CallAttempts(self, call, route._replace(priority=priority), deadline_s)
        return await run.result()

    def choose_target(
        self, services: Sequence[str], tried: Sequence[str], now_s: float
    ) -> Target | None:
        """Return the next target for a route's services, None if there is none."""
        return self._targets.choose(services, tried, now_s)

    def select_services(self, route: Route) -> Sequence[str]:
        """Return one of the route's services, selected at random by weight."""
        return select_services(route, self._rng.random())

    def crash_verdict(self, call: Call) -> CrashVerdict:
        """Return whether a call may be sent, given the target crashes attributed to it."""
        if self._guard is None or not self._guard.has_suspects:
            return CrashVerdict.CLEAR
        return self._guard.verdict(call.request_id, call_digest(call), owed=call.for_trainer)

    def record_answer(self, call: Call) -> None:
        """Record that a target answered a call, which clears earlier crashes under it."""
        if self._guard is None:
            return
        if self._guard.has_suspects or len(call.body) <= MAX_HASHED_BODY_BYTES:
            self._guard.record_answer(call.request_id, call_digest(call))

    def suspect_wait(self, call: Call, services: Sequence[str], deadline_s: float) -> SuspectWait:
        """Return the waits of a call in case that a target crashes under it."""
        return SuspectWait(self._guard, call, services, deadline_s)

    async def record_cut(
        self, call: Call, target: Target, begun_s: float, fault: TargetFault
    ) -> None:
        """Report a failed run to the guard if the target closed the connection.

        The report is completed also if the call is cancelled meanwhile.
        """
        if self._guard is not None and fault.connection_closed:
            digest, start = call_digest(call), target_start(target)
            await asyncio.shield(
                self._guard.record_cut(call.request_id, digest, start, begun_s, fault.detail)
            )

    def reserve(self, target: Target, *, suspect: bool) -> Callable[[], None]:
        """Count a call at its target as soon as it is selected; return a function that undoes this.

        When a target fails, all its calls select their next target before any of them is sent. If
        they were counted only when sent, all of them would select the same target.
        """
        self._targets.record_start(target, suspect=suspect)
        reserved = [target]
        end_suspect = (
            self._guard.start_suspect(target.service) if self._guard and suspect else _end_nothing
        )

        def release() -> None:
            if reserved:
                self._targets.record_end(reserved.pop(), suspect=suspect)
                end_suspect()

        return release

    async def attempt(
        self,
        call: Call,
        target: Target,
        deadline_s: float,
        release: Callable[[], None],
        grant: "Grant | None" = None,
    ) -> TargetAnswer:
        """Send the call once, call ``release`` and record how the target behaved.

        ``grant`` is finished with the outcome.

        :raises TargetFault: when the target gave no answer.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._targets.warm.record_taken(target)
        try:
            answer = await self._channel.exchange(call, target, deadline_s - started_s)
        except TargetFault as fault:
            self._targets.record_failure(target, loop.time(), refused=fault.refused)
            # Before the target is examined, which takes a while: others mustn't be sent there.
            finish_grant(grant, SendOutcome.REFUSED if fault.refused else SendOutcome.FAILED)
            await self.record_cut(call, target, started_s, fault)
            raise
        except asyncio.CancelledError:
            now_s = loop.time()
            self._targets.record_abandoned(target, now_s - started_s, now_s)
            finish_grant(grant, SendOutcome.ABANDONED)
            raise
        finally:
            release()
        now_s = loop.time()
        finish_grant(grant, SendOutcome.ANSWERED)
        self.record_answer(call)
        self._targets.record_answer(target, now_s - started_s, now_s)
        self._targets.warm.record_returned(target, now_s)
        return answer


def _end_nothing() -> None:
    """Do nothing; the run isn't counted as a suspect's."""
