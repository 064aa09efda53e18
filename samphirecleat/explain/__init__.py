"""Analyzes node logs: delays of steps, and requests refused because their targets crashed."""

from ._barred import BarredCall, EndSeen, trace_barred
from ._command import explain_command
from ._gaps import Gap, GapCause, gaps_of
from ._lines import LogLine, LogReading, read_lines
from ._trace import FleetTrace, ItemTrace, StepTrace, trace_steps

__all__ = [
    "BarredCall",
    "EndSeen",
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
    "trace_barred",
    "trace_steps",
]
