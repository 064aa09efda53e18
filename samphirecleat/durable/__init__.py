"""Steps that are kept through the loss of every node: log, fold, runner, weights."""

from ._access import StepAccess, StepPage
from ._duty import ServiceDuty
from ._fold import Claim, StepFold, StepState
from ._follower import TopicFollower
from ._journal import ProgressJournal
from ._meeting_point import MeetingPoint
from ._orderer import EngineReport, Order, OrderChannel, OrderOutcome
from ._ports import (
    UNCONDITIONAL,
    AppendOutcome,
    AppendResult,
    GenerationCall,
    GenerationChannel,
    GenerationEnd,
    GenerationError,
    HistoryGoneError,
    KeyedLog,
    LogEntry,
    LogSlice,
    LogUnavailableError,
    Piece,
    PlainLog,
)
from ._records import ItemListed, ItemSpec, RewardSpec, RunnerClaimed, StepAccepted, StepEnded
from ._scorer import Scorer
from ._step_log import StepLog, Written

__all__ = [
    "UNCONDITIONAL",
    "AppendOutcome",
    "AppendResult",
    "Claim",
    "EngineReport",
    "GenerationCall",
    "GenerationChannel",
    "GenerationEnd",
    "GenerationError",
    "HistoryGoneError",
    "ItemListed",
    "ItemSpec",
    "KeyedLog",
    "LogEntry",
    "LogSlice",
    "LogUnavailableError",
    "MeetingPoint",
    "Order",
    "OrderChannel",
    "OrderOutcome",
    "Piece",
    "PlainLog",
    "ProgressJournal",
    "RewardSpec",
    "RunnerClaimed",
    "Scorer",
    "ServiceDuty",
    "StepAccepted",
    "StepAccess",
    "StepEnded",
    "StepFold",
    "StepLog",
    "StepPage",
    "StepState",
    "TopicFollower",
    "Written",
]
