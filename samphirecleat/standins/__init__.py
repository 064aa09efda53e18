"""In-process substitutes for external systems, each recording what it actually did."""

from ._command import SERVER_KINDS, make_stand_in, standin_command
from ._engine import EngineRun, StandInEngine, digest_prompt
from ._fault_file import TimedFault, inject_faults, read_fault_file
from ._host_list import HostRow, StandInHostList
from ._log import LogAppend, StandInLog
from ._plain import PlainRun, StandInPlainService, StandInScoring, score_text
from ._server import Arrival, StandInServer, StandInTarget
from ._weight_store import StandInWeightStore

__all__ = [
    "SERVER_KINDS",
    "TimedFault",
    "inject_faults",
    "make_stand_in",
    "read_fault_file",
    "standin_command",
    "Arrival",
    "EngineRun",
    "HostRow",
    "LogAppend",
    "PlainRun",
    "StandInEngine",
    "StandInHostList",
    "StandInLog",
    "StandInPlainService",
    "StandInScoring",
    "StandInServer",
    "StandInTarget",
    "StandInWeightStore",
    "digest_prompt",
    "score_text",
]
