"""What this incarnation has started, by request key: the at-most-once record.

Only the incarnation that a key names may start it, and it remembers each started
key for as long as it would accept one of its epoch. An expired key is never
started, so that a forgotten key can never run a second time. Nothing here rests
on a clock that nodes share: epochs are counted by this process alone.
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
"""Keys of the present epoch and of the one before may start."""

EPOCHS_KEPT: Final = 3
"""Ended keys are kept one epoch longer, so that a retry within the longest
deadline still finds its answer although its key was handed out just before the
epoch changed."""


@dataclass(frozen=True)
class StartHere:
    """The key is new and is now bound: run it and fill its answer."""

    answer: AnswerLog


@dataclass(frozen=True)
class JoinHere:
    """The key was started before: read its answer, which may still grow."""

    answer: AnswerLog


@dataclass(frozen=True)
class ForwardTo:
    """Another incarnation owns the key; only it may start the request."""

    node_id: str
    incarnation: str


Binding = StartHere | JoinHere | ForwardTo


@dataclass
class _Entry:
    key: RequestKey
    body_digest: bytes
    answer: AnswerLog


class RequestKeyTable:
    """Binds request keys for one incarnation, in bounded memory."""

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
        """Count epochs of ``epoch_s`` from ``now_s`` on this process's own clock."""
        self._node_id = node_id
        self._incarnation = incarnation
        self._store = store
        self._epoch_s = epoch_s
        self._max_keys = max_keys
        self._started_at_s = now_s
        self._entries: dict[str, _Entry] = {}
        self._refused: dict[int, RefusedKeys] = {}
        self._swept_epoch = 0

    def __len__(self) -> int:
        """Return how many keys are remembered."""
        return len(self._entries)

    def epoch(self, now_s: float) -> int:
        """Return the present epoch, which the entry list hands out."""
        return int((now_s - self._started_at_s) / self._epoch_s)

    def owns(self, key: RequestKey) -> bool:
        """Whether this incarnation is the one that may start the key."""
        return (key.node_id, key.incarnation) == (self._node_id, self._incarnation)

    def epoch_age_s(self, now_s: float) -> float:
        """Return how long ago the present epoch began."""
        return (now_s - self._started_at_s) % self._epoch_s

    def bind(self, key: RequestKey, body: Mapping[str, Any], now_s: float) -> Binding:
        """Decide what this node may do with a key.

        Whoever passes on an error of this method, or refuses a keyed request for
        any other reason, first asks :meth:`refuse` what it may say of the run.

        :raises samphirecleat.errors.RequestError: KEY_EXPIRED, KEY_CONFLICT,
            KEY_TABLE_FULL or KEY_MALFORMED.
        """
        if not self.owns(key):
            return ForwardTo(key.node_id, key.incarnation)
        self._sweep(now_s)
        entry = self._entries.get(str(key))
        if entry is not None:
            return _join(entry, body)
        self._check_epoch(key, now_s)
        if self._was_refused(key):
            raise RequestError(
                ErrorKind.KEY_CONFLICT,
                "this key was refused before and will never run; make a new key",
                ran=Ran.NO,
            )
        if len(self._entries) >= self._max_keys or not self._store.has_room:
            # Evicting a live key would let a retry of it run a second time.
            raise RequestError(
                ErrorKind.KEY_TABLE_FULL,
                "this node remembers as many requests as it may; try again later",
                retry_after_s=self._epoch_s,
            )
        entry = _Entry(key, digest_body(body), self._store.create_log())
        self._entries[str(key)] = entry
        return StartHere(entry.answer)

    def refuse(self, key: RequestKey, now_s: float) -> Ran:
        """Return what a refusal of this key may say, and make it stay true.

        ``NO`` is returned only for an own key that was not started and, from now
        on, never will be. Anything else that this node cannot vouch for, such as
        a key of another process or one that is already forgotten, is ``UNKNOWN``.
        """
        if not self.owns(key) or str(key) in self._entries:
            return Ran.UNKNOWN
        if not self._may_start(key, now_s):
            return Ran.UNKNOWN
        self._sweep(now_s)
        self._refused.setdefault(key.epoch, RefusedKeys()).add(str(key))
        return Ran.NO

    def status(self, key: RequestKey, now_s: float) -> RequestStatus:
        """Tell how far an own key is, for a caller whose connection went quiet."""
        self._sweep(now_s)
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
                ErrorKind.KEY_MALFORMED, f"epoch {key.epoch} has not begun here", ran=Ran.UNKNOWN
            )
        raise RequestError(
            ErrorKind.KEY_EXPIRED, "the key is too old to say whether it was started"
        )

    def _was_refused(self, key: RequestKey) -> bool:
        refused = self._refused.get(key.epoch)
        return refused is not None and str(key) in refused

    def _sweep(self, now_s: float) -> None:
        """Forget ended keys of epochs that are no longer kept, once an epoch."""
        epoch = self.epoch(now_s)
        if epoch == self._swept_epoch:
            return
        self._swept_epoch = epoch
        self._refused = {e: r for e, r in self._refused.items() if e > epoch - EPOCHS_STARTED}
        for text, entry in list(self._entries.items()):
            if entry.key.epoch <= epoch - EPOCHS_KEPT and _is_over(entry):
                del self._entries[text]
                self._store.release(entry.answer)


def _is_over(entry: _Entry) -> bool:
    return entry.answer.closed and not entry.answer.readers


def _join(entry: _Entry, body: Mapping[str, Any]) -> JoinHere:
    if entry.body_digest != digest_body(body):
        raise RequestError(
            ErrorKind.KEY_CONFLICT, "this key was used with another body; make a new key"
        )
    return JoinHere(entry.answer)


def digest_body(body: Mapping[str, Any]) -> bytes:
    """Return a digest that tells two bodies apart."""
    return hashlib.blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=16).digest()
