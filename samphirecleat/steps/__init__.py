"""Training steps: data types, and the state of a step on the node that executes it."""

from ._copies import (
    DEFAULT_COPY_POLICY,
    CopyAllRemaining,
    CopyPolicy,
    CopyStragglers,
    CopyView,
    NoCopies,
    Pace,
    PaceEstimator,
    decide_copies,
    expected_waste_tokens,
    remaining_s,
)
from ._freshness import TrainerProgress, find_stale_targets, predict_version
from ._positions import PositionQueue
from ._record import DeliveryRecord
from ._run import Run
from ._shares import FairShareScheduler
from ._slot_availability import SlotAvailability, find_free_slots
from ._stats import TrainerStats
from ._step import Step
from ._types import (
    NO_VERSION,
    Pull,
    PullReply,
    Sample,
    StepSpec,
    decode_positions,
    encode_positions,
    is_fresh,
    reply_from_json,
    reply_to_json,
    sample_from_json,
    sample_to_json,
)

__all__ = [
    "CopyAllRemaining",
    "CopyPolicy",
    "CopyStragglers",
    "CopyView",
    "DEFAULT_COPY_POLICY",
    "DeliveryRecord",
    "FairShareScheduler",
    "NO_VERSION",
    "NoCopies",
    "Pace",
    "PaceEstimator",
    "PositionQueue",
    "Pull",
    "PullReply",
    "Run",
    "Sample",
    "SlotAvailability",
    "Step",
    "StepSpec",
    "TrainerProgress",
    "TrainerStats",
    "decide_copies",
    "decode_positions",
    "encode_positions",
    "expected_waste_tokens",
    "find_free_slots",
    "find_stale_targets",
    "is_fresh",
    "predict_version",
    "remaining_s",
    "reply_from_json",
    "reply_to_json",
    "sample_from_json",
    "sample_to_json",
]
