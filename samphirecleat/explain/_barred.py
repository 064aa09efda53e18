"""Finds requests that were held or refused in node logs because targets crashed on them."""

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from ._lines import LogLine

_CUT_PATTERN: Final = re.compile(
    r"^\[crashes\] request=(?P<request>\S+) call=(?P<call>\S+) target=(?P<target>\S+) cut "
    r".*counts=True"
)
_STOPPED_PATTERN: Final = re.compile(
    r"^\[crashes\] request=(?P<request>\S+) call=(?P<call>\S+) (?P<why>held|refused) "
    r"evidence=(?P<evidence>\S+)"
)
_BARRED_PATTERN: Final = re.compile(r"^\[crashes\] call=(?P<call>\S+) barred (?P<rest>.*)")
_CLEARED_PATTERN: Final = re.compile(
    r"^\[crashes\] request=\S+ call=(?P<call>\S+) answered cleared_ends="
)


class EndSeen(NamedTuple):
    """A run that ended because its target crashed, as logged by the node that observed it."""

    time_s: float
    node: str
    request_id: str
    target: str


@dataclass
class BarredCall:
    """The crashes and refusals of one request, identified by its call digest ``call``.

    ``barred_s`` and ``cleared_s`` are the times at which it was barred and cleared.
    ``held`` and ``refused`` count log lines. ``evidence`` is that of the last hold or
    refusal, and ``oldest_evidence_s`` the age of the oldest crash in it.
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
    """Return the requests that were held, refused or barred, in order of first mention."""
    calls: dict[str, BarredCall] = {}
    for line in lines:
        _apply_line(calls, line)
    return [call for call in calls.values() if call.held or call.refused or call.barred_s]


def _apply_line(calls: dict[str, BarredCall], line: LogLine) -> None:
    if (cut := _CUT_PATTERN.match(line.message)) is not None:
        end = EndSeen(line.time_s, line.node, cut["request"], cut["target"])
        _get_call(calls, cut["call"]).ends.append(end)
    elif (stopped := _STOPPED_PATTERN.match(line.message)) is not None:
        call = _get_call(calls, stopped["call"])
        call.held += stopped["why"] == "held"
        call.refused += stopped["why"] == "refused"
        call.last_request_id = stopped["request"]
        call.evidence = stopped["evidence"]
        call.oldest_evidence_s = _oldest_age_s(stopped["evidence"])
    elif (barred := _BARRED_PATTERN.match(line.message)) is not None:
        call = _get_call(calls, barred["call"])
        call.barred_s = line.time_s if call.barred_s is None else call.barred_s
    elif (cleared := _CLEARED_PATTERN.match(line.message)) is not None:
        _get_call(calls, cleared["call"]).cleared_s = line.time_s


def _get_call(calls: dict[str, BarredCall], digest: str) -> BarredCall:
    return calls.setdefault(digest, BarredCall(digest))


def _oldest_age_s(evidence: str) -> float:
    """Return the highest age in ``TARGET/NODE/AGEs,...``, 0.0 if it contains none."""
    ages = [part.rpartition("/")[2].removesuffix("s") for part in evidence.split(",")]
    return max((float(age) for age in ages if re.fullmatch(r"\d+(\.\d+)?", age)), default=0.0)
