"""At-most-once execution of keyed requests.

Only the incarnation that a key names may start its request. It remembers each
started key for at least as long as it accepts new keys of that epoch. Expired
keys are never started, so a key that has been forgotten cannot run a second
time. No clock is shared between nodes: epochs are counted by this process alone.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Final

from ..errors import ErrorKind, Ran, RequestError
from ._answer_log import AnswerLog
from ._answer_store import AnswerStore
from ._key import RequestKey
from ._progress import RequestStatus, RunState
from ._refused_keys import RefusedKeys

EPOCHS_STARTED: Final = 2
"""Keys of the current and the previous epoch may start a request."""

EPOCHS_KEPT: Final = 3
"""Keys of ended requests are kept one epoch longer: a retry within the longest
deadline finds its answer even if its key was issued just before the epoch changed."""


@dataclass(frozen=True)
class StartHere:
    """The key was new and is now bound: run the request and fill ``answer``."""

    answer: AnswerLog


@dataclass(frozen=True)
class JoinHere:
    """The request was started before: read ``answer``, which may still be open."""

    answer: AnswerLog


@dataclass(frozen=True)
class ForwardTo:
    """Another incarnation owns the key: only it may start the request."""

    node_id: str
    incarnation: str


Binding = StartHere | JoinHere | ForwardTo


@dataclass
class _Entry:
    key: RequestKey
    body_digest: bytes
    answer: AnswerLog


class RequestKeyTable:
    """Request keys bound by one incarnation of a node, at most ``max_keys``."""

    def __init__(
        self,
        node_id: str,
        incarnation: str,
        store: AnswerStore,
        *,
        epoch_s: float,
        max_keys: int,
        now_s: float,
    ) -> None:
        """Create an empty table whose epoch 0 begins at ``now_s``, on this process's clock."""
        self._node_id = node_id
        self._incarnation = incarnation
        self._store = store
        self._epoch_s = epoch_s
        self._max_keys = max_keys
        self._started_at_s = now_s
        self._entries: dict[str, _Entry] = {}
        self._refused_by_epoch: dict[int, RefusedKeys] = {}
        self._cleaned_epoch = 0

    def __len__(self) -> int:
        """Return the number of bound keys."""
        return len(self._entries)

    def epoch(self, now_s: float) -> int:
        """Return the current epoch, which the entry list publishes."""
        return int((now_s - self._started_at_s) / self._epoch_s)

    def owns(self, key: RequestKey) -> bool:
        """Return whether this incarnation is the one that may start the key's request."""
        return (key.node_id, key.incarnation) == (self._node_id, self._incarnation)

    def epoch_age_s(self, now_s: float) -> float:
        """Return the time since the current epoch began."""
        return (now_s - self._started_at_s) % self._epoch_s

    def bind(self, key: RequestKey, body: Mapping[str, Any], now_s: float) -> Binding:
        """Bind a key if it is new, and return what this node may do with it.

        A caller of this method that passes on its error, or that refuses a keyed
        request for any other reason, must first ask :meth:`refuse` whether the
        refusal may say "not run".

        :raises samphirecleat.errors.RequestError: with KEY_EXPIRED, KEY_CONFLICT,
            KEY_TABLE_FULL or KEY_MALFORMED.
        """
        if not self.owns(key):
            return ForwardTo(key.node_id, key.incarnation)
        self._remove_expired(now_s)
        entry = self._entries.get(str(key))
        if entry is not None:
            return _join(entry, body)
        self._check_epoch(key, now_s)
        if self._was_refused(key):
            raise RequestError(
                ErrorKind.KEY_CONFLICT,
                "this key was refused earlier and will never run; use a new key",
                ran=Ran.NO,
            )
        if len(self._entries) >= self._max_keys or not self._store.has_room:
            # Evicting a key would let a retry of its request run a second time.
            raise RequestError(
                ErrorKind.KEY_TABLE_FULL,
                "the request key table or the answer store of this node is full; try again later",
                retry_after_s=self._epoch_s,
            )
        entry = _Entry(key, digest_body(body), self._store.create_log())
        self._entries[str(key)] = entry
        return StartHere(entry.answer)

    def refuse(self, key: RequestKey, now_s: float) -> Ran:
        """Return whether a refusal of this key may say "not run", and ensure that it stays true.

        Returns ``Ran.NO`` only for a key of this incarnation whose request was not
        started; the key is recorded and will never be started. Returns
        ``Ran.UNKNOWN`` in all other cases: a key that was started, has expired or
        belongs to another process.
        """
        if not self.owns(key) or str(key) in self._entries:
            return Ran.UNKNOWN
        if not self._may_start(key, now_s):
            return Ran.UNKNOWN
        self._remove_expired(now_s)
        self._refused_by_epoch.setdefault(key.epoch, RefusedKeys()).add(str(key))
        return Ran.NO

    def status(self, key: RequestKey, now_s: float) -> RequestStatus:
        """Return the status of a key's request, for a caller whose connection went quiet.

        The state is ``RunState.UNKNOWN`` for a key that is not bound here.
        """
        self._remove_expired(now_s)
        entry = self._entries.get(str(key))
        if entry is None:
            return RequestStatus(RunState.UNKNOWN, 0)
        state = RunState.ENDED if entry.answer.closed else RunState.RUNNING
        return RequestStatus(state, entry.answer.lines_added)

    def _may_start(self, key: RequestKey, now_s: float) -> bool:
        epoch = self.epoch(now_s)
        return epoch - EPOCHS_STARTED < key.epoch <= epoch

    def _check_epoch(self, key: RequestKey, now_s: float) -> None:
        if self._may_start(key, now_s):
            return
        if key.epoch > self.epoch(now_s):
            raise RequestError(
                ErrorKind.KEY_MALFORMED,
                f"epoch {key.epoch} has not begun on this node",
                ran=Ran.UNKNOWN,
            )
        raise RequestError(
            ErrorKind.KEY_EXPIRED, "the key is too old to tell whether its request was started"
        )

    def _was_refused(self, key: RequestKey) -> bool:
        refused = self._refused_by_epoch.get(key.epoch)
        return refused is not None and str(key) in refused

    def _remove_expired(self, now_s: float) -> None:
        """Remove expired keys of ended requests and expired refusals, once per epoch."""
        epoch = self.epoch(now_s)
        if epoch == self._cleaned_epoch:
            return
        self._cleaned_epoch = epoch
        self._refused_by_epoch = {
            e: r for e, r in self._refused_by_epoch.items() if e > epoch - EPOCHS_STARTED
        }
        for text, entry in list(self._entries.items()):
            if entry.key.epoch <= epoch - EPOCHS_KEPT and _is_unused(entry):
                del self._entries[text]
                self._store.release(entry.answer)


def _is_unused(entry: _Entry) -> bool:
    return entry.answer.closed and not entry.answer.readers


def _join(entry: _Entry, body: Mapping[str, Any]) -> JoinHere:
    if entry.body_digest != digest_body(body):
        raise RequestError(
            ErrorKind.KEY_CONFLICT, "this key was used with a different body; use a new key"
        )
    return JoinHere(entry.answer)


def digest_body(body: Mapping[str, Any]) -> bytes:
    """Return a 16-byte digest of a body; the order of its keys does not matter."""
    return hashlib.blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=16).digest()
