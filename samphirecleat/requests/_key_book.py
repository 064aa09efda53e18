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
from ._key import RequestKey

EPOCHS_ACCEPTED: Final = 2


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


class KeyBook:
    """Binds request keys for one incarnation, in bounded memory."""

    def __init__(
        self, node_id: str, incarnation: str, *, epoch_s: float, max_keys: int, now_s: float
    ) -> None:
        """Count epochs of ``epoch_s`` from ``now_s`` on this process's own clock."""
        self._node_id = node_id
        self._incarnation = incarnation
        self._epoch_s = epoch_s
        self._max_keys = max_keys
        self._started_at_s = now_s
        self._entries: dict[str, _Entry] = {}
        self._swept_epoch = 0

    def epoch(self, now_s: float) -> int:
        """Return the present epoch, which the entry list hands out."""
        return int((now_s - self._started_at_s) / self._epoch_s)

    def epoch_age_s(self, now_s: float) -> float:
        """Return how long ago the present epoch began."""
        return (now_s - self._started_at_s) % self._epoch_s

    def bind(self, key: RequestKey, body: Mapping[str, Any], now_s: float) -> Binding:
        """Decide what this node may do with a key.

        :raises samphirecleat.errors.RequestError: KEY_EXPIRED, KEY_CONFLICT,
            KEY_TABLE_FULL or KEY_MALFORMED.
        """
        if (key.node_id, key.incarnation) != (self._node_id, self._incarnation):
            return ForwardTo(key.node_id, key.incarnation)
        self._sweep(now_s)
        entry = self._entries.get(str(key))
        if entry is not None:
            return self._join(entry, body)
        epoch = self.epoch(now_s)
        if key.epoch > epoch:
            raise RequestError(ErrorKind.KEY_MALFORMED, f"epoch {key.epoch} has not begun here")
        if key.epoch <= epoch - EPOCHS_ACCEPTED:
            raise RequestError(
                ErrorKind.KEY_EXPIRED, "the key is too old to say whether it was started"
            )
        if len(self._entries) >= self._max_keys:
            # Evicting a live key would let a retry of it run a second time.
            raise RequestError(
                ErrorKind.KEY_TABLE_FULL,
                "this node remembers as many keys as it may; try again later",
                ran=Ran.NO,
                retry_after_s=self._epoch_s,
            )
        entry = _Entry(key, digest_body(body), AnswerLog())
        self._entries[str(key)] = entry
        return StartHere(entry.answer)

    def _join(self, entry: _Entry, body: Mapping[str, Any]) -> JoinHere:
        if entry.body_digest != digest_body(body):
            raise RequestError(
                ErrorKind.KEY_CONFLICT, "this key was used with another body; make a new key"
            )
        return JoinHere(entry.answer)

    def _sweep(self, now_s: float) -> None:
        """Forget ended keys of epochs that are no longer accepted, once an epoch."""
        epoch = self.epoch(now_s)
        if epoch == self._swept_epoch:
            return
        self._swept_epoch = epoch
        oldest = epoch - EPOCHS_ACCEPTED + 1
        self._entries = {
            text: entry
            for text, entry in self._entries.items()
            if entry.key.epoch >= oldest or not entry.answer.closed
        }


def digest_body(body: Mapping[str, Any]) -> bytes:
    """Return a digest that tells two bodies apart."""
    return hashlib.blake2b(json.dumps(body, sort_keys=True).encode(), digest_size=16).digest()
