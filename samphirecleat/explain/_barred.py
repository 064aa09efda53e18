"""Requests that were refused since targets ended under them, as the logs tell of them."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ._lines import LogLine

_CUT: Final = re.compile(
    r"^\[crashes\] request=(?P<request>\S+) call=(?P<call>\S+) target=(?P<target>\S+) cut "
    r".*counts=True"
)
_STOPPED: Final = re.compile(
    r"^\[crashes\] request=(?P<request>\S+) call=(?P<call>\S+) (?P<why>held|refused) "
    r"evidence=(?P<evidence>\S+)"
)
_BARRED: Final = re.compile(r"^\[crashes\] call=(?P<call>\S+) barred (?P<rest>.*)")
_CLEARED: Final = re.compile(r"^\[crashes\] request=\S+ call=(?P<call>\S+) answered cleared_ends=")


class EndSeen(NamedTuple):
    """A run that ended with its target, as the node that saw it wrote."""

    time_s: float
    node: str
    request_id: str
    target: str


@dataclass
class BarredCall:
    """One request, by its digest: the ends under it, the verdict, and what was refused for it.

    ``oldest_evidence_s`` is the age of the oldest end at the last refusal.
    """

    call: str
    ends: list[EndSeen] = field(default_factory=list)
    barred_s: float | None = None
    held: int = 0
    refused: int = 0
    last_request_id: str = ""
    evidence: str = ""
    oldest_evidence_s: float = 0.0
    cleared_s: float | None = None


def trace_barred(lines: Sequence[LogLine]) -> Sequence[BarredCall]:
    """Return the requests that were held or refused at least once, in the order of their ends."""
    calls: dict[str, BarredCall] = {}
    for line in lines:
        _take(calls, line)
    return [call for call in calls.values() if call.held or call.refused or call.barred_s]


def _take(calls: dict[str, BarredCall], line: LogLine) -> None:
    if (cut := _CUT.match(line.message)) is not None:
        end = EndSeen(line.time_s, line.node, cut["request"], cut["target"])
        _call(calls, cut["call"]).ends.append(end)
    elif (stopped := _STOPPED.match(line.message)) is not None:
        call = _call(calls, stopped["call"])
        call.held += stopped["why"] == "held"
        call.refused += stopped["why"] == "refused"
        call.last_request_id = stopped["request"]
        call.evidence = stopped["evidence"]
        call.oldest_evidence_s = _oldest_s(stopped["evidence"])
    elif (barred := _BARRED.match(line.message)) is not None:
        call = _call(calls, barred["call"])
        call.barred_s = line.time_s if call.barred_s is None else call.barred_s
    elif (cleared := _CLEARED.match(line.message)) is not None:
        _call(calls, cleared["call"]).cleared_s = line.time_s


def _call(calls: dict[str, BarredCall], digest: str) -> BarredCall:
    return calls.setdefault(digest, BarredCall(digest))


def _oldest_s(evidence: str) -> float:
    """Return the age of the oldest end of ``TARGET/NODE/AGEs,...``, 0.0 where none is given."""
    ages = [part.rpartition("/")[2].removesuffix("s") for part in evidence.split(",")]
    return max((float(age) for age in ages if re.fullmatch(r"\d+(\.\d+)?", age)), default=0.0)
