"""Runs the hops of one call to the owners of its service.

Load: an owner dies or freezes while it holds calls, or the path to it goes silent. An idempotent
call is then sent to another owner; any other call only if the first owner cannot have got it.
"""

import asyncio
import math
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from time import monotonic
from typing import TYPE_CHECKING, Any, Final

from ..errors import ErrorKind, Ran, RequestError
from ..serving import Call, CallKind, Route, TargetAnswer
from ._hop_error import AVOID_S, HopError
from ._hop_scope import hop_scope
from ._messages import CallReply, HopHeader, call_request
from ._ownership import Owner

if TYPE_CHECKING:
    from ._gateway import CallGateway

# Share of the objective without a reply of any kind after which an owner counts as silent. The rest
# of the objective suffices for another owner.
SILENCE_SHARE: Final = 0.6
# Share of the objective without a reply after which the owner is probed. A call may run or wait for
# longer than the objective at an owner that is well, and only a probe tells it from a silent one.
PROBE_SHARE: Final = 0.2
# Time reserved for returning the answer to the caller before its deadline, and on top of it for the
# way back from the owner.
RETURN_MARGIN_S: Final = 0.01
HOP_MARGIN_S: Final = 0.01
# An overloaded owner's refusal is passed on unless another owner's wait is at most this part of its
# own.
MUCH_SHORTER_WAIT: Final = 0.5


@dataclass(eq=False)
class Hop:
    """One sending of a call to an owner; ``owner`` is None if this node forwards it itself.

    ``granted`` counts the attempts that the hop may have started.
    """

    owner: Owner | None
    sent_at_s: float
    granted: int
    number: int = 0
    silent: bool = False


class DispatchedCall:
    """One call and its hops.

    At most ``max_attempts`` targets run the call in all hops together. An answer is returned as
    soon as any hop has one.
    """

    def __init__(self, gateway: "CallGateway", call: Call, route: Route, service: str) -> None:
        """Prepare to send ``call``; ``route`` has ``service`` as its only one."""
        self._gateway = gateway
        self._call = call
        self._route = route
        self._service = service
        self._deadline_s = call.deadline_s - RETURN_MARGIN_S
        if route.timeout_s > 0.0:
            timeout_at_s = call.received_at_s + route.timeout_s
            self._deadline_s = min(call.deadline_s, timeout_at_s) - RETURN_MARGIN_S
        self._objective_s = max(0.01, route.objective_s)
        self._repeatable = route.kind is CallKind.IDEMPOTENT
        self._open: dict[asyncio.Task[TargetAnswer | CallReply], Hop] = {}
        self._asked: list[str] = []
        self._used_attempts = 0
        self._ran = Ran.NO
        self._counted_elsewhere = False
        self._finished = False
        self._waiter: asyncio.Future[None] | None = None
        self._tried_other_for_wait = False
        self._error: RequestError | None = None
        self._failure_answer: TargetAnswer | None = None
        self._details: list[str] = []

    async def result(self, owner: Owner) -> TargetAnswer:
        """Send the call to ``owner`` first, and return the first usable answer.

        :raises RequestError: when there is no answer; ``ran`` is NO only if no target can have run
            the call.
        """
        now_s = asyncio.get_running_loop().time()
        if self._deadline_s - HOP_MARGIN_S <= now_s:
            raise RequestError(
                ErrorKind.DEADLINE_EXCEEDED, "deadline passed before the call was sent", ran=Ran.NO
            )
        self._send(owner, now_s)
        try:
            return await self._run()
        finally:
            for task, hop in self._open.items():
                task.cancel()
                self._gateway.close_hop(hop.number)

    def grant_attempt(self, hop: Hop) -> bool:
        """Return whether an owner may start another attempt, and count it if so."""
        if hop.owner is not None:
            now_s = asyncio.get_running_loop().time()
            self._gateway.states.record_reply(hop.owner, now_s)
        if self._used_attempts >= self._route.max_attempts:
            return False
        self._used_attempts += 1
        hop.granted += 1
        return True

    async def _run(self) -> TargetAnswer:
        loop = asyncio.get_running_loop()
        while True:
            if not self._open and not self._send_next(loop.time()):
                return self._give_up()
            if loop.time() >= self._deadline_s:
                raise self._late_error(loop.time())
            done = await self._wait(min(self._deadline_s, self._next_check_s()))
            for task in done:
                hop = self._open.pop(task)
                self._gateway.close_hop(hop.number)
                answer = self._take(task, hop, loop.time())
                if answer is not None:
                    return answer
            if not done:
                self._check_silence(loop.time())

    async def _wait(self, until_s: float) -> "Sequence[asyncio.Task[TargetAnswer | CallReply]]":
        """Return the hops that have ended, none if no hop ends until ``until_s``.

        Takes a third of the processor time of :func:`asyncio.wait`.
        """
        done = [task for task in self._open if task.done()]
        if done:
            return done
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_at(until_s + 0.001, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
        return [task for task in self._open if task.done()]

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _on_hop_end(self, task: "asyncio.Task[TargetAnswer | CallReply]") -> None:
        """Go on with the call; the error of a hop that is no longer needed counts as retrieved."""
        if not task.cancelled():
            task.exception()
        self._wake()

    def _send_next(self, now_s: float) -> bool:
        """Send the call to the next owner, or forward it here; return False if neither may be."""
        if self._finished or self._used_attempts >= self._route.max_attempts:
            return False
        if self._ran is not Ran.NO and not self._repeatable:
            return False
        owner = self._gateway.choose(self._service, self._route, self._asked, now_s)
        if owner is None and self._gateway.identity.incarnation in self._asked:
            return False
        self._send(owner, now_s)
        return True

    def _send(self, owner: Owner | None, now_s: float) -> None:
        """Start a hop to an owner, or at this node if ``owner`` is None or this node."""
        left = self._route.max_attempts - self._used_attempts
        if owner is None or self._gateway.is_own(owner):
            self._asked.append(self._gateway.identity.incarnation)
            if owner is None:
                self._gateway.count_taken_over()
            self._used_attempts += left
            hop = Hop(None, now_s, left)
            self._start(hop, self._forward_here(left))
            return
        self._asked.append(owner.incarnation)
        # Only an idempotent call can go to another owner after this one may have started it.
        granted = min(1, left) if self._repeatable else left
        self._used_attempts += granted
        hop = Hop(owner, now_s, granted)
        hop.number = self._gateway.open_hop(self, hop)
        self._start(hop, self._send_to(owner, hop, left, now_s))
        self._gateway.observer.counters["owner_calls_sent"] += 1

    def _start(self, hop: Hop, sending: Coroutine[Any, Any, TargetAnswer | CallReply]) -> None:
        task = asyncio.get_running_loop().create_task(sending)
        task.add_done_callback(self._on_hop_end)
        self._open[task] = hop

    async def _forward_here(self, attempts: int) -> TargetAnswer:
        with hop_scope(None, counts_usage=not self._counted_elsewhere):
            return await self._gateway.forwarder.forward(
                self._call, self._route._replace(max_attempts=attempts)
            )

    async def _send_to(self, owner: Owner, hop: Hop, attempts: int, now_s: float) -> CallReply:
        identity = self._gateway.identity
        request = call_request(
            self._call,
            self._route,
            self._service,
            HopHeader(identity.incarnation, identity.peer_address, hop.number, monotonic()),
            now_s=now_s,
            left_s=self._deadline_s - HOP_MARGIN_S - now_s,
            attempts=attempts,
            granted_attempts=hop.granted,
            counts_usage=not self._counted_elsewhere,
        )
        return await self._gateway.channel.send(owner, request)

    def _take(
        self, task: "asyncio.Task[TargetAnswer | CallReply]", hop: Hop, now_s: float
    ) -> TargetAnswer | None:
        """Return the answer of a finished hop, None if there is none or a better one may come."""
        wait_s = 0.0
        try:
            result = task.result()
            if isinstance(result, CallReply):
                wait_s = result.wait_s
                self._record_reply(hop, wait_s, now_s)
                result = result.answer()
        except HopError as error:
            self._record_hop_failure(hop, error)
            return None
        except RequestError as error:
            self._record_error(hop, error, wait_s, now_s)
            return None
        if result.status >= 500 and self._repeatable and self._open:
            self._failure_answer = result
            self._ran = Ran.UNKNOWN
            return None
        return result

    def _record_reply(self, hop: Hop, wait_s: float, now_s: float) -> None:
        if hop.owner is not None:
            self._gateway.states.record_reply(hop.owner, now_s)
            self._gateway.states.record_wait(hop.owner, self._service, wait_s, now_s)

    def _record_hop_failure(self, hop: Hop, error: HopError) -> None:
        """Record a hop without a reply; the owner is avoided."""
        assert hop.owner is not None
        self._gateway.observer.counters[f"owner_hop_failed_{error.reason}"] += 1
        self._details.append(f"owner={hop.owner.node_id}: {error}")
        if error.avoid_s > 0.0:
            self._gateway.avoid(hop.owner, error.avoid_s, self._service, str(error))
        if error.sent:
            # The process that held the connection is gone, and its count of the call with it.
            self._ran = Ran.UNKNOWN
        else:
            self._used_attempts -= hop.granted

    def _record_error(self, hop: Hop, error: RequestError, wait_s: float, now_s: float) -> None:
        """Record the error of a hop, and whether another owner may still take the call."""
        node_id = hop.owner.node_id if hop.owner is not None else self._gateway.identity.node_id
        self._details.append(f"owner={node_id}: {error.detail}")
        self._error = error
        if error.ran is not Ran.NO:
            self._ran = Ran.UNKNOWN
            self._finished = True
            return
        self._used_attempts -= hop.granted
        self._finished = not self._allows_other_owner(error, wait_s, now_s)

    def _allows_other_owner(self, error: RequestError, wait_s: float, now_s: float) -> bool:
        """Return whether a call that an owner did not run may be sent to another one."""
        other = self._gateway.choose(self._service, self._route, self._asked, now_s)
        if other is None:
            return False
        if wait_s == math.inf or error.kind in (ErrorKind.NO_TARGET, ErrorKind.LEAVING):
            return True
        if error.kind is not ErrorKind.OVERLOADED or self._tried_other_for_wait:
            return False
        self._tried_other_for_wait = True
        other_wait_s = self._gateway.wait_s(other, self._service, now_s)
        if other_wait_s > wait_s * MUCH_SHORTER_WAIT:
            return False
        self._gateway.observer.counters["owner_refusals_passed_over"] += 1
        return True

    def _next_check_s(self) -> float:
        """Return when the silence of an open hop must be looked at next."""
        checks_s = [
            self._silence_check_s(hop.owner, hop.sent_at_s)
            for hop in self._open.values()
            if hop.owner is not None and not hop.silent
        ]
        return min(checks_s, default=math.inf)

    def _silence_check_s(self, owner: Owner, sent_at_s: float) -> float:
        states = self._gateway.states
        since_s = states.silent_since_s(owner, sent_at_s)
        share = SILENCE_SHARE if states.was_probed(owner, since_s) else PROBE_SHARE
        return since_s + self._objective_s * share

    def _check_silence(self, now_s: float) -> None:
        """Probe owners that have not replied for a while, and go on without silent ones."""
        states = self._gateway.states
        for hop in list(self._open.values()):
            if hop.owner is None or hop.silent:
                continue
            since_s = states.silent_since_s(hop.owner, hop.sent_at_s)
            silent_s = now_s - since_s
            if silent_s >= self._objective_s * SILENCE_SHARE:
                self._pass_over(hop, silent_s, now_s)
            elif silent_s >= self._objective_s * PROBE_SHARE and states.start_probe(
                hop.owner, since_s, now_s
            ):
                self._gateway.start_probe(hop.owner)

    def _pass_over(self, hop: Hop, silent_s: float, now_s: float) -> None:
        """Avoid a silent owner, and send an idempotent call to another one in parallel."""
        assert hop.owner is not None
        hop.silent = True
        self._gateway.observer.counters["owner_hop_failed_silent"] += 1
        reason = f"silent for {silent_s:.3f} s"
        self._gateway.avoid(hop.owner, AVOID_S, self._service, reason)
        self._details.append(f"owner={hop.owner.node_id}: {reason}")
        # A frozen owner counts the call when it wakes and finds its sender gone.
        self._counted_elsewhere = True
        if self._repeatable and self._send_next(now_s):
            self._gateway.observer.counters["owner_hedges"] += 1

    def _late_error(self, now_s: float) -> RequestError:
        owners = [hop.owner.node_id for hop in self._open.values() if hop.owner is not None]
        details = [*self._details, f"no answer in time of owner={','.join(owners)}"]
        waited_s = now_s - self._call.received_at_s
        detail = f"{'; '.join(details)} after {waited_s:.3f} s"
        return RequestError(ErrorKind.DEADLINE_EXCEEDED, detail, ran=Ran.UNKNOWN)

    def _give_up(self) -> TargetAnswer:
        """Return the latest answer that reported a failure.

        :raises RequestError: if there is no such answer.
        """
        if self._failure_answer is not None:
            return self._failure_answer
        raise _final_error(self._error, self._ran, self._details)


def _final_error(error: RequestError | None, ran: Ran, details: Sequence[str]) -> RequestError:
    """Return the error of a call without an answer, which names the owners that had it."""
    detail = "; ".join(details)
    if error is None or (error.ran is Ran.NO and ran is not Ran.NO):
        kind = ErrorKind.NO_TARGET if ran is Ran.NO else ErrorKind.OUTCOME_UNKNOWN
        return RequestError(kind, detail, ran=ran)
    return RequestError(error.kind, detail, ran=error.ran, retry_after_s=error.retry_after_s)
