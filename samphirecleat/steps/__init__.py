"""Training steps: their data, and their state at the node that works on them."""

from ._copies import (
    DEFAULT_COPY_POLICY,
    CopyAllLate,
    CopyPolicy,
    CopySlow,
    CopyView,
    NoCopies,
    Pace,
    PaceBook,
    decide_copies,
    expected_waste_tokens,
    remaining_s,
)
from ._freshness import TrainerPace, coming_version, stale_targets
from ._placement import Placement, find_free_slots
from ._positions import PositionQueue
from ._record import TrainerRecord
from ._run import Run
from ._shares import ShareBook
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
    "DEFAULT_COPY_POLICY",
    "NO_VERSION",
    "CopyAllLate",
    "CopyPolicy",
    "CopySlow",
    "CopyView",
    "NoCopies",
    "Pace",
    "PaceBook",
    "Placement",
    "PositionQueue",
    "Pull",
    "PullReply",
    "Run",
    "Sample",
    "ShareBook",
    "Step",
    "StepSpec",
    "TrainerPace",
    "TrainerRecord",
    "TrainerStats",
    "coming_version",
    "decide_copies",
    "decode_positions",
    "encode_positions",
    "expected_waste_tokens",
    "find_free_slots",
    "is_fresh",
    "remaining_s",
    "reply_from_json",
    "reply_to_json",
    "sample_from_json",
    "sample_to_json",
    "stale_targets",
]
