"""Where the time of steps went, from the structured logs of the nodes."""

from ._command import explain_command
from ._gaps import Gap, GapCause, gaps_of
from ._lines import LogLine, LogReading, read_lines
from ._trace import FleetTrace, ItemTrace, StepTrace, trace_steps

__all__ = [
    "FleetTrace",
    "Gap",
    "GapCause",
    "ItemTrace",
    "LogLine",
    "LogReading",
    "StepTrace",
    "explain_command",
    "gaps_of",
    "read_lines",
    "trace_steps",
]
