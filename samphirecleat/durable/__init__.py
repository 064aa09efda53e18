"""Durable steps: the replicated step log, its fold, and the runner that executes the steps.

An accepted step survives the loss of every node, because its state is rebuilt from the log.
"""

from ._access import ListedResult, StepAccess, StepPage
from ._crash_records import CrashRecords
from ._duty import Duty, DutyKeeper, DutyMaker, Holder
from ._duty_tasks import DutyTasks
from ._fold import Claim, StepFold, StepState
from ._follower import TopicFollower
from ._journal import ProgressJournal
from ._listing import WriteResult
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
    MAX_READ_BYTES,
    UNCONDITIONAL,
    AppendOutcome,
    AppendResult,
    GenerationCall,
    GenerationChannel,
    GenerationError,
    GenerationEvent,
    GenerationFailure,
    HistoryGoneError,
    KeyedLog,
    LogEntry,
    LogSlice,
    LogUnavailableError,
    PeerTexts,
    PlainLog,
)
from ._post import NO_SUPPLY, DutyParts, ServerSupply, ServiceDuties
from ._reading_pace import reading_pause_s, stores_items_separately
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
from ._server_orders import ScaleChannel, ScaleOutcome
from ._server_plan import ZoneSupply, plan_spot, servers_for
from ._step_log import StepLog
from ._texts import TextStore
from ._weight_demand import engines_for, model_demand
from ._weight_orders import Load, ModelDemand, OrderableEngine, decide_loads

__all__ = [
    "MAX_READ_BYTES",
    "NO_SUPPLY",
    "UNCONDITIONAL",
    "AppendOutcome",
    "AppendResult",
    "Claim",
    "CrashRecords",
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
    "GenerationError",
    "GenerationEvent",
    "GenerationFailure",
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
    "PeerTexts",
    "PendingItem",
    "Placement",
    "PlainLog",
    "ProgressJournal",
    "ResultsListed",
    "RewardSpec",
    "RunnerClaimed",
    "ScaleChannel",
    "ScaleOutcome",
    "Scorer",
    "ServerSupply",
    "ServiceDuties",
    "Shortage",
    "StepAccepted",
    "StepAccess",
    "StepEnded",
    "StepFold",
    "StepLog",
    "StepPage",
    "StepRequest",
    "StepState",
    "TextRef",
    "TextStore",
    "TopicFollower",
    "WriteResult",
    "ZoneSupply",
    "decide_loads",
    "engines_for",
    "model_demand",
    "order_items",
    "place_items",
    "plan_spot",
    "planned_tokens",
    "reading_pause_s",
    "servers_for",
    "shortages",
    "stores_items_separately",
]
