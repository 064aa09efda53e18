"""Forwards a call to a target and returns its answer within the deadline and attempt limit.

A target may be slow, silent or full, return corrupt answers, or have been replaced at its address;
calls take a few tens of milliseconds. An idempotent call gets a hedged attempt if the first one is
late. Any other call is sent once, and again only after proof that it didn't run. A call under which
a target crashed is sent to one target at a time, and to none once it is known to crash its targets.
Calls to services that this node dispatches wait in a queue until a target has room for them.
"""

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

from ..crashes import CrashGuard, CrashVerdict, blocked_error, is_blocked
from ..errors import ErrorKind, Ran, RequestError
from ._attempt_log import AttemptLog
from ._crash_watch import call_digest, target_start
from ._route_table import RouteTable
from ._suspect_wait import SuspectWait
from ._target_table import TargetTable, select_services
from ._types import (
    RETURN_MARGIN_S,
    Call,
    CallChannel,
    CallKind,
    Route,
    SendOutcome,
    Target,
    TargetAnswer,
    TargetFault,
    effective_deadline_s,
)

if TYPE_CHECKING:
    from ..dispatch import Grant, SlotQueue

# Fraction of the latency objective after which a hedged attempt starts. Calls take a sixth of the
# objective on average, so a call that is this late has hit a slow or silent target, and the rest of
# the objective still suffices for another attempt.
HEDGE_FRACTION: Final = 0.45
# Retry delay for a caller whose call every target refused for lack of capacity: the time in which
# one or two calls finish at each target.
RETRY_AFTER_S: Final = 0.1
# Refusals after which a call fails. Targets refuse at once, so several attempts are cheap; a call
# may be sent to the same target twice.
MAX_REFUSALS: Final = 8
# Longest time for which an attempt goes on after another one has answered the call. Cancelling it
# would close its connection, and the next call would have to open a new one.
SUPERSEDED_ATTEMPT_S: Final = 0.5
# Calls with larger bodies are hashed only while any call is suspect: hashing is expensive for them,
# and large bodies are rarely identical.
MAX_HASHED_BODY_BYTES: Final = 65536


UsageMeter = Callable[[str, float], None]
"""Receives a call's workspace and the time when the call began to run, on the loop's clock."""


def discard_usage(workspace: str, began_at_s: float) -> None:
    """Discard the usage record."""
    del workspace, began_at_s


class _Attempt(NamedTuple):
    target: Target
    task: asyncio.Task[TargetAnswer]
    sent_at_s: float
    grant: "Grant | None" = None


def finish_grant(grant: "Grant | None", outcome: SendOutcome) -> None:
    """Finish a grant, if there is one that isn't finished."""
    if grant is not None:
        grant.finish(outcome)


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
        run = _Forwarding(self, call, route._replace(priority=priority), deadline_s)
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
        return self._guard.verdict(call.request_id, call_digest(call))

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


class _Forwarding:
    """Runs the attempts of one call."""

    def __init__(self, forwarder: Forwarder, call: Call, route: Route, deadline_s: float) -> None:
        self._forwarder = forwarder
        self._call = call
        self._route = route
        self._deadline_s = deadline_s
        self._services = forwarder.select_services(route)
        self._slots = forwarder.slots
        if not self._services or not self._slots or not self._slots.applies(self._services[0]):
            self._slots = None
        self._refused_grant: Grant | None = None
        self._queue_error = ""
        self._tried: list[str] = []
        self._ran = Ran.NO
        self._refusal_count = 0
        self._attempts_used = 0
        self._attempt_log = AttemptLog()
        self._failure_answer: TargetAnswer | None = None
        self._began_at_s = math.inf
        self._repeatable = route.kind is CallKind.IDEMPOTENT
        self._crash_verdict = CrashVerdict.CLEAR
        self._suspect_wait = forwarder.suspect_wait(call, self._services, deadline_s)

    async def result(self) -> TargetAnswer:
        """Return the first usable answer and end the other attempts."""
        attempts: list[_Attempt] = []
        answered = False
        try:
            answer = await self._run_attempts(attempts)
            answered = True
            return answer
        finally:
            for attempt in attempts:
                _end_attempt(attempt, answered=answered)
                self._record_begin(attempt)
            if self._call.workspace and self._began_at_s < math.inf:
                self._forwarder.meter(self._call.workspace, self._began_at_s)

    def _record_begin(self, attempt: _Attempt) -> None:
        """Record an attempt that may have begun to run; the earliest one counts for usage."""
        self._began_at_s = min(self._began_at_s, attempt.sent_at_s)

    async def _run_attempts(self, attempts: list[_Attempt]) -> TargetAnswer:
        loop = asyncio.get_running_loop()
        hedge_s = self._route.objective_s * HEDGE_FRACTION
        next_hedge_s = loop.time() + hedge_s
        while True:
            if not attempts:
                if not await self._start_next(attempts):
                    await self._suspect_wait.await_announcement()
                    return self._give_up(loop.time())
                if self._slots is not None:
                    next_hedge_s = loop.time() + hedge_s
            left_s = self._deadline_s - RETURN_MARGIN_S - loop.time()
            if left_s <= 0.0:
                raise RequestError(
                    ErrorKind.DEADLINE_EXCEEDED,
                    f"no answer in time; {self._attempt_log.summary(loop.time())}",
                    ran=Ran.UNKNOWN,
                )
            may_hedge = self._repeatable and self._attempts_used < self._route.max_attempts
            wait_s = min(left_s, max(0.0, next_hedge_s - loop.time())) if may_hedge else left_s
            done, _ = await asyncio.wait(
                [a.task for a in attempts], timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
            )
            for attempt in [a for a in attempts if a.task in done]:
                attempts.remove(attempt)
                answer = self._take_result(attempt, loop.time())
                if answer is not None:
                    return answer
            if done and attempts and self._suspect_wait.must_stop_others():
                self._stop(attempts, loop.time())
            if not done and may_hedge and loop.time() >= next_hedge_s:
                self._start_hedge(attempts, loop.time())
                next_hedge_s = loop.time() + 2.0 * hedge_s

    async def _start_next(self, attempts: list[_Attempt]) -> bool:
        """Start the only attempt, after a wait if the call is suspect; return False if it can't be.

        :raises RequestError: if the call is refused by the queue and hasn't run.
        """
        loop = asyncio.get_running_loop()
        while self._has_attempt_left():
            if not await self._suspect_wait.may_send():
                self._crash_verdict = CrashVerdict.HELD
                return False
            if self._slots is None:
                return self._start_attempt(attempts, loop.time())
            if not self._may_send(attempts):
                return False
            grant = await self._acquire(self._slots)
            if grant is None:
                return False
            # The call may have become suspect while it waited.
            may_send = self._may_send(attempts)
            if may_send and self._suspect_wait.may_send_now():
                self._send(attempts, grant.target, loop.time(), grant)
                return True
            finish_grant(grant, SendOutcome.NOT_SENT)
            if not may_send:
                return False
        return False

    async def _acquire(self, slots: "SlotQueue") -> "Grant | None":
        """Wait for a target; return None if there is none and the call may have run already."""
        refused, self._refused_grant = self._refused_grant, None
        try:
            if refused is not None:
                return await slots.acquire_again(refused, self._tried_in_vain())
            return await slots.acquire(
                self._services[0],
                self._call,
                self._route,
                self._tried_in_vain(),
                repeated=self._ran is not Ran.NO,
            )
        except RequestError as error:
            if self._ran is not Ran.NO:
                self._queue_error = error.detail
                return None
            if not self._tried:
                raise
            log = self._attempt_log.summary(asyncio.get_running_loop().time())
            raise RequestError(
                error.kind,
                f"{error.detail}; {log}",
                ran=Ran.NO,
                retry_after_s=error.retry_after_s,
            ) from error

    def _tried_in_vain(self) -> Sequence[str]:
        """Return the targets to avoid, those at which the call may have run."""
        return self._tried if self._ran is not Ran.NO else ()

    def _start_hedge(self, attempts: list[_Attempt], now_s: float) -> None:
        """Start another attempt beside those that are under way, if there is capacity for it."""
        if self._slots is None:
            self._start_attempt(attempts, now_s)
            return
        if not self._may_send(attempts):
            return
        grant = self._slots.try_acquire(self._services[0], self._call, self._route, self._tried)
        if grant is not None:
            self._send(attempts, grant.target, now_s, grant)

    def _stop(self, attempts: list[_Attempt], now_s: float) -> None:
        """Cancel attempts that may crash further targets; the call may have run there."""
        for attempt in attempts:
            attempt.task.cancel()
            self._record_begin(attempt)
            self._attempt_log.record_outcome(
                attempt.target.instance, "cancelled, another target crashed under the call", now_s
            )
        self._ran = Ran.UNKNOWN
        attempts.clear()

    def _may_send(self, attempts: list[_Attempt]) -> bool:
        """Return whether the call may be sent again, beside the attempts that are under way."""
        if not self._has_attempt_left():
            return False
        self._crash_verdict = self._forwarder.crash_verdict(self._call)
        if is_blocked(self._crash_verdict):
            return False
        return not attempts or self._crash_verdict is CrashVerdict.CLEAR

    def _has_attempt_left(self) -> bool:
        if self._attempts_used >= self._route.max_attempts:
            return False
        return self._ran is Ran.NO or self._repeatable

    def _start_attempt(self, attempts: list[_Attempt], now_s: float) -> bool:
        """Start another attempt; return False if there is no attempt or target left."""
        if self._refusal_count >= MAX_REFUSALS or not self._may_send(attempts):
            return False
        target = self._forwarder.choose_target(self._services, self._tried, now_s)
        if target is None:
            return False
        if attempts and target.instance in self._tried:
            return False
        self._send(attempts, target, now_s)
        return True

    def _send(
        self,
        attempts: list[_Attempt],
        target: Target,
        now_s: float,
        grant: "Grant | None" = None,
    ) -> None:
        self._tried.append(target.instance)
        self._attempts_used += 1
        self._attempt_log.record_sent(target.instance, now_s)
        release = self._forwarder.reserve(
            target, suspect=self._crash_verdict is not CrashVerdict.CLEAR
        )
        attempt = self._forwarder.attempt(self._call, target, self._deadline_s, release, grant)
        task = asyncio.ensure_future(attempt)

        def release_all(_task: asyncio.Task[TargetAnswer]) -> None:
            release()
            finish_grant(grant, SendOutcome.NOT_SENT)

        # A task that is cancelled before its first step doesn't release the target itself.
        task.add_done_callback(release_all)
        attempts.append(_Attempt(target, task, now_s, grant))

    def _take_result(self, attempt: _Attempt, now_s: float) -> TargetAnswer | None:
        """Record an attempt's result; return its answer, None if the call needs another attempt."""
        try:
            answer = attempt.task.result()
        except TargetFault as fault:
            self._attempt_log.record_outcome(attempt.target.instance, fault.detail, now_s)
            if fault.ran is Ran.NO:
                # The call didn't run, so this doesn't count as an attempt.
                self._attempts_used -= 1
                self._refusal_count += 1
                self._refused_grant = attempt.grant
            else:
                self._ran = Ran.UNKNOWN
                self._record_begin(attempt)
            return None
        self._record_begin(attempt)
        self._attempt_log.record_outcome(
            attempt.target.instance, f"answered {answer.status}", now_s
        )
        if answer.status >= 500 and self._repeatable:
            self._failure_answer = answer
            self._ran = Ran.UNKNOWN
            if self._attempts_used < self._route.max_attempts:
                return None
        return answer

    def _give_up(self, now_s: float) -> TargetAnswer:
        """Return the latest answer that reported a failure.

        :raises RequestError: if there is no such answer.
        """
        if self._failure_answer is not None:
            return self._failure_answer
        if is_blocked(self._crash_verdict):
            raise blocked_call_error(
                self._crash_verdict,
                self._ran,
                self._attempt_log.summary(now_s),
                self._suspect_wait.retry_after_s(),
            )
        detail = self._attempt_log.summary(now_s)
        if self._queue_error:
            detail = f"{detail}; {self._queue_error}"
        raise no_answer_error(self._ran, detail)


def _end_attempt(attempt: _Attempt, *, answered: bool) -> None:
    """Cancel an attempt, or let it end by itself if its call is answered and no other call waits.

    A call whose caller has left is cancelled at once, so that targets don't work for nobody.
    """
    task = attempt.task
    if not answered or attempt.grant is None or attempt.grant.is_contended:
        task.cancel()
        return
    timer = asyncio.get_running_loop().call_later(SUPERSEDED_ATTEMPT_S, task.cancel)

    def clean_up(ended: asyncio.Task[TargetAnswer]) -> None:
        timer.cancel()
        # The outcome was recorded by the attempt itself; reading it here marks it as retrieved.
        if not ended.cancelled():
            ended.exception()

    task.add_done_callback(clean_up)


def blocked_call_error(
    verdict: CrashVerdict, ran: Ran, detail: str, retry_after_s: float
) -> RequestError:
    """Return the error for a call that isn't sent because targets crashed under it.

    ``ran`` is NO only if no target can have run the call under its ID.
    """
    if verdict is CrashVerdict.HELD and ran is not Ran.NO:
        return no_answer_error(ran, detail)
    return blocked_error(verdict, detail, retry_after_s)


def no_answer_error(ran: Ran, detail: str) -> RequestError:
    """Return the error for a call that has no attempts left.

    ``ran`` is NO only if no target can have run the call; its caller may then retry.
    """
    if ran is Ran.NO:
        return RequestError(
            ErrorKind.NO_TARGET,
            f"no target accepted the call: {detail}",
            ran=Ran.NO,
            retry_after_s=RETRY_AFTER_S,
        )
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)
