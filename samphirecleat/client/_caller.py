"""The client for callers, with retries that keep non-idempotent calls at most once."""

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
from ._node_call import AnswerLostError, ConnectFailedError, NodeRequest, ReplayFilter, call_node
from ._retry_decision import (
    SEND_NOT_RUN_KINDS,
    AnswerLost,
    ConnectFailed,
    ErrorAnswer,
    Fail,
    RetryDecision,
    RetryNewKey,
    RetrySameKey,
    SendFailure,
    decide_retry,
    decide_without_nodes,
)

MAX_KEYS_PER_CALL: Final = 4
MAX_NODES_PER_KEY: Final = 4
"""Bounds the total wait if the owner hangs, as each node then waits for it in turn."""

RETRY_BUDGET_RATIO: Final = 0.2
RETRY_BUDGET_CAP: Final = 20.0
MAX_RETRY_DELAY_S: Final = 0.1


class CallAnswer(NamedTuple):
    """A complete answer, and the key of the request that produced it."""

    key: str
    body: Mapping[str, Any]


@dataclass
class _CallState:
    """The state of one call across all of its keys."""

    request: NodeRequest
    replay_filter: ReplayFilter = field(default_factory=ReplayFilter)
    owners_tried: list[str] = field(default_factory=list)
    may_have_run: bool = False
    key: str = ""


class CallerClient:
    """Calls services through the nodes of the entry list.

    A request is bound by its key to the node that it is first sent to. Retries use the
    same key, so the request runs at most once. A new key is made only if an answer says
    that the request was not run, or if the request is idempotent.
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
        """Fetch the entry list from the ``bootstrap`` addresses; prefer nodes of ``zone``.

        If a connection receives nothing for ``progress_timeout_s`` seconds, the progress
        of the request is queried over a new connection.
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
        """Return the complete answer to one request.

        :raises samphirecleat.errors.RequestError: if the request failed; ``ran`` tells
            whether it ran, ``retry_after_s`` when a refused request may be sent again.
        """
        unstreamed = {**body, "stream": False} if "stream" in body else body
        request = _make_request(service, method, unstreamed, deadline_s, priority, idempotent)
        state = _CallState(request)
        async with aclosing(self._run(state)) as answers:
            async for answer in answers:
                return CallAnswer(state.key, answer)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "the node returned an empty answer")

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
        """Yield the lines of an answer as they arrive; the last one has the key ``end``.

        If a node is lost midway, the rest is fetched through another node with the same
        key, and no part is yielded twice.

        :raises samphirecleat.errors.RequestError: as in :meth:`call`.
        """
        streamed = {**body, "stream": True}
        request = _make_request(service, method, streamed, deadline_s, priority, idempotent)
        state = _CallState(request)
        async with aclosing(self._run(state)) as lines:
            async for line in lines:
                yield line

    async def _run(self, state: _CallState) -> AsyncGenerator[Mapping[str, Any], None]:
        """Send the request with one key after another until one is answered."""
        self._budget.record_first_attempt()
        error = RequestError(ErrorKind.NO_TARGET, "no node answered; the request was not run")
        for attempt in range(MAX_KEYS_PER_CALL):
            if attempt and not (await self._wait_before_retry(state) and self._budget.try_spend()):
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
            except _NewKeyRequiredError as retry:
                error = retry.error
                state.may_have_run = state.may_have_run or error.ran is not Ran.NO
            except RequestError as failed:
                raise _without_false_not_run(failed, state.may_have_run) from failed
        raise _without_false_not_run(error, state.may_have_run)

    async def _run_key(
        self, state: _CallState, owner: Entry
    ) -> AsyncGenerator[Mapping[str, Any], None]:
        """Send to the owner and, if its answer is lost, retry through other nodes."""
        contacted: list[str] = []
        node = owner
        sent = False
        while True:
            contacted.append(node.node_id)
            _check_deadline(state.request, sent)
            state.replay_filter.begin_replay()
            try:
                async with aclosing(self._send(state, node)) as lines:
                    async for line in lines:
                        new_part = state.replay_filter.filter_line(line)
                        if new_part is not None:
                            yield new_part
                return
            except _SendFailedError as send_error:
                failure = send_error.failure
            error = _error_from_failure(failure, sent)
            decision = self._decide(state, failure, owner is node, sent)
            sent = sent or not isinstance(failure, ConnectFailed)
            match decision:
                case Fail(error=final):
                    raise final
                case RetryNewKey():
                    raise _NewKeyRequiredError(error)
                case RetrySameKey():
                    node = await self._next_node(state, contacted)

    def _decide(
        self, state: _CallState, failure: SendFailure, by_owner: bool, sent: bool
    ) -> RetryDecision:
        if isinstance(failure, ErrorAnswer):
            failure = ErrorAnswer(failure.error, by_owner)
        return decide_retry(
            failure,
            sent_before=sent,
            idempotent=state.request.idempotent,
            answer_started=state.replay_filter.answer_started,
        )

    async def _next_node(self, state: _CallState, contacted: Sequence[str]) -> Entry:
        try:
            if len(contacted) >= MAX_NODES_PER_KEY:
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "several nodes did not answer")
            return await self._entries.choose(contacted)
        except RequestError as error:
            decision = decide_without_nodes(
                idempotent=state.request.idempotent,
                answer_started=state.replay_filter.answer_started,
            )
            lost = RequestError(ErrorKind.OUTCOME_UNKNOWN, "no node is left to ask for the answer")
            match decision:
                case Fail(error=final):
                    raise final from error
                case _:
                    raise _NewKeyRequiredError(lost) from error

    async def _send(
        self, state: _CallState, node: Entry
    ) -> AsyncGenerator[Mapping[str, Any], None]:
        lines = call_node(
            self._session, node.address, state.key, state.request, self._progress_timeout_s
        )
        try:
            async with aclosing(lines):
                async for line in lines:
                    yield line
        except ConnectFailedError as error:
            self._entries.note_failed(node)
            raise _SendFailedError(ConnectFailed()) from error
        except AnswerLostError as error:
            self._entries.note_failed(node)
            raise _SendFailedError(AnswerLost()) from error
        except RequestError as error:
            if error.kind in SEND_NOT_RUN_KINDS:
                self._entries.expire()
            raise _SendFailedError(ErrorAnswer(error, by_owner=False)) from error

    async def _wait_before_retry(self, state: _CallState) -> bool:
        """Wait for a random delay; return False if the deadline has passed."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_RETRY_DELAY_S))
        return loop.time() < state.request.deadline_at_s


class _SendFailedError(Exception):
    def __init__(self, failure: SendFailure) -> None:
        super().__init__(repr(failure))
        self.failure = failure


class _NewKeyRequiredError(Exception):
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
    deadline_at_s = asyncio.get_running_loop().time() + deadline_s
    path = f"/v1/services/{service}/{method}"
    return NodeRequest(path, body, priority, idempotent, deadline_at_s)


def _make_key(owner: Entry) -> str:
    return f"{owner.node_id}.{owner.incarnation}.{owner.key_epoch}.{secrets.token_hex(8)}"


def _error_from_failure(failure: SendFailure, sent: bool) -> RequestError:
    """Return the error to report for a failed send if the call ends after it."""
    match failure:
        case ErrorAnswer(error=error):
            if error.kind in SEND_NOT_RUN_KINDS and not sent:
                return RequestError(error.kind, error.detail, ran=Ran.NO)
            return error
        case ConnectFailed() if not sent:
            return RequestError(ErrorKind.NOT_READY, "the node could not be reached")
    return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the answer was lost")


def _check_deadline(request: NodeRequest, sent: bool) -> None:
    if asyncio.get_running_loop().time() >= request.deadline_at_s:
        ran = Ran.UNKNOWN if sent else Ran.NO
        raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline", ran=ran)


def _without_false_not_run(error: RequestError, may_have_run: bool) -> RequestError:
    """Return ``error`` without the claim "not run" if an earlier key may have run."""
    if may_have_run and error.ran is Ran.NO:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
    return error
