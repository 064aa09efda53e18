"""The callers' client: one call, at most once if it must be, with its own answer."""

import asyncio
import random
import secrets
from collections.abc import AsyncGenerator, Mapping, Sequence
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import ErrorKind, Ran, RequestError
from ..requests import RetryBudget
from ._entries import Entry, EntryList
from ._node_call import AnswerLostError, NeverLeftError, NodeRequest, Resumption, call_node
from ._resend import (
    ONLY_COPY_ENDED_KINDS,
    Answered,
    AnswerLost,
    AskElsewhere,
    NeverLeft,
    NewKey,
    Resend,
    SendOutcome,
    Stop,
    decide_resend,
    decide_without_nodes,
)

MAX_KEYS: Final = 4
MAX_ASKS: Final = 4
"""How many nodes are asked for one key; a frozen owner makes each of them wait."""

RETRY_BUDGET_RATIO: Final = 0.2
RETRY_BUDGET_CAP: Final = 20.0
LONGEST_PAUSE_S: Final = 0.1


class CallAnswer(NamedTuple):
    """A whole answer; ``key`` is the key under which it ran."""

    key: str
    body: Mapping[str, Any]


@dataclass
class _CallState:
    """What one call has tried, over all of its keys."""

    request: NodeRequest
    resumption: Resumption = field(default_factory=Resumption)
    owners_tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    key: str = ""


class CallerClient:
    """Calls services through the nodes of the entry list.

    A request is bound to the node it is first sent to. Every retry carries the
    same key, so that the request runs at most once, until an answer says that
    it was not run; only then, or when it is idempotent, a new key is made.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        bootstrap: Sequence[str],
        zone: str = "",
        seed: int | None = None,
        *,
        progress_timeout_s: float = 3.0,
    ) -> None:
        """Start from the ``bootstrap`` addresses and prefer nodes of ``zone``.

        A connection on which nothing came for ``progress_timeout_s`` is checked
        with a question on a new one.
        """
        self._session = session
        self._rng = random.Random(seed)
        self._entries = EntryList(session, bootstrap, zone, self._rng)
        self._progress_timeout_s = progress_timeout_s
        self._budget = RetryBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_CAP)

    async def call(
        self,
        service: str,
        method: str,
        body: Mapping[str, Any],
        *,
        deadline_s: float = 30.0,
        priority: int = 5,
        idempotent: bool = True,
    ) -> CallAnswer:
        """Return the whole answer to one request.

        :raises samphirecleat.errors.RequestError: ``ran`` tells whether the request
            ran; ``retry_after_s`` when a refused one may be sent again.
        """
        whole = {**body, "stream": False} if "stream" in body else body
        request = _make_request(service, method, whole, deadline_s, priority, idempotent)
        state = _CallState(request)
        async with aclosing(self._run(state)) as answers:
            async for answer in answers:
                return CallAnswer(state.key, answer)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer is empty")

    async def stream(
        self,
        service: str,
        method: str,
        body: Mapping[str, Any],
        *,
        deadline_s: float = 30.0,
        priority: int = 5,
        idempotent: bool = True,
    ) -> AsyncGenerator[Mapping[str, Any], None]:
        """Yield the lines of an answer as they come; the last one has ``end``.

        When a node is lost midway, the rest is fetched through another one with
        the same key, and no part comes twice.

        :raises samphirecleat.errors.RequestError: as :meth:`call` does.
        """
        streamed = {**body, "stream": True}
        request = _make_request(service, method, streamed, deadline_s, priority, idempotent)
        state = _CallState(request)
        async with aclosing(self._run(state)) as lines:
            async for line in lines:
                yield line

    async def _run(self, state: _CallState) -> AsyncGenerator[Mapping[str, Any], None]:
        """Send the request under one key after the other until one is answered."""
        self._budget.record_first_attempt()
        error = RequestError(ErrorKind.NO_TARGET, "no node answered; it was not run")
        for number in range(MAX_KEYS):
            if number and not (await self._pause(state) and self._budget.try_spend()):
                break
            try:
                owner = await self._entries.choose(state.owners_tried)
            except RequestError:
                break
            state.owners_tried.append(owner.node_id)
            state.key = _make_key(owner)
            try:
                async with aclosing(self._run_key(state, owner)) as lines:
                    async for line in lines:
                        yield line
                return
            except _NewKeyNeededError as needed:
                error = needed.error
                state.may_have_run = state.may_have_run or error.ran is not Ran.NO
            except RequestError as failed:
                raise _weaken(failed, state.may_have_run) from failed
        raise _weaken(error, state.may_have_run)

    async def _run_key(
        self, state: _CallState, owner: Entry
    ) -> AsyncGenerator[Mapping[str, Any], None]:
        """Send to the owner and, if its answer is lost, ask for it through others."""
        asked: list[str] = []
        node = owner
        sent = False
        while True:
            asked.append(node.node_id)
            _check_deadline(state.request, sent)
            state.resumption.begin_replay()
            try:
                async with aclosing(self._ask(state, node)) as lines:
                    async for line in lines:
                        fresh = state.resumption.take(line)
                        if fresh is not None:
                            yield fresh
                return
            except _SendFailedError as failure:
                outcome = failure.outcome
            error = _error_of(outcome, sent)
            resend = self._decide(state, outcome, owner is node, sent)
            sent = sent or not isinstance(outcome, NeverLeft)
            match resend:
                case Stop(error=final):
                    raise final
                case NewKey():
                    raise _NewKeyNeededError(error)
                case AskElsewhere():
                    node = await self._next_node(state, asked)

    def _decide(
        self, state: _CallState, outcome: SendOutcome, by_owner: bool, sent: bool
    ) -> Resend:
        if isinstance(outcome, Answered):
            outcome = Answered(outcome.error, by_owner)
        return decide_resend(
            outcome,
            sent_before=sent,
            idempotent=state.request.idempotent,
            answer_started=state.resumption.answer_started,
        )

    async def _next_node(self, state: _CallState, asked: Sequence[str]) -> Entry:
        try:
            if len(asked) >= MAX_ASKS:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "several nodes gave no answer")
            return await self._entries.choose(asked)
        except RequestError as error:
            without = decide_without_nodes(
                idempotent=state.request.idempotent,
                answer_started=state.resumption.answer_started,
            )
            lost = RequestError(ErrorKind.OUTCOME_UNKNOWN, "no node is left to ask for it")
            match without:
                case Stop(error=final):
                    raise final from error
                case _:
                    raise _NewKeyNeededError(lost) from error

    async def _ask(self, state: _CallState, node: Entry) -> AsyncGenerator[Mapping[str, Any], None]:
        lines = call_node(
            self._session, node.address, state.key, state.request, self._progress_timeout_s
        )
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except NeverLeftError as error:
            self._entries.note_failed(node)
            raise _SendFailedError(NeverLeft()) from error
        except AnswerLostError as error:
            self._entries.note_failed(node)
            raise _SendFailedError(AnswerLost()) from error
        except RequestError as error:
            if error.kind in ONLY_COPY_ENDED_KINDS:
                self._entries.expire()
            raise _SendFailedError(Answered(error, by_owner=False)) from error

    async def _pause(self, state: _CallState) -> bool:
        """Wait a moment that differs between callers; False when time is up."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0.0, LONGEST_PAUSE_S))
        return loop.time() < state.request.give_up_at_s


class _SendFailedError(Exception):
    def __init__(self, outcome: SendOutcome) -> None:
        super().__init__(repr(outcome))
        self.outcome = outcome


class _NewKeyNeededError(Exception):
    def __init__(self, error: RequestError) -> None:
        super().__init__(str(error))
        self.error = error


def _make_request(
    service: str,
    method: str,
    body: Mapping[str, Any],
    deadline_s: float,
    priority: int,
    idempotent: bool,
) -> NodeRequest:
    give_up_at_s = asyncio.get_running_loop().time() + deadline_s
    path = f"/v1/services/{service}/{method}"
    return NodeRequest(path, body, priority, idempotent, give_up_at_s)


def _make_key(owner: Entry) -> str:
    return f"{owner.node_id}.{owner.incarnation}.{owner.key_epoch}.{secrets.token_hex(8)}"


def _error_of(outcome: SendOutcome, sent: bool) -> RequestError:
    """Return what a key's failed send says of its run, should no later one say more."""
    match outcome:
        case Answered(error=error):
            if error.kind in ONLY_COPY_ENDED_KINDS and not sent:
                return RequestError(error.kind, error.detail, ran=Ran.NO)
            return error
        case NeverLeft() if not sent:
            return RequestError(ErrorKind.NOT_READY, "the node could not be reached")
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer was lost")


def _check_deadline(request: NodeRequest, sent: bool) -> None:
    if asyncio.get_running_loop().time() >= request.give_up_at_s:
        ran = Ran.UNKNOWN if sent else Ran.NO
        raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline", ran=ran)


def _weaken(error: RequestError, may_have_run: bool) -> RequestError:
    """Never say "not run" of a call of which an earlier key may have run."""
    if may_have_run and error.ran is Ran.NO:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
    return error
