"""The callers' client: one call, at most once if it must be, with its own answer."""

import asyncio
import random
import secrets
from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

import aiohttp

from ..errors import ANSWERS, ErrorKind, Ran, RequestError, RetryAt
from ._entries import Entry, EntryList

MAX_SENDS: Final = 4


class _Lost(Exception):
    """The request was sent and no answer came."""


class CallAnswer(NamedTuple):
    """A whole answer; ``key`` is the key under which it ran."""

    key: str
    body: Mapping[str, Any]


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
    ) -> None:
        """Start from the ``bootstrap`` addresses and prefer nodes of ``zone``."""
        self._session = session
        self._rng = random.Random(seed)
        self._entries = EntryList(session, bootstrap, zone, self._rng)

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

        :raises samphirecleat.errors.RequestError: with a kind that says whether
            the request ran and where a retry makes sense.
        """
        give_up_at_s = asyncio.get_running_loop().time() + deadline_s
        tried: list[str] = []
        may_have_run = False
        error = RequestError(ErrorKind.NO_TARGET, "no node answered; it was not run")
        for _send in range(MAX_SENDS):
            try:
                owner = await self._entries.choose(tried)
            except RequestError:
                break
            tried.append(owner.node_id)
            key = f"{owner.node_id}.{owner.incarnation}.{owner.key_epoch}.{secrets.token_hex(8)}"
            headers = {
                "x-request-key": key,
                "x-priority": str(priority),
                "x-idempotent": "yes" if idempotent else "no",
            }
            path = f"/v1/services/{service}/{method}"
            try:
                return await self._call_with_key(owner, key, path, body, headers, give_up_at_s)
            except RequestError as failed:
                error = failed
            if error.ran is not Ran.NO:
                may_have_run = True
                if not idempotent or error.kind is ErrorKind.DEADLINE_EXCEEDED:
                    break
            elif ANSWERS[error.kind].retry_at is not RetryAt.ANY_NODE:
                break
            if asyncio.get_running_loop().time() >= give_up_at_s:
                break
        if may_have_run and error.ran is Ran.NO:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN, error.detail)
        raise error

    async def _call_with_key(
        self,
        owner: Entry,
        key: str,
        path: str,
        body: Mapping[str, Any],
        headers: Mapping[str, str],
        give_up_at_s: float,
    ) -> CallAnswer:
        """Send to the owner and, if its answer is lost, ask for it through others."""
        address = owner.address
        passed = [owner.node_id]
        sent = False
        while True:
            try:
                return await self._send(address, key, path, body, headers, give_up_at_s)
            except aiohttp.ClientConnectorError as failed:
                if not sent:
                    # No byte left the client: the key was bound nowhere.
                    raise RequestError(ErrorKind.NOT_READY, str(failed)) from failed
            except _Lost:
                sent = True
            if asyncio.get_running_loop().time() >= give_up_at_s:
                raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
            try:
                entry = await self._entries.choose(passed)
            except RequestError as failed:
                raise RequestError(
                    ErrorKind.OUTCOME_UNKNOWN, "every node that could answer for it is gone"
                ) from failed
            passed.append(entry.node_id)
            address = entry.address

    async def _send(
        self,
        address: str,
        key: str,
        path: str,
        body: Mapping[str, Any],
        headers: Mapping[str, str],
        give_up_at_s: float,
    ) -> CallAnswer:
        left_s = give_up_at_s - asyncio.get_running_loop().time()
        if left_s <= 0:
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "no answer within the deadline")
        timeout = aiohttp.ClientTimeout(total=left_s, sock_connect=1.0)
        with_deadline = {**headers, "x-deadline-ms": f"{left_s * 1000:.0f}"}
        try:
            async with self._session.post(
                f"http://{address}{path}", json=body, headers=with_deadline, timeout=timeout
            ) as response:
                answer = await response.json()
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise _Lost from error
        if response.status != 200:
            raise RequestError.from_body(answer.get("error", {}))
        return CallAnswer(key, answer)
