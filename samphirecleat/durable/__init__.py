"""Steps that are kept through the loss of every node: log, fold, runner, weights."""

from ._access import ListedResult, StepAccess, StepPage
from ._duty import Duty, DutyKeeper, DutyMaker, Holder
from ._duty_tasks import DutyTasks
from ._fold import Claim, StepFold, StepState
from ._follower import TopicFollower
from ._journal import ProgressJournal
from ._listing import Written
from ._meeting_point import MeetingPoint
from ._orderer import EngineReport, Order, OrderChannel, OrderOutcome
from ._planner import (
    EngineView,
    PendingItem,
    Placement,
    Shortage,
    order_items,
    place_items,
    planned_tokens,
    shortages,
)
from ._ports import (
    READ_BYTES,
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
from ._post import DutyParts, ServiceDuties
from ._reading_pace import keeps_items_apart, reading_pause_s
from ._records import (
    FinishedItem,
    ItemListed,
    ItemSpec,
    ResultsListed,
    RewardSpec,
    RunnerClaimed,
    StepAccepted,
    StepEnded,
    StepRequest,
    TextRef,
)
from ._scorer import Scorer
from ._step_log import StepLog
from ._texts import TextShelf
from ._weight_demand import engines_for, model_demand
from ._weight_orders import Load, ModelDemand, OrderableEngine, decide_loads

__all__ = [
    "READ_BYTES",
    "UNCONDITIONAL",
    "AppendOutcome",
    "AppendResult",
    "Claim",
    "Duty",
    "DutyKeeper",
    "DutyMaker",
    "DutyParts",
    "DutyTasks",
    "EngineReport",
    "EngineView",
    "FinishedItem",
    "GenerationCall",
    "GenerationChannel",
    "GenerationEnd",
    "GenerationError",
    "HistoryGoneError",
    "Holder",
    "ItemListed",
    "ItemSpec",
    "KeyedLog",
    "ListedResult",
    "Load",
    "LogEntry",
    "LogSlice",
    "LogUnavailableError",
    "MeetingPoint",
    "ModelDemand",
    "Order",
    "OrderChannel",
    "OrderOutcome",
    "OrderableEngine",
    "PendingItem",
    "Piece",
    "Placement",
    "PlainLog",
    "ProgressJournal",
    "ResultsListed",
    "RewardSpec",
    "RunnerClaimed",
    "Scorer",
    "ServiceDuties",
    "Shortage",
    "StepAccepted",
    "StepAccess",
    "StepEnded",
    "StepRequest",
    "StepFold",
    "StepLog",
    "StepPage",
    "StepState",
    "TextRef",
    "TextShelf",
    "TopicFollower",
    "Written",
    "decide_loads",
    "engines_for",
    "keeps_items_apart",
    "model_demand",
    "order_items",
    "place_items",
    "planned_tokens",
    "reading_pause_s",
    "shortages",
]
