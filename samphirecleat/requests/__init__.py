"""A request as the node holds it: its call, its key, and the lines of its answer."""

from ._answer_log import AnswerLog
from ._call import AnswerLine, Call, Span, WorkClass, merge_spans
from ._key import RequestKey, parse_key
from ._key_book import Binding, ForwardTo, JoinHere, KeyBook, StartHere

__all__ = [
    "AnswerLine",
    "AnswerLog",
    "Binding",
    "Call",
    "ForwardTo",
    "JoinHere",
    "KeyBook",
    "RequestKey",
    "Span",
    "StartHere",
    "WorkClass",
    "merge_spans",
    "parse_key",
]
