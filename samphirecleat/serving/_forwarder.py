"""Brings one call to a target and a whole answer back, within its deadline and attempts.

Load pattern answered: a target that is slow, silent, full, spoils answers or was replaced
under the same address, for calls of a few tens of milliseconds. A call that may be repeated
gets a second attempt beside the first when the first is late; one that may not is sent once,
and again only after a proof that it has not run. One under which a target ended is sent to one
target at a time, and to none once it is known to end them.
"""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from ..crashes import CrashGuard, CrashVerdict, barred_error, is_barred
from ..errors import ErrorKind, Ran, RequestError
from ._attempt_trail import AttemptTrail
from ._crash_watch import call_digest, target_start
from ._route_table import RouteTable
from ._target_table import TargetTable, services_in_turn
from ._types import Call, CallChannel, CallKind, Route, Target, TargetAnswer, TargetFault

# A second attempt starts when the first has used this part of the objective. Calls take a
# sixth of it on average, so a call that is this late has met a slow or silent target, and
# the rest of the objective still suffices for another.
HEDGE_SHARE: Final = 0.45
# Time kept back so that the last answer still reaches the caller before its deadline.
RETURN_MARGIN_S: Final = 0.02
# What a caller is told to wait when every target refused for lack of room: the time in
# which a call or two ends at each.
RETRY_AFTER_S: Final = 0.1
# Targets refuse at once, so a few more rounds cost little; each may be sent a call again.
REFUSALS_LIMIT: Final = 8
# Answers to calls with larger bodies are only noted while any call is suspected: a digest of each
# would cost more than it tells, since hardly two are alike.
REMEMBERED_BYTES: Final = 65536


UsageMeter = Callable[[str, float], None]
"""Takes the workspace of a call that began to run at a target, and when, on the loop's clock."""


def discard_usage(workspace: str, began_at_s: float) -> None:
    """Count nothing."""
    del workspace, began_at_s


class _Attempt(NamedTuple):
    target: Target
    task: asyncio.Task[TargetAnswer]
    sent_at_s: float


class Forwarder:
    """Forwards calls by routes over a channel; one for the whole process."""

    def __init__(
        self,
        routes: RouteTable,
        targets: TargetTable,
        channel: CallChannel,
        rng: random.Random,
        meter: UsageMeter = discard_usage,
        guard: CrashGuard | None = None,
    ) -> None:
        """Choose among ``targets`` and send through ``channel``.

        ``meter`` hears once of each call of a workspace that began to run. ``guard`` bars calls
        that end their targets; without one, none is barred.
        """
        self._routes = routes
        self._targets = targets
        self._channel = channel
        self._rng = rng
        self.meter = meter
        self._guard = guard

    async def forward(self, call: Call, route: Route) -> TargetAnswer:
        """Return the target's answer, whatever its status.

        :raises RequestError: when there is none to pass on; ``ran`` is NO only if no
            target can have run the call.
        """
        now_s = asyncio.get_running_loop().time()
        end_s = call.deadline_s
        if route.timeout_s > 0.0:
            end_s = min(end_s, call.received_at_s + route.timeout_s)
        if end_s - RETURN_MARGIN_S <= now_s:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no time is left", ran=Ran.NO)
        run = _Forwarding(self, call, route, end_s)
        return await run.result()

    def pick(self, services: Sequence[str], tried: Sequence[str], now_s: float) -> Target | None:
        """Return the next target of a route's services, None if there is none."""
        return self._targets.choose(services, tried, now_s)

    def services_for(self, route: Route) -> Sequence[str]:
        """Draw one of the route's services by their shares."""
        return services_in_turn(route, self._rng.random())

    def verdict(self, call: Call) -> CrashVerdict:
        """Return what may be done with a call by what is known of targets that ended under it."""
        if self._guard is None or not self._guard.has_suspects:
            return CrashVerdict.CLEAR
        return self._guard.verdict(call.request_id, call_digest(call))

    def answered(self, call: Call) -> None:
        """Note that a target answered a call, so that it does not end its targets."""
        if self._guard is None:
            return
        if self._guard.has_suspects or len(call.body) <= REMEMBERED_BYTES:
            self._guard.record_answer(call.request_id, call_digest(call))

    async def cut(self, call: Call, target: Target, begun_s: float, fault: TargetFault) -> None:
        """Take a fault of a run, which may have ended with its target."""
        if self._guard is not None and fault.cut:
            await self._guard.record_cut(
                call.request_id, call_digest(call), target_start(target), begun_s, fault.detail
            )

    def place(self, target: Target, *, suspect: bool) -> Callable[[], None]:
        """Count a call at its target from the moment it is chosen; return what ends that.

        Calls that lost their target together choose the next one together, before any of them is
        sent. Uncounted until then, they would all choose the same one.
        """
        self._targets.started(target, suspect=suspect)
        placed = [target]

        def release() -> None:
            if placed:
                self._targets.ended(placed.pop(), suspect=suspect)

        return release

    async def attempt(
        self, call: Call, target: Target, end_s: float, release: Callable[[], None]
    ) -> TargetAnswer:
        """Send the call once, then ``release`` its place, and note what was seen of the target.

        :raises TargetFault: when the target gave no answer.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._targets.warm.taken(target)
        try:
            answer = await self._channel.exchange(call, target, end_s - started_s)
        except TargetFault as fault:
            self._targets.failed(target, loop.time(), refused=fault.refused)
            await self.cut(call, target, started_s, fault)
            raise
        except asyncio.CancelledError:
            now_s = loop.time()
            self._targets.left_unanswered(target, now_s - started_s, now_s)
            raise
        finally:
            release()
        now_s = loop.time()
        self.answered(call)
        self._targets.answered(target, now_s - started_s, now_s)
        self._targets.warm.returned(target, now_s)
        return answer


class _Forwarding:
    """The attempts of one call."""

    def __init__(self, forwarder: Forwarder, call: Call, route: Route, end_s: float) -> None:
        self._forwarder = forwarder
        self._call = call
        self._route = route
        self._end_s = end_s
        self._services = forwarder.services_for(route)
        self._tried: list[str] = []
        self._ran = Ran.NO
        self._refusals = 0
        self._runs_used = 0
        self._trail = AttemptTrail()
        self._spoilt: TargetAnswer | None = None
        self._began_at_s = math.inf
        self._repeatable = route.kind is CallKind.IDEMPOTENT
        self._verdict = CrashVerdict.CLEAR

    async def result(self) -> TargetAnswer:
        """Return the first usable answer of the attempts; cancels the others."""
        attempts: list[_Attempt] = []
        try:
            return await self._race(attempts)
        finally:
            for attempt in attempts:
                attempt.task.cancel()
                self._note_begun(attempt)
            if self._call.workspace and self._began_at_s < math.inf:
                self._forwarder.meter(self._call.workspace, self._began_at_s)

    def _note_begun(self, attempt: _Attempt) -> None:
        """Take an attempt that may have begun to run; a call counts when its first one did."""
        self._began_at_s = min(self._began_at_s, attempt.sent_at_s)

    async def _race(self, attempts: list[_Attempt]) -> TargetAnswer:
        loop = asyncio.get_running_loop()
        hedge_s = self._route.objective_s * HEDGE_SHARE
        next_hedge_s = loop.time() + hedge_s
        while True:
            if not attempts and not self._start(attempts, loop.time()):
                return self._give_up(loop.time())
            left_s = self._end_s - RETURN_MARGIN_S - loop.time()
            if left_s <= 0.0:
                raise RequestError(
                    ErrorKind.DEADLINE_EXCEEDED,
                    f"no answer in time; {self._trail.told(loop.time())}",
                    ran=Ran.UNKNOWN,
                )
            may_hedge = self._repeatable and self._runs_used < self._route.max_attempts
            wait_s = min(left_s, max(0.0, next_hedge_s - loop.time())) if may_hedge else left_s
            done, _ = await asyncio.wait(
                [a.task for a in attempts], timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in [a for a in attempts if a.task in done]:
                attempts.remove(attempt)
                answer = self._take(attempt, loop.time())
                if answer is not None:
                    return answer
            if not done and may_hedge and loop.time() >= next_hedge_s:
                self._start(attempts, loop.time())
                next_hedge_s = loop.time() + 2.0 * hedge_s

    def _start(self, attempts: list[_Attempt], now_s: float) -> bool:
        """Start one more attempt; False when attempts or targets are used up."""
        if self._runs_used >= self._route.max_attempts or self._refusals >= REFUSALS_LIMIT:
            return False
        if self._ran is not Ran.NO and not self._repeatable:
            return False
        self._verdict = self._forwarder.verdict(self._call)
        if is_barred(self._verdict) or (attempts and self._verdict is not CrashVerdict.CLEAR):
            return False
        target = self._forwarder.pick(self._services, self._tried, now_s)
        if target is None:
            return False
        if attempts and target.instance in self._tried:
            return False
        self._tried.append(target.instance)
        self._runs_used += 1
        self._trail.sent(target.instance, now_s)
        release = self._forwarder.place(target, suspect=self._verdict is not CrashVerdict.CLEAR)
        attempt = self._forwarder.attempt(self._call, target, self._end_s, release)
        task = asyncio.ensure_future(attempt)
        # One that is cancelled before its first step releases nothing itself.
        task.add_done_callback(lambda _task: release())
        attempts.append(_Attempt(target, task, now_s))
        return True

    def _take(self, attempt: _Attempt, now_s: float) -> TargetAnswer | None:
        """Return the attempt's answer if it settles the call, else remember why not."""
        try:
            answer = attempt.task.result()
        except TargetFault as fault:
            self._trail.ended(attempt.target.instance, fault.detail, now_s)
            if fault.ran is Ran.NO:
                # It ran nowhere, so it counts against no limit on runs.
                self._runs_used -= 1
                self._refusals += 1
            else:
                self._ran = Ran.UNKNOWN
                self._note_begun(attempt)
            return None
        self._note_begun(attempt)
        self._trail.ended(attempt.target.instance, f"answered {answer.status}", now_s)
        if answer.status >= 500 and self._repeatable:
            self._spoilt = answer
            self._ran = Ran.UNKNOWN
            if self._runs_used < self._route.max_attempts:
                return None
        return answer

    def _give_up(self, now_s: float) -> TargetAnswer:
        """Return the failure that a target gave, or raise our own.

        :raises RequestError: always, unless a target answered with a failure.
        """
        if self._spoilt is not None:
            return self._spoilt
        if is_barred(self._verdict):
            raise barred(self._verdict, self._ran, self._trail.told(now_s))
        raise unanswered(self._ran, self._trail.told(now_s))


def barred(verdict: CrashVerdict, ran: Ran, detail: str) -> RequestError:
    """Return the error of a call that is not sent since targets ended under it.

    ``ran`` is NO only if no target can have run it under this id.
    """
    if verdict is CrashVerdict.HELD and ran is not Ran.NO:
        return unanswered(ran, detail)
    return barred_error(verdict, detail)


def unanswered(ran: Ran, detail: str) -> RequestError:
    """Return the error of a call whose attempts are used up.

    ``ran`` is NO only if no target can have run it; its caller may then come back.
    """
    if ran is Ran.NO:
        return RequestError(
            ErrorKind.NO_TARGET,
            f"no target took the call: {detail}",
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)
