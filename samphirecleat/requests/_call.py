"""One request of a caller, or one sample of a trainer, as the node works on it."""

from collections.abc import Collection, Mapping, Sequence
from enum import IntEnum
from typing import Any, NamedTuple, TypedDict


class WorkClass(IntEnum):
    """Whose work it is; the higher value is admitted first."""

    TRAINER = 0
    CALLER = 1


class Call(NamedTuple):
    """A request to one method of a service.

    ``deadline_at_s`` is on this node's monotonic clock. ``request_id`` is what
    targets see: the request key, or an id that this node made.
    ``excluded_targets`` are addresses that it must not be sent to.
    """

    service: str
    method: str
    body: Mapping[str, Any]
    deadline_at_s: float
    priority: int
    idempotent: bool
    request_id: str
    work_class: WorkClass
    traceparent: str = ""
    excluded_targets: Collection[str] = ()


class Span(NamedTuple):
    """A run of tokens that one weight version made."""

    version: int
    tokens: int


class AnswerLine(TypedDict, total=False):
    """One line of an answer: a piece of it, or (``end`` is set) its close.

    ``text`` and ``spans`` come with engines; ``result`` with plain services.
    """

    text: str
    spans: Sequence[Span]
    result: Any
    run_id: str
    target: str
    end: str


def merge_spans(spans: Sequence[Span]) -> Sequence[Span]:
    """Join neighbouring spans of one version, without gaps or loss."""
    merged: list[Span] = []
    for span in spans:
        if merged and merged[-1].version == span.version:
            merged[-1] = Span(span.version, merged[-1].tokens + span.tokens)
        else:
            merged.append(span)
    return merged
