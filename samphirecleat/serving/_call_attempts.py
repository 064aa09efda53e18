"""Runs the attempts of one call: when to send it again, to wait, to hedge, and to give up."""

import asyncio
import math
from collections.abc import Sequence
from typing import TYPE_CHECKING, Final, NamedTuple

from ..crashes import CrashVerdict, blocked_error, is_blocked
from ..errors import ErrorKind, Ran, RequestError
from ._attempt_log import AttemptLog
from ._types import (
    RETURN_MARGIN_S,
    Call,
    CallKind,
    Route,
    SendOutcome,
    Target,
    TargetAnswer,
    TargetFault,
)

if TYPE_CHECKING:
    from ..dispatch import Grant, SlotQueue
    from ._forwarder import Forwarder

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


class _Attempt(NamedTuple):
    target: Target
    task: asyncio.Task[TargetAnswer]
    sent_at_s: float
    grant: "Grant | None" = None


def finish_grant(grant: "Grant | None", outcome: SendOutcome) -> None:
    """Finish a grant, if there is one that isn't finished."""
    if grant is not None:
        grant.finish(outcome)


class CallAttempts:
    """The attempts of one call; ``result`` is awaited once."""

    def __init__(self, forwarder: "Forwarder", call: Call, route: Route, deadline_s: float) -> None:
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
            # After an attempt that may have run, the call is queued as a repeated one.
            if refused is not None and self._ran is Ran.NO:
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
