"""Runs a call: admission, target selection, attempts and the answer."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Final

from ...blackboard import Blackboard, TargetView
from ...config import Service, ServiceKind
from ...crashes import CrashGuard, CrashVerdict, blocked_error, is_blocked
from ...errors import ErrorKind, Ran, RequestError
from ...observe import Observer
from ...requests import AnswerLine, AnswerLog, Call, WorkClass
from ...targets import Lost, NotSent, TargetClient, TargetError
from ..policies import Policies
from ..targets import is_target_report_expired, is_target_section_stale
from ._crash_watch import call_digest, target_start
from ._latency_tracker import LatencyTracker
from ._limiter import Limiter
from ._retries import GiveUp, RetryBudget, TryElsewhere, decide_retry
from ._routing import RoutingView, choose_target

NO_TARGET_RETRY_S: Final = 1.0
PRIORITIES_PER_CLASS: Final = 10
# A call that starts later than this before its deadline could rarely be answered.
LAST_START_MARGIN_S: Final = 0.07


@dataclass
class _Attempts:
    """Attempts at one call, by target; ``may_have_run`` includes the current attempt."""

    addresses: list[str] = field(default_factory=list)
    may_have_run: bool = False
    last_error: RequestError | None = None


class Dispatcher:
    """Runs calls from callers, from other nodes and from steps."""

    def __init__(
        self,
        board: Blackboard,
        limiter: Limiter,
        client: TargetClient,
        observer: Observer,
        rng: random.Random,
        policies: Policies,
        guard: CrashGuard | None = None,
    ) -> None:
        """Create a dispatcher.

        ``guard`` blocks callers' calls that crash their targets; without it, no call
        is blocked.
        """
        self._board = board
        self._limiter = limiter
        self._client = client
        self._observer = observer
        self._rng = rng
        self._policies = policies
        self._guard = guard
        self._latencies = LatencyTracker()
        self._choice_counts: Counter[str] = Counter()
        self._budgets: dict[str, RetryBudget] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        self.on_connection_refused: Callable[[str], None] = _ignore_refused_connection

    async def run(self, call: Call, answer: AnswerLog) -> None:
        """Run a call and write its answer, which is closed on every outcome.

        Returns at the call's deadline at the latest, whatever its target does.
        """
        attempts = _Attempts()
        try:
            with self._observer.span("dispatch", call.traceparent, service=call.service) as parent:
                async with asyncio.timeout_at(call.deadline_at_s):
                    await self._admit_and_run(call._replace(traceparent=parent), attempts, answer)
            answer.close()
        except TimeoutError:
            answer.close(_deadline_exceeded(attempts))
        except RequestError as error:
            await self._await_announcement(call)
            answer.close(error)
        except asyncio.CancelledError:
            answer.close(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the request was cancelled"))
            raise
        except Exception as error:
            self._observer.log("dispatch").exception("Call %s failed.", call.request_id)
            answer.close(RequestError(ErrorKind.INTERNAL, repr(error)))

    async def close(self) -> None:
        """Abort cancel requests to engines that are still pending."""
        for task in list(self._cancels):
            task.cancel()
        await asyncio.gather(*self._cancels, return_exceptions=True)

    async def _admit_and_run(self, call: Call, attempts: _Attempts, answer: AnswerLog) -> None:
        service = self._board.service(call.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{call.service}"')
        self._check_dependencies(service)
        await self._limiter.admit(call)
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        try:
            await self._attempt_until_done(service, call, attempts, answer)
        finally:
            self._limiter.release(call, loop.time() - started_at_s)

    def _check_dependencies(self, service: Service) -> None:
        """Refuse the call before any work if a dependency has no usable target."""
        for needed in service.depends_on:
            if not any(target.usable for target in self._board.targets_of(needed)):
                raise RequestError(
                    ErrorKind.NO_TARGET,
                    f'service "{service.name}" depends on "{needed}", which has no usable target',
                    retry_after_s=NO_TARGET_RETRY_S,
                )

    async def _attempt_until_done(
        self, service: Service, call: Call, attempts: _Attempts, answer: AnswerLog
    ) -> None:
        limit = self._policies.retries
        budget = self._budgets.setdefault(service.name, RetryBudget(limit.ratio, limit.cap))
        budget.record_first_attempt()
        while True:
            await self._wait_for_turn(service, call, attempts)
            self._refuse_if_blocked(call, attempts)
            target = self._choose(service, call, attempts.addresses)
            if target is None:
                raise _downgrade_not_run(
                    attempts.last_error or _no_target(service), attempts.may_have_run
                )
            attempts.addresses.append(target.address)
            earlier_may_have_run = attempts.may_have_run
            attempts.may_have_run = True
            try:
                await self._guarded_attempt(service, target, call, answer)
                return
            except TargetError as error:
                attempts.may_have_run = earlier_may_have_run or error.may_have_run
                self._observer.counters[f"attempts_{type(error.failure).__name__.lower()}"] += 1
                if isinstance(error.failure, NotSent):
                    self.on_connection_refused(target.address)
                decision = decide_retry(
                    call,
                    error.failure,
                    attempt=len(attempts.addresses),
                    answer_started=answer.started,
                    now_s=asyncio.get_running_loop().time(),
                )
                match decision:
                    case GiveUp(error=final):
                        raise _downgrade_not_run(final, attempts.may_have_run) from error
                    case TryElsewhere(error=final, spends_budget=spends_budget):
                        attempts.last_error = final
                        if spends_budget and not budget.try_spend():
                            raise _downgrade_not_run(final, attempts.may_have_run) from error

    def _guard_of(self, call: Call) -> CrashGuard | None:
        """Return the crash guard if it applies to this call.

        It does not apply to trainer calls: samples of a step are generated again on
        other targets until they are complete.
        """
        return self._guard if call.work_class is WorkClass.CALLER else None

    async def _wait_for_turn(self, service: Service, call: Call, attempts: _Attempts) -> None:
        """Wait while the call is suspect and its service can't afford to lose another target.

        :raises RequestError: if that can't end before the call's deadline.
        """
        guard = self._guard_of(call)
        if guard is None or not guard.has_suspects:
            return
        last_start_s = call.deadline_at_s - LAST_START_MARGIN_S
        if not await guard.wait_for_turn(
            call.request_id, call_digest(call), service.name, last_start_s
        ):
            retry_after_s = guard.retry_after_s(service.name)
            error = blocked_error(CrashVerdict.HELD, retry_after_s=retry_after_s)
            raise _downgrade_not_run(error, attempts.may_have_run)

    async def _await_announcement(self, call: Call) -> None:
        """Wait until other nodes know of a crash under the call, if its service is small.

        The caller may send the call again to another node as soon as it has this node's error.
        """
        guard = self._guard_of(call)
        if guard is None or not guard.has_suspects:
            return
        left_s = call.deadline_at_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, min(guard.announcing_left_s(call_digest(call)), left_s)))

    async def _guarded_attempt(
        self, service: Service, target: TargetView, call: Call, answer: AnswerLog
    ) -> None:
        """Run the call at a target and report an answer or a cut connection to the crash guard.

        :raises TargetError: if the target gave no complete answer.
        """
        guard = self._guard_of(call)
        digest = call_digest(call) if guard is not None else b""
        is_suspect = guard is not None and guard.is_suspect(digest)
        end_suspect = guard.start_suspect(service.name) if guard and is_suspect else None
        started_at_s = asyncio.get_running_loop().time()
        try:
            await self._attempt(service, target, call, answer)
            if guard is not None:
                guard.record_answer(call.request_id, digest)
        except TargetError as error:
            await self._report_lost_run(call, target, started_at_s, error)
            raise
        finally:
            if end_suspect is not None:
                end_suspect()

    def _refuse_if_blocked(self, call: Call, attempts: _Attempts) -> None:
        """Check that the crash guard lets the call be sent to a target now.

        :raises RequestError: CRASHES_TARGETS if the call crashes its targets,
            CRASH_SUSPECTED while that is not yet known.
        """
        guard = self._guard_of(call)
        if guard is None or not guard.has_suspects:
            return
        standing = guard.verdict(call.request_id, call_digest(call))
        if is_blocked(standing):
            raise _downgrade_not_run(blocked_error(standing), attempts.may_have_run)

    async def _report_lost_run(
        self, call: Call, target: TargetView, started_at_s: float, error: TargetError
    ) -> None:
        """Report a cut connection to the crash guard: the target may have crashed."""
        failure, guard = error.failure, self._guard_of(call)
        if guard is not None and isinstance(failure, Lost) and failure.connection_closed:
            digest, start = call_digest(call), target_start(target)
            await guard.record_cut(call.request_id, digest, start, started_at_s, failure.detail)

    def _choose(self, service: Service, call: Call, attempted: Sequence[str]) -> TargetView | None:
        now_s = asyncio.get_running_loop().time()
        if is_target_section_stale(self._board.targets_polled_at_s, now_s):
            return None
        known = len(self._board.targets)
        targets = [
            target
            for target in self._board.targets_of(service.name)
            if not is_target_report_expired(target, known, now_s)
        ]
        view = RoutingView(
            targets=targets,
            own_in_flight=self._board.in_flight,
            node_count=len(self._board.live_members()),
            zone=self._board.identity.zone,
            excluded=[*call.excluded_targets, *attempted],
            slowdown=self._latencies.slowdowns([target.address for target in targets], now_s),
            prompt=str(call.body.get("prompt", "")) if _has_prefix_cache(service) else "",
            choice_index=self._choice_counts[service.name],
        )
        self._choice_counts[service.name] += 1
        return choose_target(self._policies.routing, view, self._rng, now_s)

    async def _attempt(
        self, service: Service, target: TargetView, call: Call, answer: AnswerLog
    ) -> None:
        in_flight: Counter[str] = self._board.in_flight
        in_flight[target.address] += 1
        answer.target = target.address
        buffered: list[AnswerLine] = []
        tokens = 0
        # Only a streamed answer is passed on before its end. Any other answer is
        # buffered, so that lines of a failed attempt never reach the caller.
        streamed = bool(call.body.get("stream", False))
        try:
            with self._observer.span("target", call.traceparent, target=target.address) as parent:
                now_s = asyncio.get_running_loop().time()
                sent = call._replace(traceparent=parent, priority=_target_priority(call))
                async with aclosing(self._client.run(service, target, sent, now_s)) as lines:
                    async for line in lines:
                        tokens += sum(span.tokens for span in line.get("spans", ()))
                        if streamed:
                            answer.add(line)
                        else:
                            buffered.append(line)
            for line in buffered:
                answer.add(line)
            ended_at_s = asyncio.get_running_loop().time()
            self._latencies.record(target.address, ended_at_s - now_s, tokens, ended_at_s)
        except BaseException as error:
            if not isinstance(error, TargetError) or error.may_have_run:
                self._cancel_at(service, target, call)
            raise
        finally:
            in_flight[target.address] -= 1

    def _cancel_at(self, service: Service, target: TargetView, call: Call) -> None:
        """Cancel a run at its engine when its answer is no longer needed.

        Otherwise a run whose connection stalled or whose caller disconnected would
        occupy its slot until the last token.
        """
        if service.kind is not ServiceKind.ENGINE:
            return
        cancel = self._client.cancel(target, call.request_id)
        task = asyncio.get_running_loop().create_task(cancel)
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _has_prefix_cache(service: Service) -> bool:
    return service.kind is ServiceKind.ENGINE


def _target_priority(call: Call) -> int:
    """Return the priority sent to the target; every caller ranks above every trainer."""
    return int(call.work_class) * PRIORITIES_PER_CLASS + call.priority


def _ignore_refused_connection(_address: str) -> None:
    """Ignore a refused connection; the default of ``on_connection_refused``."""


def _downgrade_not_run(error: RequestError, may_have_run: bool) -> RequestError:
    """Replace a "not run" error by OUTCOME_UNKNOWN if an earlier attempt may have run."""
    if may_have_run and error.ran is Ran.NO:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
    return error


def _no_target(service: Service) -> RequestError:
    return RequestError(
        ErrorKind.NO_TARGET,
        f'service "{service.name}" has no usable target',
        retry_after_s=NO_TARGET_RETRY_S,
    )


def _deadline_exceeded(attempts: _Attempts) -> RequestError:
    if attempts.may_have_run:
        return RequestError(
            ErrorKind.DEADLINE_EXCEEDED, "deadline exceeded while the call was running"
        )
    return RequestError(
        ErrorKind.DEADLINE_EXCEEDED, "deadline exceeded before the call was sent", ran=Ran.NO
    )
