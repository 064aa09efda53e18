"""Lines of nodes' logs, read one by one; what is no such line is counted and never fatal."""

import json
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple

# So many malformed lines are named with their place; the others are counted.
NAMED_FAULTS: Final = 5


class LogLine(NamedTuple):
    """One line; ``time_s`` is the node's clock and ``message`` starts with the part's prefix."""

    time_s: float
    node: str
    message: str


class LogReading(NamedTuple):
    """All lines in the order of their times, and what was wrong with the others."""

    lines: Sequence[LogLine]
    malformed: int
    faults: Sequence[str]


def read_lines(sources: Iterable[tuple[str, Iterable[str]]]) -> LogReading:
    """Read named sources; words before a line's JSON, as log collectors add them, are skipped."""
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
            if len(faults) < NAMED_FAULTS:
                faults.append(f"{name}:{number}: {line}")
    return LogReading(sorted(lines), malformed, faults)


def _read_line(raw: str) -> LogLine | str:
    """Return the line, or what is wrong with it."""
    start = raw.find("{")
    if start < 0:
        return "no JSON object"
    try:
        fields = json.loads(raw[start:])
    except ValueError as error:
        return f"not JSON: {error}"
    if not isinstance(fields, dict):
        return "no JSON object"
    time_s, node, message = (fields.get(name) for name in ("time_s", "logger", "message"))
    if isinstance(time_s, bool) or not isinstance(time_s, int | float):
        return "time_s is missing or no number"
    if not isinstance(node, str) or not isinstance(message, str):
        return "logger or message is missing or no text"
    return LogLine(float(time_s), node.rpartition(".")[2], message)
