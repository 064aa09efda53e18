"""State that a node keeps for a request: the call, its idempotency key and its answer."""

from ._answer_log import AnswerLog, join_lines
from ._answer_store import AnswerStore
from ._call import AnswerLine, Call, Span, WorkClass, merge_spans
from ._key import RequestKey, parse_key
from ._progress import (
    ProbeResult,
    RequestStatus,
    RunState,
    SilenceDetector,
    Silent,
    SilentConnectionError,
    Slow,
    StatusUnavailable,
    Unreachable,
    classify_silence,
)
from ._refused_keys import RefusedKeys
from ._request_key_table import Binding, ForwardTo, JoinHere, RequestKeyTable, StartHere
from ._retry_budget import RetryBudget

__all__ = [
    "AnswerLine",
    "AnswerLog",
    "AnswerStore",
    "Binding",
    "Call",
    "ForwardTo",
    "JoinHere",
    "ProbeResult",
    "RefusedKeys",
    "RequestKey",
    "RequestKeyTable",
    "RequestStatus",
    "RetryBudget",
    "RunState",
    "SilenceDetector",
    "Silent",
    "SilentConnectionError",
    "Slow",
    "Span",
    "StartHere",
    "StatusUnavailable",
    "Unreachable",
    "WorkClass",
    "classify_silence",
    "join_lines",
    "merge_spans",
    "parse_key",
]
