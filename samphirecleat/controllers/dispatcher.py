"""Runs one call: admission, choice of target, attempts, and its answer."""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from typing import Final

from ..blackboard import Blackboard, TargetView
from ..config import Service, ServiceKind
from ..errors import ErrorKind, Ran, RequestError
from ..observe import Observer
from ..requests import AnswerLine, AnswerLog, Call
from ..targets import TargetClient, TargetError
from .limits import Limiter
from .retries import GiveUp, RetryBudget, TryElsewhere, decide_retry
from .routing import RoutingView, choose_target

NO_TARGET_RETRY_S: Final = 1.0


class Dispatcher:
    """Takes calls from callers, from other nodes and from steps, and runs them."""

    def __init__(
        self,
        board: Blackboard,
        limiter: Limiter,
        client: TargetClient,
        observer: Observer,
        rng: random.Random,
    ) -> None:
        """Wire the parts that a call passes through."""
        self._board = board
        self._limiter = limiter
        self._client = client
        self._observer = observer
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}
        self._cancels: set[asyncio.Task[None]] = set()

    async def run(self, call: Call, answer: AnswerLog) -> None:
        """Run a call and fill its answer; every end of it closes the answer."""
        try:
            with self._observer.span("dispatch", call.traceparent, service=call.service) as parent:
                await self._admit_and_run(call._replace(traceparent=parent), answer)
            answer.close()
        except RequestError as error:
            answer.close(error)
        except asyncio.CancelledError:
            answer.close(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the request was cancelled"))
            raise
        except Exception as error:
            self._observer.log("dispatch").exception("Call %s failed.", call.request_id)
            answer.close(RequestError(ErrorKind.INTERNAL, repr(error)))

    async def _admit_and_run(self, call: Call, answer: AnswerLog) -> None:
        service = self._board.service(call.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, f'no service "{call.service}"')
        self._check_dependencies(service)
        await self._limiter.admit(call)
        try:
            await self._attempt_until_done(service, call, answer)
        finally:
            self._limiter.release(call)

    def _check_dependencies(self, service: Service) -> None:
        """Refuse before any work is done when a needed service has no target."""
        for needed in service.depends_on:
            if not any(target.usable for target in self._board.targets_of(needed)):
                raise RequestError(
                    ErrorKind.NO_TARGET,
                    f'"{service.name}" depends on "{needed}", which has no usable target',
                    retry_after_s=NO_TARGET_RETRY_S,
                )

    async def _attempt_until_done(self, service: Service, call: Call, answer: AnswerLog) -> None:
        loop = asyncio.get_running_loop()
        budget = self._budgets.setdefault(service.name, RetryBudget())
        budget.note_first_attempt()
        tried: list[str] = []
        may_have_run = False
        while True:
            target = self._choose(service, [*call.excluded_targets, *tried])
            if target is None:
                raise _no_target(service, may_have_run)
            tried.append(target.address)
            try:
                await self._attempt(service, target, call, answer)
                return
            except TargetError as error:
                decision = decide_retry(
                    call,
                    error.failure,
                    attempt=len(tried),
                    answer_started=answer.started,
                    now_s=loop.time(),
                )
                match decision:
                    case GiveUp(error=final):
                        raise _weaken(final, may_have_run) from error
                    case TryElsewhere():
                        may_have_run = may_have_run or _may_have_run(error)
                        if not budget.take():
                            raise _no_target(service, may_have_run) from error

    def _choose(self, service: Service, excluded: Sequence[str]) -> TargetView | None:
        view = RoutingView(
            targets=self._board.targets_of(service.name),
            own_in_flight=self._board.in_flight,
            node_count=len(self._board.live_members()),
            zone=self._board.identity.zone,
            excluded=excluded,
        )
        return choose_target(view, self._rng, asyncio.get_running_loop().time())

    async def _attempt(
        self, service: Service, target: TargetView, call: Call, answer: AnswerLog
    ) -> None:
        in_flight: Counter[str] = self._board.in_flight
        in_flight[target.address] += 1
        answer.target = target.address
        held: list[AnswerLine] = []
        # Only a streamed answer is passed on before its end; a whole one is
        # held back, so that an attempt which fails midway leaves no trace in it.
        streamed = bool(call.body.get("stream", False))
        try:
            with self._observer.span("target", call.traceparent, target=target.address) as parent:
                now_s = asyncio.get_running_loop().time()
                sent = call._replace(traceparent=parent)
                async for line in self._client.run(service, target, sent, now_s):
                    if streamed:
                        answer.add(line)
                    else:
                        held.append(line)
            for line in held:
                answer.add(line)
        except asyncio.CancelledError:
            # An engine does not always notice that its reader is gone; without
            # this it would go on making tokens that nobody reads.
            self._cancel_at(service, target, call)
            raise
        finally:
            in_flight[target.address] -= 1

    def _cancel_at(self, service: Service, target: TargetView, call: Call) -> None:
        if service.kind is not ServiceKind.ENGINE:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._client.cancel(target, call.request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _may_have_run(error: TargetError) -> bool:
    from ..targets import NotSent, Refused

    match error.failure:
        case NotSent() | Refused(not_run=True):
            return False
    return True


def _weaken(error: RequestError, may_have_run: bool) -> RequestError:
    """Never say "not run" of a call of which an earlier attempt may have run."""
    if may_have_run and error.ran is Ran.NO:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
    return error


def _no_target(service: Service, may_have_run: bool) -> RequestError:
    error = RequestError(
        ErrorKind.NO_TARGET,
        f'"{service.name}" has no usable target now',
        retry_after_s=NO_TARGET_RETRY_S,
    )
    return _weaken(error, may_have_run)
