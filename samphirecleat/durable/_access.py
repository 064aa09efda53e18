"""Serves trainers' requests for steps at any node, from its fold of the step log.

A node gives definite responses only: a step is reported as accepted once the log contains it,
and as unknown once the node has folded the log to an end confirmed after the request arrived.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from ..errors import ErrorKind, Ran, RequestError
from ._fold import StepState
from ._ports import AppendOutcome, LogUnavailableError
from ._records import ItemListed, StepRequest
from ._step_log import StepLog

# How long a request waits until the log confirms that the fold is up to date.
CONFIRM_TIMEOUT_S: Final = 1.0
# A read returns the results known so far if the log does not return more within this time.
CATCH_UP_TIMEOUT_S: Final = 0.2
# How long to look for a record in the log after its append got no response.
UNKNOWN_APPEND_TIMEOUT_S: Final = 1.5
RETRY_AFTER_S: Final = 0.3
# How long a response waits for the texts of its results.
TEXT_READ_TIMEOUT_S: Final = 1.0
# Approximate size of the results in one response, which holds at least one.
RESPONSE_BYTES: Final = 800_000


def _reserve_nothing(size_bytes: int) -> None:
    """Allow any size."""
    del size_bytes


class ListedResult(NamedTuple):
    """A result with its text, "" for an item that was given up."""

    item: ItemListed
    text: str


class StepPage(NamedTuple):
    """Consecutive results of a step, starting at the requested position."""

    total: int
    results: Sequence[ListedResult]
    next_position: int


class StepAccess:
    """Accepts, reads and ends steps at one node."""

    def __init__(self, step_log: StepLog) -> None:
        """Serve requests from ``step_log``."""
        self._step_log = step_log

    async def submit(self, request: StepRequest) -> None:
        """Return once the step is stored; idempotent.

        :raises RequestError: when it is not known to be stored; ``ran`` is NO only if this
            submission will never be stored.
        """
        if self.is_accepted(request):
            return
        written = await self._step_log.accept(request)
        match written.outcome:
            case AppendOutcome.APPENDED:
                return
            case AppendOutcome.UNKNOWN:
                if await self._wait_until_accepted(request.step_id) and self.is_accepted(request):
                    return
                raise RequestError(ErrorKind.OUTCOME_UNKNOWN, written.detail, ran=Ran.UNKNOWN)
            case AppendOutcome.NOT_APPENDED | AppendOutcome.CONDITION_FAILED:
                if self.is_accepted(request):
                    return
                raise RequestError(
                    ErrorKind.NOT_READY,
                    f"the step log did not accept the step: {written.detail}",
                    ran=Ran.NO,
                    retry_after_s=RETRY_AFTER_S,
                )

    def is_accepted(self, request: StepRequest) -> bool:
        """Whether a step of that ID is already stored.

        :raises RequestError: when it belongs to another workspace.
        """
        step = self._step_log.fold.steps.get(request.step_id)
        if step is None:
            return False
        if step.spec.workspace != request.workspace:
            raise RequestError(
                ErrorKind.STEP_CONFLICT, f"step ID {request.step_id} is taken; use another one"
            )
        return True

    async def read(
        self,
        step_id: str,
        after: int,
        wait_s: float,
        workspace: str = "",
        reserve: Callable[[int], None] = _reserve_nothing,
    ) -> StepPage:
        """Return the results from position ``after``, waiting ``wait_s`` seconds for the first.

        ``reserve`` is called with the size of their texts in bytes before the texts are read. What
        it raises is passed on, and no text is read.

        :raises RequestError: when the step does not exist, or this node cannot tell.
        """
        loop = asyncio.get_running_loop()
        step = await self._find_step(step_id, workspace)
        if self._step_log.is_uncertain(step_id):
            raise _not_ready("this node cannot read a record of the step")
        known = len(step.results)
        # The reader may have read more results at another node; catch up with the log first.
        if known < after or (known == after and not self._step_log.is_fresh()):
            await self._step_log.confirm(CONFIRM_TIMEOUT_S)
        else:
            await self._step_log.catch_up(CATCH_UP_TIMEOUT_S)
        until_s = loop.time() + wait_s
        with self._step_log.reading():
            while len(step.results) <= after:
                left_s = until_s - loop.time()
                if left_s <= 0.0 or not step.unlisted:
                    break
                await self._step_log.wait_for_change(left_s)
        if len(step.results) < after:
            # The reader has seen more results at another node than this one has folded.
            raise _not_ready("this node lags behind the step log")
        chosen = _select_page(step, after)
        reserve(sum(result.text.text_bytes for result in chosen if result.text))
        try:
            async with asyncio.timeout(TEXT_READ_TIMEOUT_S):
                texts = await self._step_log.texts.read([r.text for r in chosen if r.text])
        except (LogUnavailableError, TimeoutError) as error:
            raise _not_ready(f"texts cannot be read now: {error!r}") from error
        rows = [ListedResult(r, texts[r.text.key] if r.text else "") for r in chosen]
        return StepPage(len(step.item_ids), rows, after + len(rows))

    async def body(self, step_id: str, item_id: str, workspace: str = "") -> bytes | None:
        """Return the request body of an item, or None if the step has no such item.

        :raises RequestError: when the step does not exist, or this node cannot tell.
        """
        step = await self._find_step(step_id, workspace)
        if item_id not in step.item_ids:
            return None
        try:
            async with asyncio.timeout(TEXT_READ_TIMEOUT_S):
                items = step.items or await self._step_log.read_items(step.spec)
        except (LogUnavailableError, TimeoutError) as error:
            raise _not_ready(f"items cannot be read now: {error!r}") from error
        return items[item_id].body

    async def end(self, step_id: str, workspace: str = "") -> None:
        """Return once the end of the step is stored; idempotent.

        :raises RequestError: when the step does not exist, or its end is not known to be stored.
        """
        step = await self._find_step(step_id, workspace)
        if step.ended:
            return
        written = await self._step_log.end(step_id)
        if written.outcome is AppendOutcome.APPENDED:
            return
        if written.outcome is AppendOutcome.UNKNOWN and await self._wait_until_ended(step_id):
            return
        raise _not_ready(f"the end of the step is not confirmed as stored: {written.detail}")

    async def _find_step(self, step_id: str, workspace: str) -> StepState:
        """Return a step of a workspace; steps of other workspaces are reported as unknown."""
        step = self._step_log.fold.steps.get(step_id)
        if step is None:
            if not await self._step_log.confirm(CONFIRM_TIMEOUT_S):
                raise _not_ready("the step log is unavailable")
            step = self._step_log.fold.steps.get(step_id)
        if step is None and self._step_log.is_uncertain(step_id):
            raise _not_ready("this node cannot read a record of the step")
        if step is None or step.spec.workspace != workspace:
            raise RequestError(ErrorKind.UNKNOWN_STEP, f"no step {step_id}")
        return step

    async def _wait_until_accepted(self, step_id: str) -> bool:
        """Wait until a step appears in the log; return False if it does not in time."""
        until_s = asyncio.get_running_loop().time() + UNKNOWN_APPEND_TIMEOUT_S
        while asyncio.get_running_loop().time() < until_s:
            if step_id in self._step_log.fold.steps:
                return True
            await self._step_log.wait_for_change(0.1)
        return step_id in self._step_log.fold.steps

    async def _wait_until_ended(self, step_id: str) -> bool:
        """Wait until the end of a step appears in the log; return False if it does not in time."""
        until_s = asyncio.get_running_loop().time() + UNKNOWN_APPEND_TIMEOUT_S
        step = self._step_log.fold.steps.get(step_id)
        while asyncio.get_running_loop().time() < until_s:
            if step is not None and step.ended:
                return True
            await self._step_log.wait_for_change(0.1)
        return step is not None and step.ended


def _select_page(step: StepState, after: int) -> Sequence[ItemListed]:
    """Return the results from a position that fit into one response."""
    results: list[ItemListed] = []
    size_bytes = 0
    for result in step.results[after:]:
        size_bytes += result.text.text_bytes if result.text else 0
        if results and size_bytes > RESPONSE_BYTES:
            break
        results.append(result)
    return results


def _not_ready(detail: str) -> RequestError:
    return RequestError(ErrorKind.NOT_READY, detail, ran=Ran.NO, retry_after_s=RETRY_AFTER_S)
