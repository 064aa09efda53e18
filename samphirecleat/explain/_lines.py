"""Reads node log lines; malformed lines are counted and skipped."""

import json
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

from .._decoding import MALFORMED_INPUT_ERRORS

MAX_REPORTED_FAULTS: Final = 5


class LogLine(NamedTuple):
    """One line; ``time_s`` is the node's clock, ``message`` starts with a component prefix."""

    time_s: float
    node: str
    message: str


class LogReading(NamedTuple):
    """All valid lines in chronological order, and the faults of malformed ones.

    ``faults`` describes the first malformed lines, of which there are ``malformed``.
    """

    lines: Sequence[LogLine]
    malformed: int
    faults: Sequence[str]


def read_lines(sources: Iterable[tuple[str, Iterable[str]]]) -> LogReading:
    """Read (name, lines) sources, skipping text that log collectors put before the JSON."""
    lines: list[LogLine] = []
    faults: list[str] = []
    malformed = 0
    for name, source in sources:
        for number, raw in enumerate(source, 1):
            if not raw.strip():
                continue
            line = _read_line(raw)
            if isinstance(line, LogLine):
                lines.append(line)
                continue
            malformed += 1
            if len(faults) < MAX_REPORTED_FAULTS:
                faults.append(f"{name}:{number}: {line}")
    return LogReading(sorted(lines), malformed, faults)


def _read_line(raw: str) -> LogLine | str:
    """Return the parsed line, or a description of the fault if it is malformed."""
    start = raw.find("{")
    if start < 0:
        return "no JSON object"
    try:
        fields = json.loads(raw[start:])
    except MALFORMED_INPUT_ERRORS as error:
        return f"not JSON: {error}"
    if not isinstance(fields, dict):
        return "no JSON object"
    time_s, node, message = (fields.get(name) for name in ("time_s", "logger", "message"))
    if isinstance(time_s, bool) or not isinstance(time_s, int | float):
        return "time_s is missing or not a number"
    if not isinstance(node, str) or not isinstance(message, str):
        return "logger or message is missing or not a string"
    return LogLine(float(time_s), node.rpartition(".")[2], message)
