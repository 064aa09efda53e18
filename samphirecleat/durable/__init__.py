"""Durable steps: the replicated step log, its fold, and the runner that executes the steps.

An accepted step survives the loss of every node, because its state is rebuilt from the log.
"""

from ._access import ListedResult, StepAccess, StepPage
from ._crash_records import CrashRecords
from ._duty import Duty, DutyFactory, DutyKeeper, Holder
from ._duty_tasks import DutyTasks
from ._engine_ranking import EngineView, PendingItem
from ._engine_stats import EngineStats, EngineStatsTable
from ._entry_applier import EntryApplier
from ._fold import Claim, StepFold, StepState
from ._follower import TopicFollower
from ._item_decisions import expected_remaining_events
from ._journal import ProgressJournal
from ._listing import WriteResult
from ._member_registry import MemberRegistry
from ._needed_groups import GroupNeed, UnfinishedItem, optional_groups
from ._orderer import EngineReport, Order, OrderChannel, OrderOutcome
from ._planner import (
    Placement,
    Shortage,
    groups_to_start_last,
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
from ._run_moves import MoveReason, RunView, runs_to_move
from ._scorer import Scorer
from ._server_orders import ScaleChannel, ScaleOutcome
from ._server_plan import ZoneCapacity, plan_spot_targets, targets_for_wave
from ._service_duty import NO_PROVISIONING, DutyDependencies, ServiceDuties, TargetProvisioning
from ._step_log import StepLog
from ._texts import TextStore
from ._weight_demand import engines_for, model_demand
from ._weight_orders import Load, ModelDemand, OrderableEngine, decide_loads

__all__ = [
    "MAX_READ_BYTES",
    "NO_PROVISIONING",
    "UNCONDITIONAL",
    "AppendOutcome",
    "AppendResult",
    "Claim",
    "CrashRecords",
    "Duty",
    "DutyDependencies",
    "DutyFactory",
    "DutyKeeper",
    "DutyTasks",
    "EngineReport",
    "EngineStats",
    "EntryApplier",
    "EngineStatsTable",
    "EngineView",
    "FinishedItem",
    "GenerationCall",
    "GenerationChannel",
    "GenerationError",
    "GenerationEvent",
    "GenerationFailure",
    "GroupNeed",
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
    "MemberRegistry",
    "ModelDemand",
    "MoveReason",
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
    "RunView",
    "ScaleChannel",
    "ScaleOutcome",
    "Scorer",
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
    "TargetProvisioning",
    "TextRef",
    "TextStore",
    "TopicFollower",
    "UnfinishedItem",
    "WriteResult",
    "ZoneCapacity",
    "decide_loads",
    "engines_for",
    "expected_remaining_events",
    "groups_to_start_last",
    "model_demand",
    "optional_groups",
    "order_items",
    "place_items",
    "plan_spot_targets",
    "planned_tokens",
    "reading_pause_s",
    "runs_to_move",
    "shortages",
    "stores_items_separately",
    "targets_for_wave",
]
